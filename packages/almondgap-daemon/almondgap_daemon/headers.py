"""Header names, and the headers that are relayed between callers and targets.

Hop-by-hop headers and all headers with this system's prefix are dropped, so that
neither side can forge them.
"""

from __future__ import annotations

from twisted.web.http_headers import Headers

from almondgap_daemon.http.response import HOP_BY_HOP

KEY_HEADER = "Almondgap-Key"
OPERATION_HEADER = "Idempotency-Key"
REQUEST_HEADER = "Almondgap-Request"
ACCOUNT_HEADER = "Almondgap-Account"
DEADLINE_HEADER = "Almondgap-Deadline-Ms"
RESERVED_PREFIX = b"almondgap-"

#: Placeholder for an operation key that is present but empty.
EMPTY_KEY = "-"


def filter_request_headers(headers: Headers) -> Headers:
    """Return the headers of a caller's request that are relayed to a target."""
    return _filter(headers, {b"host", b"content-length", b"expect"})


def filter_answer_headers(headers: Headers) -> Headers:
    """Return the headers of a target's response that are relayed to the caller."""
    return _filter(headers, set())


def read_operation_key(headers: Headers) -> str:
    """Return the operation key of a request, an empty string without one.

    Repeated, empty and undecodable keys become a key that no look-up issues, so that
    the request is refused.
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
