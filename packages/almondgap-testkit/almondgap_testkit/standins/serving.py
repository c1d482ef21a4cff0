"""What all stand-in processes share."""

from __future__ import annotations

import json
import signal

from twisted.internet import reactor
from twisted.web.server import Site


def listen(resource, address: str, port: int) -> None:
    """Serve a resource."""
    site = Site(resource)
    site.noisy = False
    reactor.listenTCP(port, site, 1024, address)


def run() -> None:
    """Run the loop until the process is told to end."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(_end))
    print("ready", flush=True)
    reactor.run(installSignalHandlers=False)


def answer_json(request, body) -> bytes:
    """Return a JSON body and set its header."""
    request.setHeader("Content-Type", "application/json")
    return json.dumps(body).encode() + b"\n"


def _end() -> None:
    if reactor.running:
        reactor.stop()
