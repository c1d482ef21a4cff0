"""Adapters to the platform: over HTTP, in memory, and in a folder."""

from __future__ import annotations

from almondgap_daemon.tables.folder import FolderPlatform
from almondgap_daemon.tables.http import HttpPlatform

Platform = FolderPlatform | HttpPlatform


def open_platform(cfg) -> Platform:
    """Return the platform that the settings name."""
    if cfg.kind == "file":
        return FolderPlatform.from_config(cfg)
    return HttpPlatform.from_config(cfg)
