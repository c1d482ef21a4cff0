"""Small fakes at the core's interfaces, on a virtual clock."""
