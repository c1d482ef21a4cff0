"""Membership: which hosts are alive and what they say of their load."""
