"""Rows of the platform's store, decoded into types of the core.

The store has other writers, so that rows are validated; a malformed row raises
MessageError and is not used.
"""

from __future__ import annotations

import base64
import json
import re
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
from almondgap_daemon.fields import (
    MAX_DURATION_S,
    check_address,
    check_count,
    check_flag,
    check_name,
    check_number,
    check_text,
    check_texts,
)

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
_DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)

#: Upper bound of a target's start time: the last millisecond of the year 9999.
MAX_UNIX_MS = 253_402_300_799_999

#: Upper bound of the slots of a target: each takes a connection, and a target has no
#: more of these than a host has ports.
MAX_SLOTS = 65_535

#: Maximum number of hexadecimal digits of the configuration's version.
MAX_VERSION_DIGITS = 15


@frozen
class StoreRow:
    """A row of the store.

    :ivar value: bytes of the row, None if the row was removed.
    :ivar part: rows of the same key in different parts are different rows.
    """

    table: str
    key: str
    value: bytes | None
    version: int
    part: str = ""


def decode_row(data: Any) -> StoreRow:
    """Return a row from its JSON form; an unreadable value becomes an empty one.

    :raises MessageError: the row is malformed.
    """
    try:
        removed = bool(data.get("tombstone", False))
        return StoreRow(
            check_text(data["table"]),
            check_text(data["key"]),
            None if removed else _decode_value(data.get("value")),
            check_count(data["ver"]),
            check_text(data.get("part") or ""),
        )
    except _DECODE_ERRORS as exc:
        raise MessageError(f"malformed row: {exc!r}") from exc


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration from the bytes of its row.

    :raises MessageError: the configuration is malformed.
    """
    data = _parse_object(value)
    try:
        return Configuration(
            version=_parse_version(data["version"]),
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
        return Announcement(
            target=check_name(name),
            # ``born`` is the target's start time, in milliseconds.
            incarnation=check_count(data["born"], MAX_UNIX_MS),
            sequence=check_count(status["seq"]),
            service=check_text(info["backend"]),
            address=check_address(data["address"]),
            failure_domain=check_text(info["zone"]),
            slots=max(1, check_count(info["slots"], MAX_SLOTS)),
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
            check_name(data["host"]),
            check_text(data["failure_domain"]),
            check_text(data["region"]),
            check_address(data["callers"]),
            check_address(data["peers"]),
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
            (Crash(check_name(target), check_count(incarnation)), check_flag(cleared))
            for target, incarnation, cleared in data["crashes"]
        ]
        report = SuspectReport(
            check_text(fingerprint),
            tuple(crash for crash, _ in known),
            tuple(crash for crash, cleared in known if cleared),
            check_count(data["trials"]),
        )
        return report, check_count(data["saved_at"])
    except _DECODE_ERRORS as exc:
        raise MessageError(f"malformed suspect: {exc!r}") from exc


def _decode_route(name: str, data: dict[str, Any]) -> Route:
    split = data.get("traffic_split")
    if split:
        backends = tuple(
            Backend(check_text(part["backend"]), check_number(part["weight"]))
            for part in split
        )
        if not any(backend.weight for backend in backends):
            raise ValueError("no service of the split has a weight")
    else:
        backends = (Backend(check_text(data["backend"])),)
    return Route(
        name=name,
        host=check_text(data["host"]),
        prefix=check_text(data["prefix"]),
        idempotent=data["kind"] == IDEMPOTENT_KIND,
        timeout=_parse_duration(data["timeout_s"]),
        goal=_parse_duration(data.get("target_latency_s") or data["timeout_s"]),
        priority=check_count(data.get("priority", 0)),
        backends=backends,
        max_attempts=check_count(data.get("max_attempts", 1)),
        public=check_flag(data.get("public") or False),
        sticky=check_flag(data.get("sticky") or False),
        regions=frozenset(check_texts(data.get("allowed_regions") or ())),
    )


def _decode_service(name: str, data: dict[str, Any]) -> Service:
    return Service(
        name=name,
        health_path=check_text(data.get("health_check") or "/"),
        max_connections=check_count(data.get("max_conns", 100)),
        warmup_time=_parse_duration(data.get("cold_s", 0.0)),
        warmup_rate=check_number(data.get("cold_per_s", 0.0)),
    )


def _decode_account(name: str, data: dict[str, Any]) -> Account:
    priority = data.get("priority")
    return Account(
        name=name,
        keys=frozenset(check_texts(data["api_keys"])),
        priority=None if priority is None else check_count(priority),
        rate=check_number(data.get("rate_per_s") or 0.0),
        burst=check_number(data.get("burst") or 0.0),
        regions=frozenset(check_texts(data.get("allowed_regions") or ())),
    )


def _decode_limits(data: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=check_count(data.get("max_header_bytes", defaults.header_bytes)),
        body_bytes=check_count(data.get("max_body_bytes", defaults.body_bytes)),
        header_timeout=_parse_duration(data.get("header_timeout_s", 3.0)),
        idle_timeout=_parse_duration(data.get("idle_timeout_s", 15.0)),
    )


def _decode_value(text: Any) -> bytes:
    """Return the bytes of a row, none if they can't be read."""
    try:
        return base64.b64decode(text, validate=True)
    except (TypeError, ValueError):
        return b""


def _parse_version(text: Any) -> int:
    if not re.fullmatch(rf"[0-9a-fA-F]{{1,{MAX_VERSION_DIGITS}}}", check_text(text)):
        raise ValueError("version is not a hexadecimal number")
    return int(text, 16)


def _parse_object(value: bytes) -> dict[str, Any]:
    try:
        data = json.loads(value)
    except (ValueError, RecursionError) as exc:
        raise MessageError(f"invalid JSON: {exc}") from exc
    if not isinstance(data, dict):
        raise MessageError("not a JSON object")
    return data


def _parse_duration(value: Any) -> int:
    return seconds(check_number(value, MAX_DURATION_S))
