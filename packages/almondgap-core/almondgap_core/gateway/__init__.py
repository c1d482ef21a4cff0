"""Decisions of a gateway: a host that proxies callers' requests to targets."""
