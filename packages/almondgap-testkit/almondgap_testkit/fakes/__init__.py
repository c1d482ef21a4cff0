"""In-memory fakes for the core's interfaces, driven by a virtual clock."""
