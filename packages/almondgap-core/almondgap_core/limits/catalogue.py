"""The limits that the inventory declares, and how each is divided over owners."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.limits.division import divide
from almondgap_core.settings.inventory import Inventory
from almondgap_core.units import MILLIS_PER_UNIT

ACCOUNT_PREFIX = "account:"
REGION_PREFIX = "region:"


@frozen
class Limit:
    """A rate that must not be exceeded over the fleet, or a part of one.

    :ivar rate: tokens per second, in thousandths.
    :ivar burst: tokens that may be used at once.
    """

    rate: int
    burst: int


NO_SHARE = Limit(0, 0)


def name_account(account: str) -> str:
    """Return the name of a client account's limit."""
    return f"{ACCOUNT_PREFIX}{account}"


def name_region(region: str) -> str:
    """Return the name of a region's inbound capacity."""
    return f"{REGION_PREFIX}{region}"


def find_limit(inventory: Inventory, name: str) -> Limit | None:
    """Return a limit, or None if the inventory declares none of this name."""
    if name.startswith(ACCOUNT_PREFIX):
        account = inventory.accounts.get(name.removeprefix(ACCOUNT_PREFIX))
        return None if account is None else Limit(account.rate, account.burst)
    region = inventory.regions.get(name.removeprefix(REGION_PREFIX))
    if region is None:
        return None
    burst = max(1, region.capacity // MILLIS_PER_UNIT)
    return Limit(region.capacity, burst)


def list_limits(inventory: Inventory) -> list[str]:
    """Return the names of the limits that owners hold shares of.

    Regions are not among them until a request asks for their tokens.
    """
    return [name_account(name) for name in sorted(inventory.accounts)]


def compute_share(inventory: Inventory, failure_domain: str, name: str) -> Limit:
    """Return the part of a limit that a failure domain owns.

    The burst is divided in whole tokens; a failure domain that gets none gets no rate
    either, so that each part is useful and small limits live on few of them. The parts
    sum to the limit exactly.
    """
    limit = find_limit(inventory, name)
    domains = sorted(inventory.failure_domains)
    if limit is None or failure_domain not in inventory.failure_domains:
        return NO_SHARE
    bursts = divide(limit.burst, domains, f"burst:{name}")
    owners = [domain for domain in domains if bursts[domain]]
    if failure_domain not in owners:
        return NO_SHARE
    rates = divide(limit.rate, owners, f"rate:{name}")
    return Limit(rates[failure_domain], bursts[failure_domain])
