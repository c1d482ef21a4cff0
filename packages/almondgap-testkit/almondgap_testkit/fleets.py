"""Builders of fleets of any size, for scenarios and measurements."""

from __future__ import annotations

import json
from typing import Any

from almondgap_core.keys.credential import compute_digest
from almondgap_testkit.builders import PEPPER

REGIONS = 8


def build_fleet_document(
    domains: int,
    services: int = 1,
    targets_per_domain: int = 1,
    slots: int = 4,
    accounts: int = 1,
    deadline_ms: int = 2_000,
    open_to_all: bool = False,
    **account_fields: Any,
) -> dict[str, Any]:
    """Return the document of a fleet whose domains d0, d1, ... stand in regions r0 ..

    Callers of an open service need no account; any name without a key will do.

    Every service s0, s1, ... has ``targets_per_domain`` targets in each domain.

    :param account_fields: fields of the accounts c0, c1, ... beside their keys.
    """
    regions: dict[str, Any] = {}
    for number in range(domains):
        name = f"r{number % min(REGIONS, max(domains // 2, 1))}"
        region = regions.setdefault(
            name, {"failure_domains": [], "capacity_per_s": 100_000}
        )
        region["failure_domains"].append(f"d{number}")
    fields = {"rate_per_s": 100_000, "burst": 100_000, **account_fields}
    return {
        "regions": regions,
        "services": {
            f"s{number}": {
                "deadline_ms": deadline_ms,
                "open": open_to_all,
                "shed_is_not_run": True,
                "targets": _list_targets(number, domains, targets_per_domain, slots),
            }
            for number in range(services)
        },
        "accounts": {
            f"c{number}": {
                **fields,
                "keys": [{"id": f"k{number}", "digest": compute_digest("x", PEPPER)}],
            }
            for number in range(accounts)
        },
    }


def build_fleet_text(domains: int, **fields: Any) -> str:
    """Return the text of the document that :func:`build_fleet_document` makes."""
    return json.dumps(build_fleet_document(domains, **fields))


def place_hosts(count: int, domains: int) -> dict[str, str]:
    """Return the failure domain of each of ``count`` hosts, placed in turn."""
    return {f"h{number}": f"d{number % domains}" for number in range(count)}


def _list_targets(service: int, domains: int, count: int, slots: int):
    return [
        {
            "name": f"t{service}-{domain}-{number}",
            "failure_domain": f"d{domain}",
            "address": "127.0.0.1",
            "port": 9000,
            "slots": slots,
            "connections": 400,
        }
        for domain in range(domains)
        for number in range(count)
    ]
