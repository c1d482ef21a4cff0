"""Headers of requests and responses between callers, this host and targets."""

from __future__ import annotations

import re
from math import inf

from attrs import frozen

from almondgap_core.units import seconds
from almondgap_core.verdict import Reason
from almondgap_daemon.fields import MAX_DURATION_S
from almondgap_daemon.http.response import (
    RawHeaders,
    find_header,
    list_connection_headers,
)

REQUEST_ID = b"x-almondgap-request-attempt-id"
AFFINITY_KEY = b"x-almondgap-affinity-key"
DEADLINE = b"x-almondgap-deadline-ms"
ACCOUNT = b"x-almondgap-tenant"
EXPECTED_TARGET = b"x-almondgap-expect-instance"

#: Set on a request that another host hands over, with the number of targets to which it
#: was sent before and the version of that host's configuration.
RELAYED = b"almondgap-relayed"

#: Set on an answer to a request that another host handed over, with the name of the
#: target if that target says that it leaves.
LEAVING_TARGET = b"almondgap-leaving-target"

#: Set on a host's own answers, with the reason why it refused a request.
REASON = b"almondgap-reason"

SEAL = b"x-almondgap-response-seal"
NOT_EXECUTED = b"x-almondgap-not-executed"
LOAD = b"x-almondgap-server-load"
TARGET = b"x-almondgap-instance-id"
WARM_UP_LEFT = b"x-almondgap-cold-ms"
RATE_LIMIT = b"server-limit"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"

MISDIRECTED_STATUS = 421

#: Status with which a target turns a request away.
UNAVAILABLE_STATUS = 503

#: Time-out of requests without a valid deadline header, in milliseconds.
DEFAULT_TIMEOUT_MS = 30_000

#: Request headers that are not forwarded, since this host sets or consumes them.
_MANAGED_HEADERS = frozenset(
    {ACCOUNT, EXPECTED_TARGET, DEADLINE, RELAYED, b"authorization", b"expect"}
)

MICROS_PER_MILLI = 1_000

_REASONS = frozenset(reason.value for reason in Reason)

#: Number of earlier attempts and version of the configuration.
_RELAYED = re.compile(rb"(\d{1,3}) (\d{1,20})")

#: A decimal number of seconds.
_SECONDS = re.compile(rb"\d{1,9}(\.\d{0,9})?|\.\d{1,9}")

#: A decimal number of milliseconds.
_MILLIS = re.compile(rb"\d{1,12}(\.\d{0,9})?")

#: A number of requests.
_COUNT = re.compile(rb"\s*\d{1,6}\s*")

#: A decimal number of requests per second.
_RATE = re.compile(rb"\d{1,15}(\.\d{0,15})?|\.\d{1,15}")


@frozen
class CallerHeaders:
    """Values of a caller's headers; strings are empty when the header is missing.

    :ivar host: host name without a port, in lower case.
    :ivar key: bearer token.
    :ivar timeout: time for which the caller waits, in microseconds.
    :ivar prior_attempts: number of targets to which another host sent the request
        before it handed it over, None if it comes from a caller.
    :ivar min_version: version of that host's configuration, 0 for a caller.
    """

    host: str
    request_id: str
    affinity_key: str
    key: str
    timeout: int
    prior_attempts: int | None
    min_version: int


def parse_caller_headers(headers: RawHeaders) -> CallerHeaders:
    """Return the values of a caller's request headers."""
    host = _decode_value(find_header(headers, b"host")).lower()
    scheme, _, key = _decode_value(find_header(headers, b"authorization")).partition(
        " "
    )
    prior_attempts, min_version = _parse_relay(find_header(headers, RELAYED))
    return CallerHeaders(
        host=host.rpartition(":")[0] if ":" in host else host,
        request_id=_decode_value(find_header(headers, REQUEST_ID)),
        affinity_key=_decode_value(find_header(headers, AFFINITY_KEY)),
        key=key.strip() if scheme.lower() == "bearer" else "",
        timeout=_parse_timeout(find_header(headers, DEADLINE)),
        prior_attempts=prior_attempts,
        min_version=min_version,
    )


def make_request_headers(
    headers: RawHeaders, target: str, account: str, time_left: int, body_bytes: int
) -> RawHeaders:
    """Return the headers of the request that is sent to a target.

    :param headers: headers of the caller's request.
    :param time_left: time until the request's deadline, in microseconds.
    :param body_bytes: length of the body, in bytes.
    """
    forwarded = _forward_headers(headers, _MANAGED_HEADERS, time_left, body_bytes)
    forwarded.append((b"X-Almondgap-Expect-Instance", target.encode()))
    if account:
        forwarded.append((b"X-Almondgap-Tenant", account.encode()))
    return forwarded


