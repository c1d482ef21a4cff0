"""Keys of client accounts: digests and authorization."""
