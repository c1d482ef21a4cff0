"""Handling of a request from its arrival to the end of its answer."""
