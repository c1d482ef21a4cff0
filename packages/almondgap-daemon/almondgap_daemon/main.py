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
from almondgap_daemon.lifecycle import HostProcess, Lifecycle, make_lifecycle
from almondgap_daemon.logs import configure_logs
from almondgap_daemon.metrics import Metrics, make_sink
from almondgap_daemon.operators import OperatorApi
from almondgap_daemon.peers import PeerLinks, PeerReceiverFactory
from almondgap_daemon.runtime import HostRuntime
from almondgap_daemon.settings import Listener, Settings
from almondgap_daemon.tables import open_platform

log = structlog.get_logger(__name__)

#: Length of the listen queue, in connections.
LISTEN_BACKLOG = 1024

NANOS_PER_MILLI = 1_000_000

#: Time after the deadline of a planned stop at which the process ends regardless, in
#: seconds.
STOP_GRACE_S = 1


def main() -> None:
    """Run a host until it is stopped by a signal or an operator."""
    parser = argparse.ArgumentParser(prog="almondgapd", description=__doc__)
    parser.add_argument("settings", type=Path, help="settings file of this host")
    args = parser.parse_args()
    try:
        cfg = Settings.from_file(args.settings)
    except UserError as exc:
        print(exc, file=sys.stderr)
        sys.exit(2)
    configure_logs(cfg.log_level, cfg.host)
    runtime = build_runtime(cfg)
    reactor.callWhenRunning(lambda: _start_host(runtime, cfg))
    reactor.run(installSignalHandlers=False)


def build_runtime(cfg: Settings) -> HostRuntime:
    """Return the host's runtime, built from the settings."""
    incarnation = make_incarnation(time.time_ns())
    seed = int.from_bytes(os.urandom(8), "big")
    state = HostState(cfg.host, cfg.failure_domain, incarnation, seed=seed)
    platform = open_platform(cfg.platform)
    links = PeerLinks(reactor, cfg, incarnation)
    metrics = Metrics(make_sink(cfg))
    return HostRuntime(reactor, state, platform, platform, platform, links, metrics)


def make_incarnation(now: int) -> int:
    """Return the incarnation of a run that starts now, greater than all earlier ones.

    The resolution is 1 ms, which leaves 20 bits for a counter beside the incarnation
    in an integer field of a message.

    :param now: Unix time in nanoseconds.
    """
    return now // NANOS_PER_MILLI


def _start_host(runtime: HostRuntime, cfg: Settings) -> None:
    callers = CallerApi(runtime, cfg).make_site()
    process = HostProcess(
        reactor,
        callers,
        [],
        on_stop=lambda: _begin_planned_stop(runtime, cfg, lifecycle),
        on_end=lambda: _exit(runtime),
    )
    lifecycle = make_lifecycle(process)
    operators = Site(OperatorApi(runtime, lifecycle.stop_requested).app.resource())
    peers = PeerReceiverFactory(cfg, runtime.receive, runtime.links.add_peer)
    for factory, listener in (
        (callers, cfg.callers),
        (operators, cfg.operators),
        (peers, cfg.peers),
    ):
        factory.noisy = False
        process.ports.append(_open_port(factory, listener))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(
            number, lambda *_: reactor.callFromThread(lifecycle.stop_requested)
        )
    runtime.on_stopped = lifecycle.work_done
    runtime.start()
    log.info("host started", incarnation=runtime.state.incarnation)


def _open_port(factory, listener: Listener):
    port, address = listener.port, listener.address
    if listener.files is None:
        return reactor.listenTCP(port, factory, LISTEN_BACKLOG, address)
    return reactor.listenSSL(port, factory, listener.files, LISTEN_BACKLOG, address)


def _begin_planned_stop(
    runtime: HostRuntime, cfg: Settings, lifecycle: Lifecycle
) -> None:
    log.info("planned stop", running=len(runtime.state.requests.open))
    reactor.callLater(cfg.stop_deadline + STOP_GRACE_S, lifecycle.work_done)
    now = runtime.now()
    runtime.feed(DrainRequested(now, now + seconds(cfg.stop_deadline)))


def _exit(runtime: HostRuntime) -> None:
    log.info("host stopped", cut=len(runtime.state.requests.open))
    runtime.stop()
    reactor.stop()


if __name__ == "__main__":
    main()
