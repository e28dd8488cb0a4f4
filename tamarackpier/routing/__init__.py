"""The configuration in force, and where a request goes by it."""
