"""Client of the platform's services over HTTP."""

from __future__ import annotations

import json

import treq
from attrs import field, frozen
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.error import ConnectError
from twisted.web.client import HTTPConnectionPool

from almondgap_core.events import HostEntry
from almondgap_core.exceptions import (
    PlatformAnswerLost,
    PlatformError,
    PlatformUnavailable,
)
from almondgap_core.platform import (
    Row,
    Transaction,
    TransactionOutcome,
    TransactionResult,
)
from almondgap_daemon.tables.codec import (
    dump_transaction,
    load_hosts,
    load_result,
    load_rows,
)

#: Time-out of a call to the platform, in seconds.
PLATFORM_TIMEOUT_S = 3.0


def _make_pool() -> HTTPConnectionPool:
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.retryAutomatically = False
    return pool


@frozen
class HttpPlatform:
    """Table service, object store and host list at one address.

    :ivar base: base URL, with address and port.
    :ivar timeout: time-out of a call, in seconds.
    """

    base: str
    timeout: float = PLATFORM_TIMEOUT_S
    pool: HTTPConnectionPool = field(factory=_make_pool)

    @classmethod
    def from_config(cls, cfg) -> HttpPlatform:
        """Return a client for the configured address."""
        return cls(f"http://{cfg.address}:{cfg.port}")

    @inlineCallbacks
    def transact(self, transaction: Transaction):
        """Run a transaction; UNKNOWN is returned if the answer to a write is lost."""
        try:
            data = yield self._call(
                "POST", "/v1/tables/transact", dump_transaction(transaction)
            )
            return load_result(data)
        except PlatformAnswerLost:
            if transaction.writes:
                return TransactionResult(TransactionOutcome.UNKNOWN)
            return TransactionResult(TransactionOutcome.UNAVAILABLE)
        except PlatformError:
            return TransactionResult(TransactionOutcome.UNAVAILABLE)

    @inlineCallbacks
    def scan(self, table: str, prefix: str) -> tuple[Row, ...]:
        """Return the rows whose key starts with ``prefix``."""
        data = yield self._call("GET", f"/v1/tables/{table}?prefix={prefix}")
        return load_rows(json.loads(data))

    @inlineCallbacks
    def put(self, body: bytes):
        """Store a body."""
        data = yield self._call("POST", "/v1/objects", body)
        return data.decode()

    def get(self, name: str):
        """Return a body."""
        return self._call("GET", f"/v1/objects/{name}")

    @inlineCallbacks
    def list_hosts(self) -> tuple[HostEntry, ...]:
        """Return the list of hosts."""
        data = yield self._call("GET", "/v1/hosts")
        return load_hosts(data)

    @inlineCallbacks
    def _call(self, method: str, path: str, body: bytes | None = None):
        try:
            response = yield treq.request(
                method,
                self.base + path,
                data=body,
                pool=self.pool,
                timeout=self.timeout,
            )
            data = yield response.content()
        except ConnectError as exc:
            raise PlatformUnavailable(f"{path}: {exc}") from exc
        except Exception as exc:
            raise PlatformAnswerLost(f"{path}: {exc!r}") from exc
        if response.code != 200:
            text = data.decode(errors="replace")[:200]
            raise PlatformUnavailable(f"{path}: status {response.code}: {text}")
        return data
