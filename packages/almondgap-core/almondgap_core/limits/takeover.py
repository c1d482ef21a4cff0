"""Take-over: earliest time at which a host may take a partition from its holder."""

from __future__ import annotations

from almondgap_core.limits.leases import CLOCK_DRIFT_US
from almondgap_core.limits.rows import Witness
from almondgap_core.limits.state import ObservedRow
from almondgap_core.state import HostState


def compute_earliest_takeover(state: HostState, observed: ObservedRow) -> int:
    """Return the time from which this host may take a partition over.

    A host that is no witness in the row also waits for the hold, since the holder may
    extend its lease by the promises of the witnesses.
    """
    row = observed.row
    if row is None or row.released:
        return observed.seen
    free = observed.seen + row.duration + CLOCK_DRIFT_US
    if Witness(state.host, state.incarnation) not in row.witnesses:
        free += row.hold + row.hold // 100
    return free
