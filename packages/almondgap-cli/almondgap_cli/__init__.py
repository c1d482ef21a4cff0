"""Command line for operators: checks, changes and inspects a fleet."""
