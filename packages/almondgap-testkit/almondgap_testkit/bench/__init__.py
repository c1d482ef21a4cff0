"""Measurements; one module each, all run by ``make bench``."""
