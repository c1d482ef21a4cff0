"""Keys of client accounts: digests, authorization, and trust in the key list."""
