"""Retry budgets: limit retries to a share of requests.

While targets fail, unlimited retries would multiply the load on those that remain. Each
request deposits a tenth of a retry, and each retry is withdrawn from the balance.
"""

from __future__ import annotations

from attrs import Factory, define

#: Deposit of each request, in thousandths of a retry: one retry for ten requests.
DEPOSIT_MILLI = 100

#: Cost of one retry, in thousandths.
RETRY_COST_MILLI = 1_000

#: Upper bound of the balance, which an unused budget holds, in thousandths.
MAX_BALANCE_MILLI = 10 * RETRY_COST_MILLI


@define
class RetryBudget:
    """A budget of retries.

    :ivar balance: retries that may still be made, in thousandths.
    """

    balance: int = MAX_BALANCE_MILLI

    def deposit(self) -> None:
        """Add the share of one new request."""
        self.balance = min(self.balance + DEPOSIT_MILLI, MAX_BALANCE_MILLI)

    def take(self) -> bool:
        """Withdraw one retry; return whether the balance sufficed."""
        if self.balance < RETRY_COST_MILLI:
            return False
        self.balance -= RETRY_COST_MILLI
        return True


@define
class RetryBudgets:
    """A budget for each client account at each service, and one for each service.

    The budget of the service limits the sum of retries of many accounts.

    :ivar budgets: by client account and service.
    :ivar services: by service.
    """

    budgets: dict[tuple[str, str], RetryBudget] = Factory(dict)
    services: dict[str, RetryBudget] = Factory(dict)

    def deposit(self, account: str, service: str) -> None:
        """Add the share of one new request of a client account."""
        self._find_budget(account, service).deposit()
        self.services.setdefault(service, RetryBudget()).deposit()

    def take(self, account: str, service: str) -> bool:
        """Withdraw one retry from both budgets; return whether both sufficed."""
        own = self._find_budget(account, service)
        shared = self.services.setdefault(service, RetryBudget())
        if shared.balance < RETRY_COST_MILLI:
            return False
        return own.take() and shared.take()

    def _find_budget(self, account: str, service: str) -> RetryBudget:
        return self.budgets.setdefault((account, service), RetryBudget())
