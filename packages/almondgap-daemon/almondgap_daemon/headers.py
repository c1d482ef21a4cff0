"""Headers that pass, and headers that do not."""

from __future__ import annotations

from twisted.web.http_headers import Headers

from almondgap_daemon.http.answer import HOP_BY_HOP

KEY_HEADER = "Almondgap-Key"
OPERATION_HEADER = "Idempotency-Key"
REQUEST_HEADER = "Almondgap-Request"
ACCOUNT_HEADER = "Almondgap-Account"
DEADLINE_HEADER = "Almondgap-Deadline-Ms"
PREFIX = b"almondgap-"

#: Stands for an operation key that is empty.
NO_KEY = "-"


def copy_request_headers(headers: Headers) -> Headers:
    """Return the headers of a caller's request that a target may see."""
    return _copy(headers, {b"host", b"content-length", b"expect"})


def copy_answer_headers(headers: Headers) -> Headers:
    """Return the headers of a target's answer that the caller may see."""
    return _copy(headers, set())


def read_operation(headers: Headers) -> str:
    """Return the operation key of a request, empty without one.

    Several keys, and one that is empty or no text, read as a key that no look-up gave.
    """
    values = headers.getRawHeaders(OPERATION_HEADER.encode())
    if values is None:
        return ""
    return b",".join(values).decode(errors="replace").strip() or NO_KEY


def _copy(headers: Headers, dropped: set[bytes]) -> Headers:
    named = _list_connection_headers(headers)
    copied = Headers()
    for name, values in headers.getAllRawHeaders():
        low = name.lower()
        if low in HOP_BY_HOP or low in named or low in dropped:
            continue
        if low.replace(b"_", b"-").startswith(PREFIX):
            continue
        copied.setRawHeaders(name, values)
    return copied


def _list_connection_headers(headers: Headers) -> set[bytes]:
    values = headers.getRawHeaders(b"connection", [])
    return {part.strip().lower() for value in values for part in value.split(b",")}
