"""What a host keeps of operations."""

from __future__ import annotations

from attrs import define


@define
class OperationsState:
    """Operations that this host answers for."""
