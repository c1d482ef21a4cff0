"""Refusing what fits nowhere: fairly over client accounts, before anything runs."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import Factory, define

from almondgap_core.steering.plan import SHARE_UNIT
from almondgap_core.units import MICROS_PER_SECOND

#: Time between two divisions of the room among accounts.
DIVISION_INTERVAL_US = 2 * MICROS_PER_SECOND


@define
class AccountRefusals:
    """Look-ups of one account.

    :ivar asked: since the last division.
    :ivar share: share that is refused, out of ``SHARE_UNIT``.
    :ivar credit: what is due to be refused so far.
    """

    share: int
    asked: int = 0
    credit: int = 0


@define
class RefusalAllocator:
    """Who is refused of one flow.

    :ivar accounts: by name of the account, empty for callers without a valid key.
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
        """Give each account its part of the room, from what it last asked for."""
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
    """Return the weighted max-min fair part of ``capacity`` for each account.

    Nobody gets more than it asks for; what one leaves goes to the others by weight.

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
