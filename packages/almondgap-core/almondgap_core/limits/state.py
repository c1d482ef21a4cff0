"""What a host keeps for limits."""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.limits.bucket import Bucket


@define
class LimitsState:
    """Shares of limits at one host.

    :ivar buckets: this host's share of each client account's rate.
    """

    buckets: dict[str, Bucket] = Factory(dict)
