"""The almondgapd command: one host process."""

from __future__ import annotations

import argparse
import os
import signal
import sys
import time
from pathlib import Path

import structlog
from twisted.internet import reactor
from twisted.web.server import Site

from almondgap_core.events import DrainRequested
from almondgap_core.exceptions import UserError
from almondgap_core.state import HostState
from almondgap_core.units import seconds
from almondgap_daemon.callers import CallerApi
from almondgap_daemon.hostprocess import HostProcess, Lifecycle, make_lifecycle
from almondgap_daemon.logs import configure_logs
from almondgap_daemon.metrics import Metrics, make_sink
from almondgap_daemon.node import Node
from almondgap_daemon.operators import OperatorApi
from almondgap_daemon.peers import PeerLinks, PeerReceiverFactory
from almondgap_daemon.settings import Listener, Settings
from almondgap_daemon.tables import open_platform

log = structlog.get_logger(__name__)

BACKLOG = 1024

NANOS_PER_MILLI = 1_000_000

#: Time after the deadline of a planned stop at which the process ends anyway.
STOP_GRACE_S = 1


def main() -> None:
    """Run a host until it is told to stop."""
    parser = argparse.ArgumentParser(prog="almondgapd", description=__doc__)
    parser.add_argument("settings", type=Path, help="settings file of this host")
    args = parser.parse_args()
    try:
        cfg = Settings.from_file(args.settings)
    except UserError as exc:
        print(exc, file=sys.stderr)
        sys.exit(2)
    configure_logs(cfg.log_level, cfg.host)
    node = build_node(cfg)
    reactor.callWhenRunning(lambda: _listen(node, cfg))
    reactor.run(installSignalHandlers=False)


def build_node(cfg: Settings) -> Node:
    """Return the host that the settings describe."""
    incarnation = make_incarnation(time.time_ns())
    seed = int.from_bytes(os.urandom(8), "big")
    state = HostState(cfg.host, cfg.failure_domain, incarnation, seed=seed)
    platform = open_platform(cfg.platform)
    links = PeerLinks(reactor, cfg, incarnation)
    metrics = Metrics(make_sink(cfg))
    return Node(reactor, state, platform, platform, platform, links, metrics)


def make_incarnation(now: int) -> int:
    """Return the number of a run that starts now, greater than all earlier ones.

    Milliseconds leave room for a count of 20 bits beside the number in a message.

    :param now: time since 1970 in nanoseconds.
    """
    return now // NANOS_PER_MILLI


def _listen(node: Node, cfg: Settings) -> None:
    callers = CallerApi(node, cfg).make_site()
    process = HostProcess(
        reactor,
        callers,
        [],
        on_stop=lambda: _begin_stop(node, cfg, life),
        on_end=lambda: _end(node),
    )
    life = make_lifecycle(process)
    operators = Site(OperatorApi(node, life.stop_requested).app.resource())
    peers = PeerReceiverFactory(cfg, node.receive, node.links.meet)
    for factory, listener in (
        (callers, cfg.callers),
        (operators, cfg.operators),
        (peers, cfg.peers),
    ):
        factory.noisy = False
        process.ports.append(_open_port(factory, listener))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(life.stop_requested))
    node.on_stopped = life.work_done
    node.start()
    log.info("host started", incarnation=node.state.incarnation)


def _open_port(factory, listener: Listener):
    port, address = listener.port, listener.address
    if listener.files is None:
        return reactor.listenTCP(port, factory, BACKLOG, address)
    return reactor.listenSSL(port, factory, listener.files, BACKLOG, address)


def _begin_stop(node: Node, cfg: Settings, life: Lifecycle) -> None:
    log.info("planned stop", running=len(node.state.requests.open))
    reactor.callLater(cfg.stop_deadline + STOP_GRACE_S, life.work_done)
    now = node.now()
    node.feed(DrainRequested(now, now + seconds(cfg.stop_deadline)))


def _end(node: Node) -> None:
    log.info("host stopped", cut=len(node.state.requests.open))
    node.stop()
    reactor.stop()


if __name__ == "__main__":
    main()
