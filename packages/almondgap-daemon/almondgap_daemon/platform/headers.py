"""Headers between callers, this host and targets."""

from __future__ import annotations

from attrs import frozen

from almondgap_daemon.http.answer import (
    RawHeaders,
    find_header,
    list_connection_headers,
)

REQUEST_ID = b"x-almondgap-request-attempt-id"
THING = b"x-almondgap-affinity-key"
DEADLINE = b"x-almondgap-deadline-ms"
ACCOUNT = b"x-almondgap-tenant"
EXPECTED_TARGET = b"x-almondgap-expect-instance"

SEAL = b"x-almondgap-response-seal"
NOT_EXECUTED = b"x-almondgap-not-executed"
LOAD = b"x-almondgap-server-load"
TARGET = b"x-almondgap-instance-id"
COLD_LEFT = b"x-almondgap-cold-ms"

MISDIRECTED_STATUS = 421

#: Time that a caller waits if it does not tell, in milliseconds.
USUAL_PATIENCE_MS = 30_000

#: Headers of a request that this host makes itself, or keeps to itself.
_OWN = frozenset({ACCOUNT, EXPECTED_TARGET, DEADLINE, b"authorization", b"expect"})

MILLIS = 1_000


@frozen
class CallerHeaders:
    """What a caller's headers say.

    :ivar patience: how long the caller will wait, in microseconds.
    """

    host: str
    request_id: str
    thing: str
    key: str
    patience: int


def read_caller_headers(headers: RawHeaders) -> CallerHeaders:
    """Return what the headers of a caller's request say."""
    host = _text(find_header(headers, b"host")).lower()
    scheme, _, key = _text(find_header(headers, b"authorization")).partition(" ")
    return CallerHeaders(
        host=host.rpartition(":")[0] if ":" in host else host,
        request_id=_text(find_header(headers, REQUEST_ID)),
        thing=_text(find_header(headers, THING)),
        key=key.strip() if scheme.lower() == "bearer" else "",
        patience=_read_patience(find_header(headers, DEADLINE)),
    )


def make_request_headers(
    headers: RawHeaders, target: str, account: str, time_left: int, body_bytes: int
) -> RawHeaders:
    """Return the headers of a request as a target gets it.

    :param time_left: how long the target may work, in microseconds.
    """
    dropped = list_connection_headers(headers)
    made = [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped
        and name.lower() not in _OWN
        and name.lower() != b"content-length"
    ]
    framed = any(
        name.lower() in (b"content-length", b"transfer-encoding") for name, _ in headers
    )
    if framed:
        made.append((b"Content-Length", str(body_bytes).encode()))
    made.append((b"X-Almondgap-Deadline-Ms", str(time_left // MILLIS).encode()))
    made.append((b"X-Almondgap-Expect-Instance", target.encode()))
    if account:
        made.append((b"X-Almondgap-Tenant", account.encode()))
    return made


def make_answer_headers(headers: RawHeaders, body_bytes: int | None) -> RawHeaders:
    """Return the headers of a target's answer as the caller gets it.

    :param body_bytes: length of the body, None to leave it as the target told.
    """
    dropped = list_connection_headers(headers)
    made = [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped
        and (body_bytes is None or name.lower() != b"content-length")
    ]
    if body_bytes is not None:
        made.append((b"Content-Length", str(body_bytes).encode()))
    return made


def read_load(headers: RawHeaders) -> tuple[int, int] | None:
    """Return the running and waiting requests that a target tells, None if none."""
    parts = (find_header(headers, LOAD) or b"").split(b",")
    if len(parts) < 2 or not all(part.strip().isdigit() for part in parts[:2]):
        return None
    return int(parts[0]), int(parts[1])


def read_cold_left(headers: RawHeaders) -> int:
    """Return how much longer a target says to stay cold, in microseconds."""
    value = (find_header(headers, COLD_LEFT) or b"").strip()
    try:
        return max(0, round(float(value) * MILLIS)) if value else 0
    except (ValueError, OverflowError):
        return 0


def _read_patience(value: bytes | None) -> int:
    try:
        told = float(value) if value else USUAL_PATIENCE_MS
    except ValueError:
        told = USUAL_PATIENCE_MS
    # A number that is none compares false and reads as the usual time.
    return round((told if 0 <= told < 1e9 else USUAL_PATIENCE_MS) * MILLIS)


def _text(value: bytes | None) -> str:
    return (value or b"").decode("latin-1").strip()
