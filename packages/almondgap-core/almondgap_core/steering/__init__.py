"""Steering: look-ups, the region plan and the choice of a target."""
