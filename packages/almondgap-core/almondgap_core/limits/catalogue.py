"""Limits declared in the inventory, and the share of each failure domain."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.limits.division import divide
from almondgap_core.settings.inventory import Inventory
from almondgap_core.units import MILLIS_PER_UNIT

ACCOUNT_PREFIX = "account:"
REGION_PREFIX = "region:"


@frozen
class Limit:
    """A fleet-wide rate limit, or a share of one.

    :ivar rate: thousandths of a token per second.
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
    """Return a limit by name, or None if the inventory does not declare it."""
    if name.startswith(ACCOUNT_PREFIX):
        account = inventory.accounts.get(name.removeprefix(ACCOUNT_PREFIX))
        return None if account is None else Limit(account.rate, account.burst)
    region = inventory.regions.get(name.removeprefix(REGION_PREFIX))
    if region is None:
        return None
    burst = max(1, region.capacity // MILLIS_PER_UNIT)
    return Limit(region.capacity, burst)


def list_limits(inventory: Inventory) -> list[str]:
    """Return the names of the limits that are divided into shares.

    Regions are left out until requests take tokens of them.
    """
    return [name_account(name) for name in sorted(inventory.accounts)]


def compute_share(inventory: Inventory, failure_domain: str, name: str) -> Limit:
    """Return the share of a limit that a failure domain owns.

    The burst is divided in whole tokens. A failure domain without a token of the burst
    gets no rate either, so every share can admit requests, and small limits are divided
    over fewer failure domains. The shares sum to the limit exactly.
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
