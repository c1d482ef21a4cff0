"""Fingerprints, by which hosts recognise repetitions of a request."""

from __future__ import annotations

from unittest import TestCase

from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.events import AttemptFailed, Failure
from almondgap_core.gateway.reports import AttemptLost
from almondgap_core.verdict import Verdict
from almondgap_testkit.gateways.builders import (
    GatewayHarness,
    announce,
    build_configuration,
)


def lose_request(**call) -> str:
    """Return the fingerprint that a host logs of a request that was broken off."""
    accounts = {
        name: Account(name, frozenset({f"key-of-{name}", f"new-key-of-{name}"}))
        for name in ("one", "two")
    }
    cfg = build_configuration(accounts=accounts)
    gateway = GatewayHarness.build((announce("t1"),), cfg)
    gateway.call(**call)
    failure = (Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
    gateway.feed(AttemptFailed, gateway.number, 1, *failure)
    [lost] = [each for each in gateway.list_reports() if isinstance(each, AttemptLost)]
    return lost.fingerprint


class FingerprintTests(TestCase):
    def test_repetitions_of_a_request_have_the_same_fingerprint(self):
        first = lose_request(request_id="r1", content="c1", caller_timeout=900_000)
        again = lose_request(request_id="r2", content="c1", key="new-key-of-one")
        self.assertEqual(first, again)
        self.assertTrue(first)

    def test_other_content_or_account_has_another_fingerprint(self):
        fingerprints = {
            lose_request(content="c1"),
            lose_request(content="c2"),
            lose_request(content="c1", key="key-of-two"),
        }
        self.assertEqual(len(fingerprints), 3)
