"""HTTP endpoints that the platform queries: directory, readiness and metrics."""

from __future__ import annotations

import json

from attrs import frozen

RESOLVE_PATH = "/resolve"
READY_PATH = "/ready"
METRICS_PATH = "/metrics"
JSON_TYPE = "application/json"


@frozen
class ResolveQuery:
    """A caller's query for hosts to connect to."""

    region: str
    failure_domain: str


def parse_query(query: dict[str, str]) -> ResolveQuery:
    """Return the query in URL parameters; missing parameters are empty strings."""
    return ResolveQuery(query.get("region", ""), query.get("zone", ""))


def encode_addresses(addresses: list[str], ttl_s: float) -> bytes:
    """Return the JSON body that lists addresses of hosts.

    :param ttl_s: time for which the caller may cache the answer, in seconds.
    """
    return json.dumps({"addresses": addresses, "ttl_s": ttl_s}).encode()
