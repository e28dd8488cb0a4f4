"""The configuration in force, and the route and service of each request."""
