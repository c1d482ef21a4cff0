"""Adapters to the platform: over HTTP, in memory, and in a folder."""

from __future__ import annotations

from pathlib import Path

from almondgap_core.exceptions import UserError
from almondgap_daemon.platform.folder import FolderPlatform
from almondgap_daemon.platform.http import HttpPlatform

Platform = FolderPlatform | HttpPlatform


def open_platform(cfg) -> Platform:
    """Return the platform that the settings name."""
    if cfg.kind == "file":
        return FolderPlatform.from_config(cfg)
    return HttpPlatform.from_config(cfg)


def open_place(place: str) -> Platform:
    """Return the platform at ``address:port``, or in the folder of that path.

    :raises UserError: the place is neither.
    """
    if "/" in place or Path(place).is_dir():
        return FolderPlatform(Path(place))
    address, _, port = place.rpartition(":")
    if not address or not port.isdigit():
        raise UserError(f"platform {place!r}: expected ADDRESS:PORT or a folder's path")
    return HttpPlatform(f"http://{place}")
