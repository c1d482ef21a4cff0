"""Slopes measured at several sizes, and the page that works out the full size."""
