"""What a host keeps of the configuration."""

from __future__ import annotations

from attrs import define

from almondgap_core.settings.inventory import Inventory


@define
class SettingsState:
    """The configuration in force and the one that is being read.

    :ivar version: configuration version in force, 0 before the first.
    :ivar fetching: version whose body is being read, 0 if none.
    """

    inventory: Inventory | None = None
    version: int = 0
    fetching: int = 0
    next_head_read: int = 0
