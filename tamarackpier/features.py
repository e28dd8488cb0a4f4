"""Parts of the product that a deployment has to ask for."""

import enum

__all__ = ["Feature"]


class Feature(enum.Enum):
    """A part of the product that is off unless a deployment asks for it.

    `ADMISSION` decides which requests get the room that there is;
    `KEPT_CONNECTIONS` uses a connection to an engine for several requests;
    `OFFERED_LOAD` plans replicas by what callers ask for.
    """

    ADMISSION = "admission"
    KEPT_CONNECTIONS = "kept_connections"
    OFFERED_LOAD = "offered_load"
