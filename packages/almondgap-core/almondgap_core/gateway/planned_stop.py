"""Requests during a planned stop of this host.

A caller's connection ends with the process, whatever its request is waiting for. Late
in a stop, a request is sent to a target only if it is over before that: answered, or at
its time limit. Latencies learned from earlier requests do not count, since single
requests take longer. A request that another host hands over is held to this from the
start of the stop, as that host can choose a third one.
"""

from __future__ import annotations

from almondgap_core.gateway.state import GatewayState
from almondgap_core.units import millis

#: Fraction of the time until the process ends in which callers' requests are accepted
#: whatever their time limit.
ACCEPT_ANY_FRACTION = 0.5

#: Retry delay for callers of a host that stops: other hosts serve them at once.
STOPPING_RETRY_AFTER_US = millis(20)

STOPPING_DETAIL = "host stops before the time limit of this request"


def begin_stop(state: GatewayState, now: int, grace: int) -> None:
    """Note that the process ends after a grace period, in microseconds."""
    state.stopping = True
    state.stops_at = now + grace
    state.stop_accepts_until = now + round(grace * ACCEPT_ANY_FRACTION)


def may_outlast_stop(
    state: GatewayState, expires_at: int, is_relayed: bool, now: int
) -> bool:
    """Return whether the end of the process could cut a request that is sent now.

    :param expires_at: when the request is answered at the latest, in microseconds.
    :param is_relayed: whether another host handed it over.
    """
    if not state.stopping or expires_at <= state.stops_at:
        return False
    return is_relayed or now > state.stop_accepts_until
