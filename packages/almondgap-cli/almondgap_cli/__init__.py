"""The operators' command: checks, changes and shows a fleet."""
