"""Decisions of the almondgap traffic steering system.

The package holds one reducer, ``step(state, event) -> effects``. It does no input or
output, reads no clock and draws no random numbers: whatever it needs arrives in events.
"""
