"""Implementations of the platform's tables, objects and host list.

There is one over HTTP, one in memory and one in a folder.
"""

from __future__ import annotations

from almondgap_daemon.tables.folder import FolderPlatform
from almondgap_daemon.tables.http import HttpPlatform

Platform = FolderPlatform | HttpPlatform


def open_platform(cfg) -> Platform:
    """Return the implementation selected by the settings."""
    if cfg.kind == "file":
        return FolderPlatform.from_config(cfg)
    return HttpPlatform.from_config(cfg)
