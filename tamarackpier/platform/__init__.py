"""Clients of the platform's table, object store, instance list and engines."""
