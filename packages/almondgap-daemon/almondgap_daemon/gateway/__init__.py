"""The gateway on the platform: a reducer, and the loop that feeds it."""
