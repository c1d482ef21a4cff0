"""The planned stop of a gateway process, from the stop signal to its end.

The platform kills the process when the grace period is over. Until then it serves its
callers: those that still come, for a part of the period, and those that wait for an
answer, for all of it. The process ends sooner once none is left.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from almondgap_core.gateway.events import StopRequested
from almondgap_core.units import MICROS_PER_SECOND
from almondgap_daemon.gateway.runtime import GatewayRuntime
from almondgap_daemon.http.server import ServerFactory

#: Fraction of the grace period for which the callers' port stays open, since callers
#: cache the answers of the directory for some seconds.
ACCEPT_FRACTION = 0.58

#: Answers are due this long before the grace period ends, in seconds: a signal may be
#: handled late, and an answer takes time to be delivered.
ANSWER_MARGIN_S = 0.4

#: The process ends this long before the grace period does, in seconds, if requests are
#: still in flight: time for the last lines of the log.
END_MARGIN_S = 0.1

#: Time between the last response and the end of the process, in seconds. Leaves time
#: for two TCP retransmissions, after 0.2 s and a further 0.4 s.
LINGER_S = 0.8

#: Interval of checks whether requests are left, in seconds.
CHECK_INTERVAL_S = 0.1


@define
class PlannedStop:
    """Ends a process without cutting requests that it can still answer.

    :ivar callers: server of the callers' connections.
    :ivar port: port that callers connect to, None once it is closed.
    :ivar grace_s: time from the stop signal until the process is killed, in seconds.
    :ivar end: ends the process.
    """

    reactor: object
    runtime: GatewayRuntime
    callers: ServerFactory
    port: object
    grace_s: float
    end: Callable[[], None]
    _ended: bool = False

    def begin(self) -> None:
        """Tell callers and other hosts, and schedule the rest of the stop."""
        self.callers.closing = True
        grace = round((self.grace_s - ANSWER_MARGIN_S) * MICROS_PER_SECOND)
        self.runtime.feed(StopRequested(self.runtime.now(), grace))
        self.reactor.callLater(self.grace_s * ACCEPT_FRACTION, self._close_port)
        self.reactor.callLater(max(0.0, self.grace_s - END_MARGIN_S), self._end)

    def _close_port(self) -> None:
        """Close the callers' port; callers that are refused retry on another host."""
        port, self.port = self.port, None
        # Closing the port resets the connections that wait to be accepted.
        before = -1
        while self.callers.accepted > before:
            before = self.callers.accepted
            port.doRead()
        port.stopListening()
        self._check_callers()

    def _check_callers(self) -> None:
        """Close idle connections, and end the process once no caller is left."""
        self.callers.close_idle()
        # The kernel may still have to retransmit the last response.
        if not self.callers.busy and self.runtime.idle_s >= LINGER_S:
            self._end()
        elif not self._ended:
            self.reactor.callLater(CHECK_INTERVAL_S, self._check_callers)

    def _end(self) -> None:
        if not self._ended:
            self._ended = True
            self.end()
