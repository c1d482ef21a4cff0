"""Gateways under test: builders of their data, and a world of them in virtual time."""
