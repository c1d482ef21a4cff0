"""Settings of a process and the inventory that all hosts share."""
