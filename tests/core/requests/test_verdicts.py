"""Each place that says "not run" has a proof; one test for each row of the table.

The table is in ``docs/design/operations.md``.
"""

from __future__ import annotations

import re
from pathlib import Path
from unittest import TestCase

from attrs import evolve

from almondgap_core.effects import Dispatch, Refuse, Relay
from almondgap_core.events import (
    AnswerStarted,
    AttemptEnded,
    AttemptOutcome,
    DrainRequested,
    Tick,
)
from almondgap_core.limits.partitions import Partition
from almondgap_core.operations import holder
from almondgap_core.operations.record import MAX_RETURNED_PERMITS, WINDOW_US, Progress
from almondgap_core.reducer import step
from almondgap_core.stages import Stage
from almondgap_core.units import seconds
from almondgap_core.verdict import Reason, Verdict
from almondgap_testkit.builders import build_arrival, build_document, build_inventory
from almondgap_testkit.builders import build_state as build_plain_state

TABLE = Path(__file__).parents[3] / "docs" / "design" / "operations.md"
PREFIX = "ago.a.0.1"
PLACE = (Partition("a", 0), 1)


class NotRunTests(TestCase):
    def setUp(self):
        self.state = build_plain_state()
        self.dispatched: list[Dispatch] = []
        self.number = 0
        self.step(Tick(0))

    def step(self, event):
        effects = step(self.state, event)
        self.dispatched += [e for e in effects if isinstance(e, Dispatch)]
        return effects

    def pay(self, unique: str = "p", now: int = 0, window: int = 0, **changes):
        """Send an operation; return the refusal, or None."""
        self.number += 1
        arrival = build_arrival(now, f"r{self.number}", "POST")
        key = f"{PREFIX}.{window}.{unique}"
        changes = {"operation": key, "digest": b"d", **changes}
        return self.find_refusal(self.step(evolve(arrival, **changes)))

    def find_refusal(self, effects):
        found = [effect.refusal for effect in effects if isinstance(effect, Refuse)]
        return found[0] if found else None

    def assert_not_run(self, refusal, reason: Reason) -> None:
        self.assertEqual((refusal.verdict, refusal.reason), (Verdict.NOT_RUN, reason))

    def assert_nothing_sent(self, refusal, reason: Reason) -> None:
        self.assert_not_run(refusal, reason)
        self.assertEqual(self.dispatched, [])

    def assert_free(self, unique: str = "p") -> None:
        """Check that the permit came back and another request may have it."""
        record = self.state.operations.books[PLACE].find(0, unique)
        self.assertIs(record.progress, Progress.FREE)

    def test_not_ready(self):
        self.state.settings.inventory = None
        self.assert_nothing_sent(self.pay(), Reason.NOT_READY)

    def test_stopping(self):
        self.step(DrainRequested(0))
        self.step(Tick(seconds(5.1)))
        self.assertIs(self.state.lifecycle.stage, Stage.MOVING)
        self.assert_nothing_sent(self.pay(now=seconds(5.1)), Reason.STOPPING)

    def test_unknown_service(self):
        refusal = self.pay(service="none")
        self.assert_nothing_sent(refusal, Reason.UNKNOWN_SERVICE)

    def test_key_missing(self):
        self.assert_nothing_sent(self.pay(credential=None), Reason.KEY_MISSING)

    def test_key_unknown(self):
        wrong = build_arrival(key="agk_one_wrong").credential
        self.assert_nothing_sent(self.pay(credential=wrong), Reason.KEY_UNKNOWN)
        self.state.settings.withdrawn_keys = frozenset({"one"})
        self.assert_nothing_sent(self.pay(), Reason.KEY_UNKNOWN)

    def test_keys_stale(self):
        self.state.keys.confirmed = None
        self.assert_nothing_sent(self.pay(), Reason.KEYS_STALE)

    def test_account_not_allowed(self):
        document = build_document()
        document["services"]["other"] = {"targets": []}
        document["accounts"]["one"]["services"] = ["other"]
        self.state.settings.inventory = build_inventory(document)
        self.assert_nothing_sent(self.pay(), Reason.ACCOUNT_NOT_ALLOWED)

    def test_over_rate(self):
        self.state.limits.pools.clear()
        refusals = []
        for number in range(40):
            refusals.append(self.pay(f"p{number}"))
            now = seconds(number)
            for late in (now, now + seconds(3)):
                refusals.append(self.find_refusal(self.step(Tick(late))))
        over = [r for r in refusals if r and r.reason is Reason.OVER_RATE]
        for refusal in over:
            self.assert_not_run(refusal, Reason.OVER_RATE)
        sent = {dispatch.req_id for dispatch in self.dispatched}
        free = [
            unique
            for unique, record in self.state.operations.books[PLACE].windows[0].items()
            if record.progress is Progress.FREE
        ]
        self.assertTrue(over)
        self.assertEqual(len(free), len([r for r in refusals if r]))
        self.assertEqual(len(free) + len(sent), 40)

    def test_no_capacity(self):
        self.state.limits.leases.own.pop(Partition("a", 1), None)
        document = build_document()
        document["services"]["shop"]["targets"] = []
        self.state.settings.inventory = build_inventory(document)
        refusal = self.pay() or self.find_refusal(self.step(Tick(seconds(3))))
        self.assert_nothing_sent(refusal, Reason.NO_CAPACITY)
        self.assert_free()

    def test_no_target_reached(self):
        refusal = self.pay()
        attempt = 0
        while refusal is None and attempt < 10:
            attempt += 1
            ended = AttemptEnded(attempt, "r1", attempt, AttemptOutcome.NOT_SENT)
            refusal = self.find_refusal(self.step(ended))
            refusal = refusal or self.find_refusal(self.step(Tick(attempt)))
            if refusal is None and len(self.dispatched) <= attempt:
                refusal = self.find_refusal(self.step(Tick(seconds(10))))
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)
        self.assertIn(refusal.reason, (Reason.TARGET_FAILED, Reason.NO_CAPACITY))
        self.assert_free()

    def test_shed_answer(self):
        document = build_document()
        first = document["services"]["shop"]["targets"][0]
        document["services"]["shop"]["targets"] = [
            {**first, "name": f"shop-{number}"} for number in range(8)
        ]
        self.state = build_plain_state(build_inventory(document))
        self.assertIsNone(self.pay())
        attempt, relays = 0, []
        while not relays and attempt < 10:
            attempt += 1
            effects = self.step(AnswerStarted(attempt, "r1", attempt, 503))
            relays = [e for e in effects if isinstance(e, Relay)]
        self.assertIs(relays[0].verdict, Verdict.NOT_RUN)
        self.step(AttemptEnded(20, "r1", attempt, AttemptOutcome.COMPLETE))
        self.assert_free()

    def test_other_request_under_the_same_key(self):
        self.assertIsNone(self.pay())
        self.assert_not_run(self.pay(digest=b"e"), Reason.OPERATION_MISMATCH)
        self.assertEqual({d.req_id for d in self.dispatched}, {"r1"})

    def test_key_without_prefix(self):
        refusal = self.pay(operation="mine")
        self.assert_nothing_sent(refusal, Reason.OPERATION_UNKNOWN)
        self.assertEqual(refusal.status, 428)

    def test_prefix_that_nobody_handed_out(self):
        refusal = self.pay(window=9)
        self.assert_nothing_sent(refusal, Reason.OPERATION_UNKNOWN)

    def test_old_key_that_was_never_used(self):
        self.pay("other")
        self.dispatched.clear()
        late = 30 * WINDOW_US
        self.assert_nothing_sent(self.pay(now=late, window=3), Reason.OPERATION_EXPIRED)
        self.state.operations.books[PLACE].forget(late)
        used = self.pay(now=late, window=0)
        self.assertIs(used.verdict, Verdict.MAY_HAVE_RUN)

    def test_permit_returned_too_often(self):
        self.pay()
        record = self.state.operations.books[PLACE].find(0, "p")
        record.progress = Progress.FREE
        record.returned = tuple(str(number) for number in range(MAX_RETURNED_PERMITS))
        self.dispatched.clear()
        self.assert_nothing_sent(self.pay(), Reason.OPERATION_UNKNOWN)

    def test_book_is_full(self):
        self.state.operations.records = holder.MAX_RECORDS
        self.assert_nothing_sent(self.pay(), Reason.NO_CAPACITY)

    def test_table_names_every_row_and_no_other(self):
        named = set(re.findall(r"`(test_\w+)`", TABLE.read_text()))
        here = {name for name in dir(self) if name.startswith("test_")}
        rows = here - {"test_table_names_every_row_and_no_other"}
        self.assertEqual(rows - named, set())
