"""Raw HTTP over a socket, for what no HTTP client would send."""

from __future__ import annotations

import socket

from attrs import frozen

#: Key of the largest client account of the example "trust".
TRUST_KEY = "agk_citytowers_example-secret-of-city-towers"

TIMEOUT_S = 15.0
READ_BYTES = 65_536


@frozen
class RawAnswer:
    """An answer as it came.

    :ivar head: status line and headers, by lower-case name.
    :ivar data: everything that came, until the connection closed or was whole.
    :ivar reset: whether the connection was reset.
    """

    data: bytes
    reset: bool

    @property
    def status(self) -> int:
        """Status code of the first answer, 0 without one."""
        words = self.data.split(b" ", 2)
        return int(words[1]) if len(words) > 2 else 0

    @property
    def headers(self) -> dict[str, str]:
        """Headers of the first answer, by lower-case name."""
        head = self.data.split(b"\r\n\r\n", 1)[0].decode("latin-1")
        pairs = (line.split(":", 1) for line in head.split("\r\n")[1:])
        return {name.lower(): value.strip() for name, value in pairs}

    @property
    def body(self) -> bytes:
        """Everything behind the first answer's headers."""
        return self.data.partition(b"\r\n\r\n")[2]


def build_request(
    path: str,
    method: str = "GET",
    headers: tuple[str, ...] = (),
    body: bytes = b"",
    key: str = TRUST_KEY,
) -> bytes:
    """Return the bytes of a request that asks to close the connection."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: here",
        f"Almondgap-Key: {key}",
        "Connection: close",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def connect(place: str) -> socket.socket:
    """Return a connection to ``address:port``."""
    address, _, port = place.partition(":")
    return socket.create_connection((address, int(port)), TIMEOUT_S)


def exchange(place: str, data: bytes) -> RawAnswer:
    """Send bytes and return all that comes until the other side closes."""
    with connect(place) as conn:
        received = b""
        try:
            conn.sendall(data)
            while part := conn.recv(READ_BYTES):
                received += part
        except ConnectionError:
            return RawAnswer(received, True)
        return RawAnswer(received, False)
