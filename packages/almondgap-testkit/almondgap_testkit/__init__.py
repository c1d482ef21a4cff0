"""Stand-ins, fakes, scenarios and bench; not shipped."""
