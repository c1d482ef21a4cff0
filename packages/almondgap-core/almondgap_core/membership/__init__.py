"""Membership: live hosts, holders of partitions, and load of failure domains."""
