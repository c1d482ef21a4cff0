"""Headers that pass, and headers that do not."""

from __future__ import annotations

from twisted.web.http_headers import Headers

from almondgap_daemon.http.response import HOP_BY_HOP

KEY_HEADER = "Almondgap-Key"
OPERATION_HEADER = "Idempotency-Key"
REQUEST_HEADER = "Almondgap-Request"
ACCOUNT_HEADER = "Almondgap-Account"
DEADLINE_HEADER = "Almondgap-Deadline-Ms"
RESERVED_PREFIX = b"almondgap-"

#: Stands for an operation key that is empty.
EMPTY_KEY = "-"


def filter_request_headers(headers: Headers) -> Headers:
    """Return the headers of a caller's request that a target may see."""
    return _filter(headers, {b"host", b"content-length", b"expect"})


def filter_answer_headers(headers: Headers) -> Headers:
    """Return the headers of a target's answer that the caller may see."""
    return _filter(headers, set())


def read_operation_key(headers: Headers) -> str:
    """Return the operation key of a request, empty without one.

    Several keys, and one that is empty or no text, read as a key that no look-up gave.
    """
    values = headers.getRawHeaders(OPERATION_HEADER.encode())
    if values is None:
        return ""
    return b",".join(values).decode(errors="replace").strip() or EMPTY_KEY


def _filter(headers: Headers, excluded: set[bytes]) -> Headers:
    connection_headers = _list_connection_headers(headers)
    filtered = Headers()
    for name, values in headers.getAllRawHeaders():
        lower_name = name.lower()
        if (
            lower_name in HOP_BY_HOP
            or lower_name in connection_headers
            or lower_name in excluded
        ):
            continue
        if lower_name.replace(b"_", b"-").startswith(RESERVED_PREFIX):
            continue
        filtered.setRawHeaders(name, values)
    return filtered


def _list_connection_headers(headers: Headers) -> set[bytes]:
    values = headers.getRawHeaders(b"connection", [])
    return {part.strip().lower() for value in values for part in value.split(b",")}
