"""A whole answer, and the ways in which none comes."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.exceptions import AlmondgapError

#: Headers that belong to one connection, as RFC 9110 section 7.6.1 lists them.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

RawHeaders = list[tuple[bytes, bytes]]


@frozen
class Response:
    """An answer that was read whole.

    :ivar headers: names and values as they came, in order.
    """

    status: int
    reason: bytes
    headers: RawHeaders
    body: bytes

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header; the name is in lower case."""
        return find_header(self.headers, name)


class NotConnected(AlmondgapError):
    """No connection came about; nothing was sent."""


class IncompleteResponse(AlmondgapError):
    """The connection ended before the answer did; the request may have run."""


class InvalidResponse(AlmondgapError):
    """What came is no answer to the request; the request may have run."""


def find_header(headers: RawHeaders, name: bytes) -> bytes | None:
    """Return the first value of a header; the name is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def list_connection_headers(headers: RawHeaders) -> set[bytes]:
    """Return the names of headers that concern only this connection."""
    names = set(HOP_BY_HOP)
    for key, value in headers:
        if key.lower() == b"connection":
            names.update(part.strip().lower() for part in value.split(b","))
    return names
