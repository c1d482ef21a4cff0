"""Rate limits that targets name in their answers."""

from __future__ import annotations

from math import isinf

from almondgap_core.gateway.reports import TargetLimitChanged
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.target import Target


def record_rate_limit(state: GatewayState, target: Target, rate: float) -> None:
    """Record the limit that a target named in an answer to this host.

    :param rate: requests per second, infinity for no limit.
    """
    previous = target.rate_limit
    if rate == previous:
        return
    target.rate_limit = rate
    state.report(
        TargetLimitChanged(
            target.name,
            target.announcement.service,
            None if isinf(rate) else rate,
            None if isinf(previous) else previous,
        )
    )
