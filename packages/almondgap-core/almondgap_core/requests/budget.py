"""Retry budgets: retries are a share of requests, so that they cannot make a storm."""

from __future__ import annotations

from attrs import Factory, define

#: Thousandths of a retry that each request earns: one retry for ten requests.
DEPOSIT_MILLI = 100

#: What one retry costs, in thousandths.
RETRY_COST_MILLI = 1_000

#: Retries that an idle budget holds, in thousandths.
MAX_BALANCE_MILLI = 10 * RETRY_COST_MILLI


@define
class RetryBudget:
    """Retries that may still be made, in thousandths."""

    balance: int = MAX_BALANCE_MILLI

    def deposit(self) -> None:
        """Note one new request."""
        self.balance = min(self.balance + DEPOSIT_MILLI, MAX_BALANCE_MILLI)

    def take(self) -> bool:
        """Pay for one retry and return whether there was enough left."""
        if self.balance < RETRY_COST_MILLI:
            return False
        self.balance -= RETRY_COST_MILLI
        return True


@define
class RetryBudgets:
    """A budget for each client account at each service, and one for each service.

    The service's own budget keeps many accounts together from a storm.
    """

    budgets: dict[tuple[str, str], RetryBudget] = Factory(dict)
    services: dict[str, RetryBudget] = Factory(dict)

    def deposit(self, account: str, service: str) -> None:
        """Note one new request of an account."""
        self._find_budget(account, service).deposit()
        self.services.setdefault(service, RetryBudget()).deposit()

    def take(self, account: str, service: str) -> bool:
        """Pay for one retry and return whether both budgets had enough left."""
        own = self._find_budget(account, service)
        shared = self.services.setdefault(service, RetryBudget())
        if shared.balance < RETRY_COST_MILLI:
            return False
        return own.take() and shared.take()

    def _find_budget(self, account: str, service: str) -> RetryBudget:
        return self.budgets.setdefault((account, service), RetryBudget())
