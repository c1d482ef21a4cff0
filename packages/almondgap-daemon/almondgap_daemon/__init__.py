"""The host process: turns I/O and timers into events and performs the effects."""
