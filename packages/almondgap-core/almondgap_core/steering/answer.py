"""Answers of look-ups, and their cached form."""

from __future__ import annotations

from attrs import define, frozen

from almondgap_core.steering.refusal import RefusalAllocator


@frozen
class EntryHost:
    """A host that a caller may send its requests to.

    :ivar weight: share of requests relative to the other hosts; 0 for a
        fallback host, used only if the others fail.
    """

    host: str
    address: str
    port: int
    weight: int


@frozen
class LookupAnswer:
    """What a look-up returns.

    :ivar hosts: entry hosts, best first.
    :ivar ttl: seconds for which the caller may cache the answer.
    :ivar operation_prefix: start of the caller's ``Idempotency-Key`` values, empty
        if no host is known that would serve them.
    """

    service: str
    version: int
    hosts: tuple[EntryHost, ...]
    ttl: int
    operation_prefix: str = ""


@define
class LookupCounter:
    """Look-ups for one flow since the last decision about the plan."""

    lookups: int = 0


@define
class CachedLookup:
    """A cached answer for callers of one site.

    :ivar body: the answer as JSON.
    :ivar refused_share: share of look-ups to refuse, out of ``SHARE_UNIT``.
    :ivar refusals: division of the refused share over client accounts.
    """

    answer: LookupAnswer
    body: bytes
    count: LookupCounter
    refused_share: int
    refusals: RefusalAllocator
