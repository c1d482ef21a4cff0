"""Limits over the fleet: owned shares, lent under leases."""
