"""Complete HTTP responses, and the errors that are raised when there is none."""

from __future__ import annotations

from attrs import frozen

from almondgap_core.exceptions import AlmondgapError

#: Hop-by-hop headers, as listed in RFC 9110 section 7.6.1.
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
    """A response that was received completely.

    :ivar headers: names and values as received, in order.
    """

    status: int
    reason: bytes
    headers: RawHeaders
    body: bytes

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, whose name is given in lower case."""
        return find_header(self.headers, name)


class NotConnected(AlmondgapError):
    """The connection could not be established; nothing was sent."""


class ConnectionRefused(NotConnected):
    """The server refused the connection."""


class NoSocket(NotConnected):
    """This host has no socket left for a connection."""


class IncompleteResponse(AlmondgapError):
    """The response was cut short or never arrived; the request may have run."""


class InvalidResponse(AlmondgapError):
    """The data received is no valid response; the request may have run."""


def find_header(headers: RawHeaders, name: bytes) -> bytes | None:
    """Return the first value of a header, whose name is given in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def list_connection_headers(headers: RawHeaders) -> set[bytes]:
    """Return the names of all hop-by-hop headers, in lower case.

    Includes those that the ``Connection`` header names.
    """
    names = set(HOP_BY_HOP)
    for key, value in headers:
        if key.lower() == b"connection":
            names.update(part.strip().lower() for part in value.split(b","))
    return names
