"""Forms, verifies, heals and releases model replicas.

A replica serves one model from a fixed number of instances of one fabric
domain.
"""
