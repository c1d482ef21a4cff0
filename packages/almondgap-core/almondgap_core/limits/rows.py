"""Lease rows: the holder of a partition as stored in the table service."""

from __future__ import annotations

import json

from attrs import asdict, frozen

from almondgap_core.limits.partitions import Partition
from almondgap_core.platform import RowKey

LEASE_TABLE = "leases"


@frozen(order=True)
class Witness:
    """An incarnation of a host that was live in the holder's failure domain."""

    host: str
    incarnation: int


@frozen
class LeaseRow:
    """Value of a lease row. It has no absolute times: clocks are not synchronized.

    :ivar holder: host that holds the partition.
    :ivar incarnation: incarnation of the holder.
    :ivar epoch: fencing number, which grows with every new holder.
    :ivar duration: validity from when the holder sent its renewal, in microseconds.
    :ivar hold: longest extension of the validity by promises while the store cannot be
        reached, in microseconds.
    :ivar witnesses: hosts whose promises the holder needs for an extension.
    :ivar released: whether the holder released the partition.
    :ivar clean: whether no request admitted by an earlier holder could still run when
        this one took the partition, or, in a released row, by any holder when it was
        released.
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
        """Parse the value of a row.

        :raises ValueError: the text is not a lease row.
        """
        try:
            fields = json.loads(text)
            fields["witnesses"] = tuple(Witness(*pair) for pair in fields["witnesses"])
            return cls(**fields)
        except (TypeError, KeyError) as exc:
            raise ValueError(f"invalid lease row: {exc}") from exc

    def to_text(self) -> str:
        """Return the value to store in the table."""
        fields = asdict(self, recurse=False)
        fields["witnesses"] = [(w.host, w.incarnation) for w in self.witnesses]
        return json.dumps(fields, sort_keys=True, separators=(",", ":"))

    def is_held_by(self, host: str, incarnation: int) -> bool:
        """Return whether this incarnation of a host holds the partition."""
        return (self.holder, self.incarnation, self.released) == (
            host,
            incarnation,
            False,
        )


def make_row_key(partition: Partition) -> RowKey:
    """Return the key of a partition's row."""
    return RowKey(LEASE_TABLE, str(partition))
