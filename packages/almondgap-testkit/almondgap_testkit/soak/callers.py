"""Callers that keep using open connections, and note what they saw."""

from __future__ import annotations

import http.client
import random
import threading
import time

from attrs import Factory, define

from almondgap_testkit.gateways.builders import HOST_NAME

#: Time that a caller gives a request, in seconds, and how much longer it waits for an
#: answer before it calls the host silent.
PATIENCE_S = 3.0
SLACK_S = 1.0

#: Pause between two requests of a caller, in seconds.
PAUSE_S = 0.03

#: Requests on one connection before the caller opens another.
MOST_ON_CONNECTION = 30


@define
class Attempt:
    """One request as its caller saw it; times in seconds from the start.

    :ivar status: status of the answer, 0 without one.
    :ivar failure: why there was no answer.
    :ivar fresh: whether it was the first request of its connection.
    :ivar leaving: whether the answer says that its target leaves.
    """

    request_id: str
    host: int
    key: str
    idempotent: bool
    path: str
    began: float
    fresh: bool
    ended: float = 0.0
    status: int = 0
    failure: str = ""
    echo: str = ""
    sealed: bool = False
    leaving: bool = False
    body: bytes = b""

    def find_target(self) -> int:
        """Return the number of the target that answered with success."""
        return int(self.body.split()[0].rpartition(b"-")[2])


@define
class Caller:
    """A caller of one host at a time, as a thread.

    :ivar addresses: addresses of the hosts.
    :ivar key: key that it sends.
    :ivar pause_s: pause between two requests.
    :ivar path: path of all its requests, empty to draw them.
    """

    name: str
    addresses: list[str]
    key: str
    start: float
    chance: random.Random
    pause_s: float = PAUSE_S
    path: str = ""
    attempts: list[Attempt] = Factory(list)
    stopping: threading.Event = Factory(threading.Event)
    _host: int = 0
    _used: int = 0
    _conn: http.client.HTTPConnection | None = None

    def run(self) -> None:
        """Send one request after the other until told to stop."""
        while not self.stopping.is_set():
            self.send()
            self.stopping.wait(self.pause_s * self.chance.uniform(0.5, 1.5))
        self.close()

    def send(self) -> None:
        """Send one request and note what comes back."""
        idempotent = self.chance.random() < 0.5 or bool(self.path)
        path = "/reads/" if idempotent else "/orders/"
        path = self.path or path + str(self.chance.randrange(20))
        fresh = self._conn is None
        if fresh:
            self._host = self.chance.randrange(len(self.addresses))
            address = self.addresses[self._host]
            self._conn = http.client.HTTPConnection(
                address, timeout=PATIENCE_S + SLACK_S
            )
            self._used = 0
        number = len(self.attempts)
        attempt = Attempt(
            f"{self.name}-{number}",
            self._host,
            self.key,
            idempotent,
            path,
            time.monotonic() - self.start,
            fresh,
        )
        self.attempts.append(attempt)
        try:
            self._exchange(attempt)
        except (OSError, http.client.HTTPException) as exc:
            attempt.failure = type(exc).__name__
            self.close()
        attempt.ended = time.monotonic() - self.start

    def _exchange(self, attempt: Attempt) -> None:
        headers = {
            "Host": HOST_NAME,
            "Authorization": f"Bearer {self.key}",
            "X-Almondgap-Request-Attempt-Id": attempt.request_id,
            "X-Almondgap-Affinity-Key": attempt.path.rpartition("/")[2],
            "X-Almondgap-Deadline-Ms": str(int(PATIENCE_S * 1000)),
        }
        method = "GET" if attempt.idempotent else "POST"
        body = None if attempt.idempotent else attempt.request_id.encode()
        self._conn.request(method, attempt.path, body, headers)
        response = self._conn.getresponse()
        attempt.body = response.read()
        attempt.echo = response.getheader("X-Almondgap-Request-Attempt-Id", "")
        attempt.sealed = response.getheader("X-Almondgap-Response-Seal") is not None
        attempt.leaving = response.getheader("Server-Leaving") == "1"
        attempt.status = response.status
        self._used += 1
        if response.will_close or self._used >= MOST_ON_CONNECTION:
            self.close()

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._conn is not None:
            self._conn.close()
        self._conn = None
