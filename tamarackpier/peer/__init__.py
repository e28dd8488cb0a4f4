"""Membership of entry instances and the state that they exchange."""
