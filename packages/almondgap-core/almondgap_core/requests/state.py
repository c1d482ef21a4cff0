"""What a host keeps of requests."""

from __future__ import annotations

from attrs import Factory, define

from almondgap_core.requests.budget import RetryBudgets
from almondgap_core.requests.record import RequestRecord


@define
class RequestsState:
    """Requests that are not over.

    :ivar open: by request identifier.
    :ivar retry_budgets: what may still be tried again.
    """

    open: dict[str, RequestRecord] = Factory(dict)
    retry_budgets: RetryBudgets = Factory(RetryBudgets)
