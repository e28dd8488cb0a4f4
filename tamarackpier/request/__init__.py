"""Request pipeline: authentication, admission, placement, retries and relay."""
