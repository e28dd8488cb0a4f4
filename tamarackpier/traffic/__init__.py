"""Request pipeline: from the arrival of a request to its final answer."""