def make_relay_headers(
    headers: RawHeaders,
    prior_attempts: int,
    version: int,
    time_left: int,
    body_bytes: int,
) -> RawHeaders:
    """Return the headers of the request that is handed over to another host.

    :param headers: headers of the caller's request.
    :param prior_attempts: number of targets to which it was sent before.
    :param version: version of this host's configuration.
    :param time_left: time until the request's deadline, in microseconds.
    :param body_bytes: length of the body, in bytes.
    """
    managed = frozenset({DEADLINE, RELAYED, b"expect"})
    forwarded = _forward_headers(headers, managed, time_left, body_bytes)
    forwarded.append((b"Almondgap-Relayed", b"%d %d" % (prior_attempts, version)))
    return forwarded


def _forward_headers(
    headers: RawHeaders, managed: frozenset[bytes], time_left: int, body_bytes: int
) -> RawHeaders:
    """Return the headers to forward, with the body's length and the time left."""
    dropped = list_connection_headers(headers) | managed | {b"content-length"}
    forwarded = [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]
    framed = any(
        name.lower() in (b"content-length", b"transfer-encoding") for name, _ in headers
    )
    if framed:
        forwarded.append((b"Content-Length", str(body_bytes).encode()))
    forwarded.append(
        (b"X-Almondgap-Deadline-Ms", str(time_left // MICROS_PER_MILLI).encode())
    )
    return forwarded


def make_response_headers(headers: RawHeaders, body_bytes: int | None) -> RawHeaders:
    """Return the headers of the response that is sent to the caller.

    :param headers: headers of the target's response.
    :param body_bytes: length of the body, None to keep the target's Content-Length.
    """
    dropped = list_connection_headers(headers) | {LEAVING_TARGET, REASON}
    forwarded = [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped
        and (body_bytes is None or name.lower() != b"content-length")
    ]
    if body_bytes is not None:
        forwarded.append((b"Content-Length", str(body_bytes).encode()))
    return forwarded


def parse_load(headers: RawHeaders) -> tuple[int, int] | None:
    """Return a target's numbers of running and queued requests, None if invalid."""
    parts = (find_header(headers, LOAD) or b"").split(b",")
    if len(parts) < 2 or not all(_COUNT.fullmatch(part) for part in parts[:2]):
        return None
    return int(parts[0]), int(parts[1])


def parse_rate_limit(headers: RawHeaders) -> float | None:
    """Return the requests per second that a target takes from all hosts together.

    :return: infinity if the target advertises none, None if the value is malformed.
    """
    value = find_header(headers, RATE_LIMIT)
    if value is None:
        return inf
    value = value.strip()
    return float(value) if _RATE.fullmatch(value) else None


def parse_leaving_target(headers: RawHeaders) -> str:
    """Return the target of another host's answer if it leaves, else nothing."""
    return _decode_value(find_header(headers, LEAVING_TARGET))


def parse_leaving(headers: RawHeaders) -> bool:
    """Return whether a target says that it leaves."""
    return (find_header(headers, LEAVING) or b"").strip() == b"1"


def parse_retry_after(status: int, headers: RawHeaders) -> int | None:
    """Return for how long a target that turned a request away wants no others.

    :return: microseconds, None if it does not say or the value is no decimal number.
    """
    value = (find_header(headers, RETRY_AFTER) or b"").strip()
    if status != UNAVAILABLE_STATUS or not _SECONDS.fullmatch(value):
        return None
    return seconds(min(float(value), MAX_DURATION_S))


def parse_warm_up_left(headers: RawHeaders) -> int:
    """Return the remaining warm-up time of a target in microseconds, 0 if invalid."""
    value = (find_header(headers, WARM_UP_LEFT) or b"").strip()
    if not _MILLIS.fullmatch(value):
        return 0
    return seconds(min(float(value) / 1_000, MAX_DURATION_S))


def _parse_timeout(value: bytes | None) -> int:
    try:
        timeout_ms = float(value) if value else DEFAULT_TIMEOUT_MS
    except ValueError:
        timeout_ms = DEFAULT_TIMEOUT_MS
    # NaN fails the comparison and falls back to the default.
    return round(
        (timeout_ms if 0 <= timeout_ms < 1e9 else DEFAULT_TIMEOUT_MS) * MICROS_PER_MILLI
    )


def parse_reason(headers: RawHeaders) -> Reason | None:
    """Return why a host refused a request, None if it does not say."""
    value = _decode_value(find_header(headers, REASON))
    return Reason(value) if value in _REASONS else None


def _parse_relay(value: bytes | None) -> tuple[int | None, int]:
    """Return the earlier attempts, None without any, and the required version."""
    if value is None:
        return None, 0
    match = _RELAYED.fullmatch(value)
    return (int(match[1]), int(match[2])) if match else (0, 0)


def _decode_value(value: bytes | None) -> str:
    return (value or b"").decode("latin-1").strip()
