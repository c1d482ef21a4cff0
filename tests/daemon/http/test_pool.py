"""Connections to servers that cannot be established, and why."""

from __future__ import annotations

from errno import EMFILE
from unittest import TestCase

from attrs import define
from twisted.internet.error import (
    ConnectBindError,
    ConnectError,
    ConnectionRefusedError,
    TimeoutError,
)
from twisted.python.failure import Failure

from almondgap_daemon.http.pool import ConnectionPool
from almondgap_daemon.http.response import (
    ConnectionRefused,
    NoSocket,
    NotConnected,
)


@define
class FailingReactor:
    """A reactor whose connections all fail at once."""

    error: ConnectError

    def seconds(self) -> float:
        return 0.0

    def connectTCP(self, host, port, factory, *_, **__) -> None:  # noqa: N802
        factory.clientConnectionFailed(None, Failure(self.error))


def fail_connection(error: ConnectError) -> type[Exception]:
    """Return the type of the pool's error after a connection failed."""
    errors = []
    connecting = ConnectionPool(FailingReactor(error)).acquire("t1", "10.9.0.1:80")
    connecting.addErrback(errors.append)
    return errors[0].type


class ConnectionFailureTests(TestCase):
    def test_host_without_sockets_is_told_from_a_server_that_refuses(self):
        error = ConnectBindError(EMFILE, "too many open files")
        self.assertIs(fail_connection(error), NoSocket)
        self.assertIs(fail_connection(ConnectionRefusedError()), ConnectionRefused)
        self.assertIs(fail_connection(TimeoutError()), NotConnected)
