"""What a host keeps to judge whether its list of keys is current."""

from __future__ import annotations

from attrs import Factory, define, frozen


@frozen
class PendingRequest:
    """A question to another host that waits for its answer.

    :ivar sent: when it was sent, in microseconds.
    """

    number: int
    sent: int


@frozen
class StoreReport:
    """What another host said of the store.

    :ivar asked: when it was asked; the answer is not older than that.
    :ivar has_store: whether it reached the store lately.
    :ivar version: greatest configuration version that it knows.
    """

    asked: int
    failure_domain: str
    has_store: bool
    version: int


@define
class KeysState:
    """Evidence that the list of keys is current.

    :ivar confirmed: latest time at which the configuration in force is known to have
        been the current one, on this host's clock in microseconds; None if never.
    :ivar pending: open questions by host.
    :ivar store_reports: answers by host.
    """

    confirmed: int | None = None
    number: int = 0
    next_request: int = 0
    pending: dict[str, PendingRequest] = Factory(dict)
    store_reports: dict[str, StoreReport] = Factory(dict)
