"""Serves LLM replicas that span several instances.

The subpackages hold the decision logic, which does no I/O (`sheet`,
`replica`, `request`, `peer`), the adapters to external services (`platform`,
`upstream`), and the programs that combine the two (`daemon`, `cli`,
`standin`).
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
