"""State of keys: evidence that the list of keys is current."""

from __future__ import annotations

from attrs import Factory, define, frozen


@frozen
class PendingRequest:
    """A request for evidence without a response.

    :ivar number: number of the request.
    :ivar sent: send time, in microseconds.
    """

    number: int
    sent: int


@frozen
class StoreReport:
    """Another host's report on its contact with the store.

    :ivar requested: send time of the request, in microseconds; the report is not older.
    :ivar has_store: whether the host reached the store recently.
    :ivar version: highest configuration version known to the host.
    """

    requested: int
    failure_domain: str
    has_store: bool
    version: int


@define
class KeysState:
    """Evidence that the list of keys is current.

    :ivar confirmed: latest local time at which the configuration in force is known to
        have been the current one, in microseconds; None if never.
    :ivar number: number of the last round of requests.
    :ivar next_request: time of the next round, in microseconds.
    :ivar pending: requests without a response, by host.
    :ivar store_reports: latest report of each host.
    """

    confirmed: int | None = None
    number: int = 0
    next_request: int = 0
    pending: dict[str, PendingRequest] = Factory(dict)
    store_reports: dict[str, StoreReport] = Factory(dict)
