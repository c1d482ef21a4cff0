"""The host process: turns bytes, timers and answers into events, performs effects."""
