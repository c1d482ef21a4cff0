"""Rows of the platform's store, decoded into the product's types.

Rows may come from another writer: a row that cannot be understood names nothing to use.
"""

from __future__ import annotations

import base64
import binascii
import json
from typing import Any

from attrs import frozen

from almondgap_core.exceptions import MessageError
from almondgap_core.gateway.configuration import (
    Account,
    Backend,
    CallerLimits,
    Configuration,
    Route,
    Service,
)
from almondgap_core.gateway.heartbeats import HostLocation
from almondgap_core.gateway.target import Announcement
from almondgap_core.units import seconds

#: Table of what operators write, key of the configuration, and start of the keys that
#: name failure domains to be evacuated.
OPERATORS_TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"

#: Table in which targets announce themselves. The wire calls a target a server.
TARGETS_TABLE = "servers"

#: Table in which hosts of this system find each other.
HOSTS_TABLE = "almondgap-hosts"

#: Routes whose requests may run more than once.
IDEMPOTENT_KIND = "safe"

STATES = {"ready": False, "draining": True}

#: Longest time that a field may hold, in seconds; anything above is a mistake.
MOST_SECONDS = 86_400.0


@frozen
class StoreRow:
    """A row of the store.

    :ivar value: bytes of the row, None if the row was removed.
    """

    table: str
    key: str
    value: bytes | None
    version: int


def decode_row(node: Any) -> StoreRow:
    """Return a row in an answer of the store.

    :raises MessageError: it is no row.
    """
    try:
        removed = bool(node.get("tombstone", False))
        text = None if removed else node.get("value")
        value = None if text is None else base64.b64decode(text, validate=True)
        return StoreRow(node["table"], node["key"], value, int(node["ver"]))
    except (AttributeError, KeyError, TypeError, ValueError, binascii.Error) as exc:
        raise MessageError(f"no row: {exc!r}") from exc


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration that operators wrote.

    :raises MessageError: it is none.
    """
    node = _parse(value)
    try:
        return Configuration(
            version=int(node["version"], 16),
            routes=tuple(
                _decode_route(name, route) for name, route in node["routes"].items()
            ),
            services={
                name: _decode_service(name, service)
                for name, service in node["services"].items()
            },
            accounts={
                name: _decode_account(name, account)
                for name, account in node.get("tenants", {}).items()
            },
            limits=_decode_limits(node.get("limits", {})),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise MessageError(f"no configuration: {exc!r}") from exc


def decode_announcement(name: str, value: bytes) -> Announcement:
    """Return what a target announced.

    :raises MessageError: it is no announcement of a target that can be used.
    """
    node = _parse(value)
    try:
        info, status = node["info"], node["status"]
        host, _, port = _text(node["address"]).rpartition(":")
        if not host or not 0 < int(port) < 65_536:
            raise ValueError(f"address {node['address']!r}")
        return Announcement(
            target=name,
            # ``born`` is the time of the start of this run, in milliseconds.
            incarnation=_whole(node["born"]),
            sequence=_whole(status["seq"]),
            service=_text(info["backend"]),
            address=node["address"],
            failure_domain=_text(info["zone"]),
            slots=max(1, _whole(info["slots"])),
            draining=STATES[status["state"]],
            warmup_left=_time(status["cold_left_s"]),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise MessageError(f"no announcement: {exc!r}") from exc


def encode_place(place: HostLocation) -> bytes:
    """Return the row of a host of this system."""
    return json.dumps(
        {
            "host": place.host,
            "failure_domain": place.failure_domain,
            "region": place.region,
            "callers": place.caller_address,
            "peers": place.peer_address,
        }
    ).encode()


def decode_place(value: bytes) -> HostLocation:
    """Return the place of a host of this system.

    :raises MessageError: the row is none that this system wrote.
    """
    node = _parse(value)
    try:
        return HostLocation(
            _text(node["host"]),
            _text(node["failure_domain"]),
            _text(node["region"]),
            _text(node["callers"]),
            _text(node["peers"]),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise MessageError(f"no host: {exc!r}") from exc


def _decode_route(name: str, node: dict[str, Any]) -> Route:
    split = node.get("traffic_split")
    if split:
        backends = tuple(
            Backend(_text(part["backend"]), float(part["weight"])) for part in split
        )
    else:
        backends = (Backend(_text(node["backend"])),)
    return Route(
        name=name,
        host=_text(node["host"]),
        prefix=_text(node["prefix"]),
        idempotent=node["kind"] == IDEMPOTENT_KIND,
        timeout=_time(node["timeout_s"]),
        goal=_time(node.get("target_latency_s") or node["timeout_s"]),
        priority=int(node.get("priority", 0)),
        backends=backends,
        max_attempts=int(node.get("max_attempts", 1)),
        public=bool(node.get("public", False)),
        sticky=bool(node.get("sticky", False)),
        regions=frozenset(node.get("allowed_regions") or ()),
    )


def _decode_service(name: str, node: dict[str, Any]) -> Service:
    return Service(
        name=name,
        health_path=_text(node.get("health_check") or "/"),
        max_connections=int(node.get("max_conns", 100)),
        warmup_time=_time(node.get("cold_s", 0.0)),
        warmup_rate=float(node.get("cold_per_s", 0.0)),
    )


def _decode_account(name: str, node: dict[str, Any]) -> Account:
    priority = node.get("priority")
    return Account(
        name=name,
        keys=frozenset(_text(key) for key in node["api_keys"]),
        priority=None if priority is None else int(priority),
        rate=float(node.get("rate_per_s") or 0.0),
        burst=float(node.get("burst") or 0.0),
        regions=frozenset(node.get("allowed_regions") or ()),
    )


def _decode_limits(node: dict[str, Any]) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        header_bytes=int(node.get("max_header_bytes", usual.header_bytes)),
        body_bytes=int(node.get("max_body_bytes", usual.body_bytes)),
        header_timeout=_time(node.get("header_timeout_s", 3.0)),
        idle_timeout=_time(node.get("idle_timeout_s", 15.0)),
    )


def _parse(value: bytes) -> dict[str, Any]:
    try:
        node = json.loads(value)
    except (ValueError, RecursionError) as exc:
        raise MessageError(f"no JSON: {exc}") from exc
    if not isinstance(node, dict):
        raise MessageError("no JSON object")
    return node


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is no text")
    return value


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise TypeError(f"{value!r} is no whole number")
    return value


def _time(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is no time")
    if not 0 <= value <= MOST_SECONDS:
        raise ValueError(f"{value!r} is no time")
    return seconds(value)
