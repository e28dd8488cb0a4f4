"""Interfaces to model engines and plain services."""
