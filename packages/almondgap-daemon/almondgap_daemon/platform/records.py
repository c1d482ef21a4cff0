"""Rows of the platform's store, decoded into types of the core.

The store has other writers, so that rows are validated; a malformed row raises
MessageError and is not used.
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
from almondgap_core.gateway.suspects import Crash, SuspectReport
from almondgap_core.gateway.target import Announcement
from almondgap_core.units import seconds

#: Table that operators write, key of the configuration in it, and prefix of the keys of
#: failure domains that are evacuated.
OPERATORS_TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"

#: Table in which targets announce themselves; the platform calls a target a server.
TARGETS_TABLE = "servers"

#: Table in which hosts of this system discover each other.
HOSTS_TABLE = "almondgap-hosts"

#: Table in which hosts of this system save requests that crash targets.
SUSPECTS_TABLE = "almondgap-suspects"

#: Kind of routes whose requests are idempotent.
IDEMPOTENT_KIND = "safe"

DRAINING_BY_STATE = {"ready": False, "draining": True}

#: What decoding raises for values of other types, and for numbers beyond any range.
_DECODE_ERRORS = (ArithmeticError, AttributeError, KeyError, TypeError, ValueError)

#: Upper bound of durations, in seconds; larger values are taken for mistakes.
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
    """Return a row from its JSON form.

    :raises MessageError: the row is malformed.
    """
    try:
        removed = bool(data.get("tombstone", False))
        text = None if removed else data.get("value")
        value = None if text is None else base64.b64decode(text, validate=True)
        return StoreRow(
            _check_text(data["table"]),
            _check_text(data["key"]),
            value,
            _check_count(data["ver"]),
        )
    except (AttributeError, KeyError, TypeError, ValueError, binascii.Error) as exc:
        raise MessageError(f"malformed row: {exc!r}") from exc


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration from the bytes of its row.

    :raises MessageError: the configuration is malformed.
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
    except _DECODE_ERRORS as exc:
        raise MessageError(f"malformed configuration: {exc!r}") from exc


def decode_announcement(name: str, value: bytes) -> Announcement:
    """Return a target's announcement from the bytes of its row.

    :param name: key of the row, which names the target.
    :raises MessageError: the announcement is malformed or has no usable address.
    """
    data = _parse_object(value)
    try:
        info, status = data["info"], data["status"]
        host, _, port = _check_text(data["address"]).rpartition(":")
        if not host or not 0 < int(port) < 65_536:
            raise ValueError(f"invalid address {data['address']!r}")
        return Announcement(
            target=name,
            # ``born`` is the target's start time, in milliseconds.
            incarnation=_check_count(data["born"]),
            sequence=_check_count(status["seq"]),
            service=_check_text(info["backend"]),
            address=data["address"],
            failure_domain=_check_text(info["zone"]),
            slots=max(1, _check_count(info["slots"])),
            draining=DRAINING_BY_STATE[status["state"]],
            warmup_left=_parse_duration(status["cold_left_s"]),
        )
    except _DECODE_ERRORS as exc:
        raise MessageError(f"malformed announcement: {exc!r}") from exc


def encode_place(place: HostLocation) -> bytes:
    """Return the bytes of the row of a host of this system."""
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
    """Return the place of a host of this system from the bytes of its row.

    :raises MessageError: the row is malformed.
    """
    data = _parse_object(value)
    try:
        return HostLocation(
            _check_text(data["host"]),
            _check_text(data["failure_domain"]),
            _check_text(data["region"]),
            _check_text(data["callers"]),
            _check_text(data["peers"]),
        )
    except _DECODE_ERRORS as exc:
        raise MessageError(f"malformed host: {exc!r}") from exc


def encode_suspect(report: SuspectReport, saved_at: float) -> bytes:
    """Return the bytes of the row of a request that crashes targets.

    :param saved_at: Unix time, in seconds.
    """
    crashes = [
        [crash.target, crash.incarnation, crash in report.cleared]
        for crash in report.crashes
    ]
    data = {"crashes": crashes, "trials": report.trials, "saved_at": round(saved_at)}
    return json.dumps(data).encode()


def decode_suspect(fingerprint: str, value: bytes) -> tuple[SuspectReport, int]:
    """Return what a row says about a request, and when it was written.

    :return: the report, and a Unix time in seconds.
    :raises MessageError: the row is malformed.
    """
    data = _parse_object(value)
    try:
        known = [
            (Crash(_check_text(target), _check_count(incarnation)), bool(cleared))
            for target, incarnation, cleared in data["crashes"]
        ]
        report = SuspectReport(
            fingerprint,
            tuple(crash for crash, _ in known),
            tuple(crash for crash, cleared in known if cleared),
            _check_count(data["trials"]),
        )
        return report, _check_count(data["saved_at"])
    except _DECODE_ERRORS as exc:
        raise MessageError(f"malformed suspect: {exc!r}") from exc


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
        max_connections=int(data.get("max_conns", 100)),
        warmup_time=_parse_duration(data.get("cold_s", 0.0)),
        warmup_rate=float(data.get("cold_per_s", 0.0)),
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
        raise MessageError(f"invalid JSON: {exc}") from exc
    if not isinstance(data, dict):
        raise MessageError("not a JSON object")
    return data


def _check_text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    return value


def _check_count(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise TypeError(f"{value!r} is not a whole number of 0 or more")
    return value


def _parse_duration(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is not a duration")
    if not 0 <= value <= MAX_DURATION_S:
        raise ValueError(f"{value!r} is not a valid duration")
    return seconds(value)
