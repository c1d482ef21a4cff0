"""Memory of a gateway per open connection and per client account."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable
from unittest import TestCase

from twisted.internet.task import Clock

from almondgap_core.gateway.admission import get_token_bucket
from almondgap_core.gateway.configuration import Account
from almondgap_daemon.http.server import ServerFactory
from almondgap_testkit.gateways.builders import GatewayHarness, build_configuration
from almondgap_testkit.gateways.transport import PipeTransport

COUNT = 1_000

#: Limits in bytes. A host must stay below 60 MB, of which the bare process uses 27 MB;
#: 4,100 descriptors and a thousand accounts must fit into the rest.
MAX_BYTES_PER_CONNECTION = 7_000
MAX_BYTES_PER_ACCOUNT = 4_000


def measure_bytes_each(build: Callable[[], object]) -> float:
    """Return the bytes that stay allocated per object, over many objects."""
    build()
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = [build() for _ in range(COUNT)]
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(kept) == COUNT
    return (after - before) / COUNT


class MemoryTests(TestCase):
    def test_open_connection(self):
        factory = ServerFactory(Clock(), None, lambda cause: None)

        def connect() -> PipeTransport:
            return PipeTransport.connect(factory.buildProtocol(None))

        self.assertLessEqual(measure_bytes_each(connect), MAX_BYTES_PER_CONNECTION)

    def test_client_account(self):
        harness = GatewayHarness.build()
        number = 0

        def add_account() -> Account:
            nonlocal number
            number += 1
            name = f"account-{number}"
            keys = frozenset({f"key-{number}-1", f"key-{number}-2"})
            account = Account(name, keys, None, 20.0, 20.0)
            get_token_bucket(harness.state, account).demand.count(harness.now)
            return account

        per_account = measure_bytes_each(add_account)
        cfg = build_configuration(accounts={"one": add_account()})
        self.assertEqual(len(cfg.accounts), 1)
        self.assertLessEqual(per_account, MAX_BYTES_PER_ACCOUNT)
