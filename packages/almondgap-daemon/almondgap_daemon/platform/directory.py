"""The platform's questions to a host: where to connect, and whether it is ready."""

from __future__ import annotations

import json

from attrs import frozen

RESOLVE_PATH = "/resolve"
READY_PATH = "/ready"
METRICS_PATH = "/metrics"
JSON_TYPE = "application/json"


@frozen
class ResolveQuery:
    """A caller's question where to connect."""

    region: str
    failure_domain: str


def parse_query(query: dict[str, str]) -> ResolveQuery:
    """Return the question in a query; a part that is missing is empty."""
    return ResolveQuery(query.get("region", ""), query.get("zone", ""))


def encode_addresses(addresses: list[str], ttl_s: float) -> bytes:
    """Return the body that names addresses of hosts.

    :param ttl_s: time for which the caller may keep the answer, in seconds.
    """
    return json.dumps({"addresses": addresses, "ttl_s": ttl_s}).encode()
