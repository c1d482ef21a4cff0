"""Decision logic of the almondgap traffic steering system.

The package exposes one reducer, ``step(state, event) -> effects``. The reducer does no
I/O, reads no clock and uses no system randomness: all input arrives in events, and
pseudo-random numbers come from a seed in the state. A run can therefore be replayed.
"""
