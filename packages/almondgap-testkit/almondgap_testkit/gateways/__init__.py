"""Gateways under test: builders, a simulation, and real processes on loopback."""
