"""Lease rows: who holds a partition, as the table service keeps it."""

from __future__ import annotations

import json

from attrs import asdict, frozen

from almondgap_core.limits.partitions import Partition
from almondgap_core.platform import RowKey

LEASE_TABLE = "leases"


@frozen(order=True)
class Witness:
    """A run of a host that the holder knew alive in its failure domain."""

    host: str
    incarnation: int


@frozen
class LeaseRow:
    """Value of one row. It names no time of day: clocks are not synchronized.

    :ivar epoch: greater for every later holder.
    :ivar duration: validity from when the holder sent its renewal, in microseconds.
    :ivar hold: longest time that the holder may go on without the store after the
        validity ended, in microseconds.
    :ivar witnesses: hosts that the holder asks before it goes on without the store.
    :ivar released: whether the holder gave the partition up.
    :ivar clean: whether nothing of earlier holders could run when this one took it,
        or, in a released row, nothing of any holder when it was released.
    :ivar full: configuration version that every holder of a share is known to have
        reached.
    """

    holder: str
    incarnation: int
    epoch: int
    duration: int
    hold: int
    witnesses: tuple[Witness, ...] = ()
    released: bool = False
    clean: bool = False
    full: int = 0

    @classmethod
    def from_text(cls, text: str) -> LeaseRow:
        """Return the row that a text holds.

        :raises ValueError: the text is no lease row.
        """
        try:
            fields = json.loads(text)
            fields["witnesses"] = tuple(Witness(*pair) for pair in fields["witnesses"])
            return cls(**fields)
        except (TypeError, KeyError) as exc:
            raise ValueError(f"lease row: {exc}") from exc

    def to_text(self) -> str:
        """Return the text for the table."""
        fields = asdict(self, recurse=False)
        fields["witnesses"] = [(w.host, w.incarnation) for w in self.witnesses]
        return json.dumps(fields, sort_keys=True, separators=(",", ":"))

    def is_held_by(self, host: str, incarnation: int) -> bool:
        """Return whether this run of a host holds the partition."""
        return (self.holder, self.incarnation, self.released) == (
            host,
            incarnation,
            False,
        )


def make_row_key(partition: Partition) -> RowKey:
    """Return the name of a partition's row."""
    return RowKey(LEASE_TABLE, str(partition))
