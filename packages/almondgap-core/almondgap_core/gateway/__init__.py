"""Decisions of a gateway: a host that passes callers' requests on to targets."""
