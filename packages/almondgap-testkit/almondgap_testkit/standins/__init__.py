"""Processes that stand in for the platform and for targets."""
