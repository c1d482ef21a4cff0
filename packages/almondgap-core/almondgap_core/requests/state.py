"""State of the requests in flight on one host."""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.requests.budget import RetryBudgets
from almondgap_core.requests.record import RequestRecord


@define
class RequestsState:
    """Requests in flight.

    :ivar open: requests by identifier.
    :ivar retry_budgets: budgets that limit retries of requests that may have run.
    """

    open: dict[str, RequestRecord] = Factory(dict)
    retry_budgets: RetryBudgets = Factory(RetryBudgets)
