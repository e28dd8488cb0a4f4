"""A client for callers and an open-loop load generator."""
