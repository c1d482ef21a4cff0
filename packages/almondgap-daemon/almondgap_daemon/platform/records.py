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
from almondgap_core.gateway.beats import HostPlace
from almondgap_core.gateway.configuration import (
    Account,
    Backend,
    CallerLimits,
    Configuration,
    Route,
    Service,
)
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

DRAINING_BY_STATE = {"ready": False, "draining": True}

#: Longest time that a field may hold, in seconds; anything above is a mistake.
MAX_DURATION_S = 86_400.0


@frozen
class StoreRow:
    """A row of the store.

    :ivar value: bytes of the row, None if the row was removed.
    """

    table: str
    key: str
    value: bytes | None
    version: int


def decode_row(data: Any) -> StoreRow:
    """Return a row in an answer of the store.

    :raises MessageError: it is no row.
    """
    try:
        removed = bool(data.get("tombstone", False))
        text = None if removed else data.get("value")
        value = None if text is None else base64.b64decode(text, validate=True)
        return StoreRow(data["table"], data["key"], value, int(data["ver"]))
    except (AttributeError, KeyError, TypeError, ValueError, binascii.Error) as exc:
        raise MessageError(f"no row: {exc!r}") from exc


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration that operators wrote.

    :raises MessageError: it is none.
    """
    data = _parse_object(value)
    try:
        return Configuration(
            version=int(data["version"], 16),
            routes=tuple(
                _decode_route(name, route) for name, route in data["routes"].items()
            ),
            services={
                name: _decode_service(name, service)
                for name, service in data["services"].items()
            },
            accounts={
                name: _decode_account(name, account)
                for name, account in data.get("tenants", {}).items()
            },
            limits=_decode_limits(data.get("limits", {})),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise MessageError(f"no configuration: {exc!r}") from exc


def decode_announcement(name: str, value: bytes) -> Announcement:
    """Return what a target announced.

    :raises MessageError: it is no announcement of a target that can be used.
    """
    data = _parse_object(value)
    try:
        info, status = data["info"], data["status"]
        host, _, port = _check_text(data["address"]).rpartition(":")
        if not host or not 0 < int(port) < 65_536:
            raise ValueError(f"address {data['address']!r}")
        return Announcement(
            target=name,
            # ``born`` is the time of the start of this run, in milliseconds.
            incarnation=_check_count(data["born"]),
            sequence=_check_count(status["seq"]),
            service=_check_text(info["backend"]),
            address=data["address"],
            failure_domain=_check_text(info["zone"]),
            slots=max(1, _check_count(info["slots"])),
            draining=DRAINING_BY_STATE[status["state"]],
            cold_left=_parse_duration(status["cold_left_s"]),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise MessageError(f"no announcement: {exc!r}") from exc


def encode_place(place: HostPlace) -> bytes:
    """Return the row of a host of this system."""
    return json.dumps(
        {
            "host": place.host,
            "failure_domain": place.failure_domain,
            "region": place.region,
            "callers": place.callers,
            "peers": place.peers,
        }
    ).encode()


def decode_place(value: bytes) -> HostPlace:
    """Return the place of a host of this system.

    :raises MessageError: the row is none that this system wrote.
    """
    data = _parse_object(value)
    try:
        return HostPlace(
            _check_text(data["host"]),
            _check_text(data["failure_domain"]),
            _check_text(data["region"]),
            _check_text(data["callers"]),
            _check_text(data["peers"]),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise MessageError(f"no host: {exc!r}") from exc


def _decode_route(name: str, data: dict[str, Any]) -> Route:
    split = data.get("traffic_split")
    if split:
        backends = tuple(
            Backend(_check_text(part["backend"]), float(part["weight"]))
            for part in split
        )
    else:
        backends = (Backend(_check_text(data["backend"])),)
    return Route(
        name=name,
        host=_check_text(data["host"]),
        prefix=_check_text(data["prefix"]),
        idempotent=data["kind"] == IDEMPOTENT_KIND,
        timeout=_parse_duration(data["timeout_s"]),
        goal=_parse_duration(data.get("target_latency_s") or data["timeout_s"]),
        priority=int(data.get("priority", 0)),
        backends=backends,
        max_attempts=int(data.get("max_attempts", 1)),
        public=bool(data.get("public", False)),
        sticky=bool(data.get("sticky", False)),
        regions=frozenset(data.get("allowed_regions") or ()),
    )


def _decode_service(name: str, data: dict[str, Any]) -> Service:
    return Service(
        name=name,
        health_path=_check_text(data.get("health_check") or "/"),
        connections=int(data.get("max_conns", 100)),
        cold_time=_parse_duration(data.get("cold_s", 0.0)),
        cold_rate=float(data.get("cold_per_s", 0.0)),
    )


def _decode_account(name: str, data: dict[str, Any]) -> Account:
    priority = data.get("priority")
    return Account(
        name=name,
        keys=frozenset(_check_text(key) for key in data["api_keys"]),
        priority=None if priority is None else int(priority),
        rate=float(data.get("rate_per_s") or 0.0),
        burst=float(data.get("burst") or 0.0),
        regions=frozenset(data.get("allowed_regions") or ()),
    )


def _decode_limits(data: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=int(data.get("max_header_bytes", defaults.header_bytes)),
        body_bytes=int(data.get("max_body_bytes", defaults.body_bytes)),
        header_timeout=_parse_duration(data.get("header_timeout_s", 3.0)),
        idle_timeout=_parse_duration(data.get("idle_timeout_s", 15.0)),
    )


def _parse_object(value: bytes) -> dict[str, Any]:
    try:
        data = json.loads(value)
    except (ValueError, RecursionError) as exc:
        raise MessageError(f"no JSON: {exc}") from exc
    if not isinstance(data, dict):
        raise MessageError("no JSON object")
    return data


def _check_text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is no text")
    return value


def _check_count(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise TypeError(f"{value!r} is no whole number")
    return value


def _parse_duration(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is no time")
    if not 0 <= value <= MAX_DURATION_S:
        raise ValueError(f"{value!r} is no time")
    return seconds(value)
