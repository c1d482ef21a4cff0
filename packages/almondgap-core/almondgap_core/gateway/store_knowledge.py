"""What a host has read of the store, and what its peers claim to have read."""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.gateway.events import StoreTable
from almondgap_core.gateway.heartbeats import StoreView

#: Era of the store and version of a row in it, which compare in this order.
RowVersion = tuple[int, int]


@define
class Claimant:
    """A peer that tells what it has read of the store; times in microseconds.

    :ivar claimed_at: when its present claim was first heard, by table.
    :ivar refuted: the last version claimed of each table that the store did not have.
    :ivar misses: number of claims refuted in a row.
    :ivar ignored_until: when its claims count again.
    """

    view: StoreView
    claimed_at: dict[StoreTable, int] = Factory(dict)
    refuted: dict[StoreTable, RowVersion] = Factory(dict)
    misses: int = 0
    ignored_until: int = 0


@define
class StoreKnowledge:
    """What this host has read of the store, and what peers claim to have read.

    :ivar read_up_to: store version up to which this host knows a table.
    :ivar eras: era of the store to which what is known of a table belongs.
    :ivar newest_rows: newest row version read in that era, by table.
    :ivar outages: number of outages that this host has seen end.
    :ivar is_monitor: whether this host watches for silences of the store.
    :ivar behind_since: when a claim beyond the own version was first heard, by table.
    :ivar next_read_at: earliest time of the next read because of claims, by table.
    :ivar next_send_at: when the own view is sent next.
    :ivar announce_to_all: whether the next view goes to all hosts, since an outage
        ended.
    :ivar announce_to_regions: whether the next view goes to a host of each other
        region, since a table changed.
    """

    read_up_to: dict[StoreTable, int] = Factory(dict)
    eras: dict[StoreTable, int] = Factory(dict)
    newest_rows: dict[StoreTable, int] = Factory(dict)
    outages: int = 0
    is_monitor: bool = False
    claimants: dict[str, Claimant] = Factory(dict)
    behind_since: dict[StoreTable, int] = Factory(dict)
    next_read_at: dict[StoreTable, int] = Factory(dict)
    next_send_at: int = 0
    announce_to_all: bool = False
    announce_to_regions: bool = False

    @property
    def era(self) -> int:
        """Newest era of the store that this host has read."""
        return max(self.eras.values(), default=0)

    def get_known(self, table: StoreTable) -> RowVersion:
        """Return up to where a table is known."""
        return self.eras.get(table, 0), self.read_up_to.get(table, 0)
