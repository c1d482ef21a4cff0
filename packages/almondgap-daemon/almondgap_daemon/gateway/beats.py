"""Beats between hosts, in msgpack over datagrams.

A lost beat does no harm: the next one says more. So beats need no stream, and a host
that is silent holds nobody up.
"""

from __future__ import annotations

from collections.abc import Callable

import msgpack
from attrs import define
from twisted.internet.protocol import DatagramProtocol

from almondgap_core.exceptions import MessageError
from almondgap_core.gateway.beats import Beat, HostPlace

#: Number of the message's layout. A host ignores layouts that it does not know.
LAYOUT = 1

#: Longest datagram that is read, in bytes.
MOST_BYTES = 60_000


def encode_beat(beat: Beat) -> bytes:
    """Return the datagram of a beat."""
    place = beat.place
    return msgpack.packb(
        (
            LAYOUT,
            (
                place.host,
                place.failure_domain,
                place.region,
                place.callers,
                place.peers,
            ),
            beat.incarnation,
            beat.sequence,
            beat.ready,
            beat.version,
            beat.asked,
            beat.demand,
        ),
        use_single_float=True,
    )


def decode_beat(data: bytes) -> Beat:
    """Return the beat in a datagram.

    :raises MessageError: it holds none.
    """
    try:
        layout, place, incarnation, sequence, ready, version, asked, demand = (
            msgpack.unpackb(data, strict_map_key=True)
        )
        if layout != LAYOUT:
            raise ValueError(f"layout {layout!r}")
        return Beat(
            HostPlace(*(str(part) for part in place)),
            int(incarnation),
            int(sequence),
            bool(ready),
            int(version),
            _decode_rates(asked),
            _decode_rates(demand),
        )
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise MessageError(f"no beat: {exc!r}") from exc


def _decode_rates(node: dict) -> dict[str, float]:
    return {str(name): max(0.0, float(rate)) for name, rate in dict(node).items()}


@define(eq=False)
class BeatSocket(DatagramProtocol):
    """Sends and hears beats."""

    on_beat: Callable[[Beat], None]
    on_error: Callable[[str], None]

    def send(self, beat: Beat, addresses: tuple[str, ...]) -> None:
        """Send a beat to other hosts."""
        data = encode_beat(beat)
        for address in addresses:
            host, _, port = address.rpartition(":")
            try:
                self.transport.write(data, (host, int(port)))
            except (OSError, ValueError) as exc:
                self.on_error(f"beat to {address}: {exc}")

    def datagramReceived(self, datagram: bytes, addr) -> None:  # noqa: N802
        """Hear a beat."""
        if len(datagram) > MOST_BYTES:
            return
        try:
            beat = decode_beat(datagram)
        except MessageError as exc:
            self.on_error(f"datagram from {addr[0]}: {exc}")
            return
        self.on_beat(beat)
