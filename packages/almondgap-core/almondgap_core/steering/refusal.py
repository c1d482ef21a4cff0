"""Division of refused look-ups over client accounts.

When the plan refuses a share of a flow for lack of capacity, accounts over their fair
share are refused first, before any request is executed.
"""

from __future__ import annotations

from collections.abc import Mapping

from attrs import Factory, define

from almondgap_core.steering.plan import SHARE_UNIT
from almondgap_core.units import MICROS_PER_SECOND

#: Interval between divisions of the capacity among accounts.
DIVISION_INTERVAL_US = 2 * MICROS_PER_SECOND


@define
class AccountRefusals:
    """Refused share of one account.

    :ivar share: share of its look-ups to refuse, out of ``SHARE_UNIT``.
    :ivar asked: look-ups since the last division.
    :ivar credit: accumulated share; a look-up is refused per ``SHARE_UNIT``.
    """

    share: int
    asked: int = 0
    credit: int = 0


@define
class RefusalAllocator:
    """Decides which look-ups of one flow are refused.

    :ivar accounts: refusals by account name, empty for callers without a valid key.
    """

    accounts: dict[str, AccountRefusals] = Factory(dict)
    next_division: int = 0

    def should_refuse(
        self, account: str, share: int, weights: Mapping[str, int], now: int
    ) -> bool:
        """Count a look-up and return whether it is refused.

        :param share: share of the flow that the plan refuses.
        :param weights: weight of each account; one that is missing weighs 1.
        """
        if now >= self.next_division:
            self._divide(share, weights)
            self.next_division = now + DIVISION_INTERVAL_US
        refusals = self.accounts.get(account)
        if refusals is None:
            refusals = self.accounts[account] = AccountRefusals(share)
        refusals.asked += 1
        refusals.credit += refusals.share
        if refusals.credit < SHARE_UNIT:
            return False
        refusals.credit -= SHARE_UNIT
        return True

    def _divide(self, share: int, weights: Mapping[str, int]) -> None:
        """Divide the capacity among the accounts by their latest demand."""
        self.accounts = {
            n: refusals for n, refusals in self.accounts.items() if refusals.asked
        }
        demand = {name: refusals.asked for name, refusals in self.accounts.items()}
        capacity = sum(demand.values()) * (SHARE_UNIT - share)
        scaled = {name: asked * SHARE_UNIT for name, asked in demand.items()}
        granted = divide_fairly(scaled, weights, capacity)
        for name, refusals in self.accounts.items():
            refusals.share = SHARE_UNIT - granted[name] // refusals.asked
            refusals.asked = 0


def divide_fairly(
    demand: Mapping[str, int], weights: Mapping[str, int], capacity: int
) -> dict[str, int]:
    """Return the weighted max-min fair share of ``capacity`` for each account.

    No account gets more than its demand; the rest goes to the others by weight.

    :param weights: weight of each account; one that is missing weighs 1.
    """
    granted: dict[str, int] = {}
    left = capacity
    weight_left = sum(weights.get(name, 1) for name in demand)
    by_need = sorted(demand, key=lambda n: (demand[n] / weights.get(n, 1), n))
    for name in by_need:
        weight = weights.get(name, 1)
        granted[name] = min(demand[name], left * weight // weight_left)
        left -= granted[name]
        weight_left -= weight
    return granted
