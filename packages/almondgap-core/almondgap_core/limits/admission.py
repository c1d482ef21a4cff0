"""Admission: a request takes a token of its client account."""

from __future__ import annotations

from almondgap_core.events import RateAsked, RateGranted, RateRefused
from almondgap_core.limits.bucket import Bucket
from almondgap_core.limits.division import divide
from almondgap_core.state import HostState


def handle_rate_asked(state: HostState, event: RateAsked) -> None:
    """Take a token from this host's share or refuse."""
    bucket = _find_bucket(state, event.account, event.now)
    if bucket.take(event.now):
        state.emit(RateGranted(event.now, event.req_id))
    else:
        wait = bucket.wait_for(event.now)
        state.emit(RateRefused(event.now, event.req_id, wait))


def _find_bucket(state: HostState, name: str, now: int) -> Bucket:
    account = state.inventory.accounts[name]
    hosts = sorted(state.members.listed)
    rate = divide(account.rate, hosts, f"rate:{name}")[state.host]
    burst = divide(account.burst, hosts, f"burst:{name}")[state.host]
    bucket = state.limits.buckets.get(name)
    if bucket is None:
        bucket = Bucket.full(rate, burst, now)
        state.limits.buckets[name] = bucket
    elif (bucket.rate, bucket.burst) != (rate, burst):
        bucket.refill(now)
        bucket.rate = rate
        bucket.burst = burst
    return bucket


EVENT_HANDLERS = {RateAsked: handle_rate_asked}
