"""The gateway process: I/O, timers and logging around the core's pure reducer."""
