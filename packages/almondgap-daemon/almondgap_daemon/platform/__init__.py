"""Adapters to the platform: over HTTP, in memory, and in a folder."""

from __future__ import annotations

from almondgap_daemon.platform.http import HttpPlatform


def open_platform(cfg):
    """Return the platform that the settings name."""
    return HttpPlatform.from_config(cfg)
