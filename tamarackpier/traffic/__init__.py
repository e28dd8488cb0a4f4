"""Requests from their arrival to their end."""
