"""Real programs under drawn faults, judged by what callers and targets see."""
