"""Tests that books move to one recipient at a time and are not written elsewhere."""

from __future__ import annotations

from unittest import TestCase
from unittest.mock import patch

from almondgap_core import reducer
from almondgap_core.effects import SendMessage
from almondgap_core.events import PeerMessage
from almondgap_core.limits.partitions import Partition
from almondgap_core.operations.messages import BookPage, BookReceived
from almondgap_core.operations.record import (
    Book,
    KeptAnswer,
    OperationRecord,
    Progress,
    pack_records,
    unpack_records,
)
from almondgap_core.operations.state import Fetch
from almondgap_core.reducer import step
from almondgap_core.verdict import Verdict
from almondgap_testkit.builders import build_state
from almondgap_testkit.fakes.payments import Payments


def drop(state, host, message, now):
    """Replace a message handler as if all its messages were lost."""


class ChainTests(TestCase):
    def test_source_sends_a_book_to_one_recipient_only(self):
        lost = patch.dict(reducer.MESSAGE_HANDLERS, {BookReceived: drop})
        with lost, Payments.begin() as payments:
            payments.begin_payment("a-1", "p")
            payments.run(1)
            prefix = payments.sent["p"].rpartition(".")[0]
            partition = self.find_partition(payments, prefix)
            payments.leases.give(partition, "a-2")
            payments.run(1)
            payments.sent["q"] = f"{prefix}.q"
            payments.repeat("a-2", "q")
            payments.run(1)
            self.assertEqual(payments.count_runs("q"), 1)
            payments.world.crash("a-2")
            payments.leases.give(partition, "a-3")
            payments.run(3)
            late = payments.answer(payments.repeat("a-3", "q"))
            payments.run(3)
            self.assertEqual(payments.count_runs("q"), 1)
            self.assertIs(late.verdict, Verdict.MAY_HAVE_RUN)

    def test_source_that_believes_in_its_lease_runs_nothing(self):
        with Payments.begin() as payments:
            prefix = payments.look_up("a-1")
            partition = self.find_partition(payments, prefix)
            payments.leases.keep_stale_tenure(partition)
            payments.leases.give(partition, "a-2")
            payments.run(1)
            payments.sent["q"] = f"{prefix}.q"
            early = payments.answer(payments.repeat("a-1", "q"))
            payments.repeat("a-2", "q")
            payments.run(3)
            self.assertEqual(payments.count_runs("q"), 1)
            self.assertIsNot(early.verdict, Verdict.NOT_RUN)

    def test_open_book_serves_between_two_leases(self):
        with Payments.begin() as payments:
            payments.run(6)
            prefix = payments.look_up("a-1")
            payments.leases.give(self.find_partition(payments, prefix), None)
            near = payments.answer(payments.pay("a-1", f"{prefix}.p", "p"))
            far = payments.answer(payments.pay("a-2", f"{prefix}.q", "q"))
            payments.run(3)
            self.assertIs(near.verdict, Verdict.RAN)
            self.assertIs(far.verdict, Verdict.RAN)

    def test_book_comes_back_to_an_earlier_holder(self):
        with Payments.begin() as payments:
            payments.begin_payment("a-1", "p")
            payments.run(1)
            prefix = payments.sent["p"].rpartition(".")[0]
            partition = self.find_partition(payments, prefix)
            for host in ("a-2", "a-1", "a-3", "a-1"):
                payments.leases.give(partition, host)
                payments.run(2)
            again = payments.answer(payments.repeat("a-1", "p"))
            payments.run(1)
            self.assertIsNotNone(again.replayed)
            self.assertEqual(payments.count_runs("p"), 1)

    def test_stale_copy_is_not_taken_in(self):
        state = build_state()
        partition = Partition("a", 0)
        name = (partition, 1)
        for moves, taken in ((3, False), (4, True)):
            state.operations.books.clear()
            state.operations.transferred[name] = 4
            state.operations.fetches[name] = Fetch("a-2", "a-1/1/keep")
            page = BookPage("a", 0, 1, 0, 0, 0, moves, -1, pack_records([], 0))
            step(state, PeerMessage(0, "a-2", page))
            self.assertEqual(name in state.operations.books, taken)

    def test_page_from_another_host_is_ignored(self):
        state = build_state()
        name = (Partition("a", 0), 1)
        state.operations.fetches[name] = Fetch("a-2", "a-1/1/keep")
        page = BookPage("a", 0, 1, 0, 0, 0, 0, -1, pack_records([], 0))
        step(state, PeerMessage(0, "b-1", page))
        self.assertNotIn(name, state.operations.books)

    def test_malformed_records_are_refused(self):
        state = build_state()
        name = (Partition("a", 0), 1)
        for data in (b"\xc1", b"\x91\x01", b"\x91\x92\x00\xa1p"):
            state.operations.fetches[name] = Fetch("a-2", "a-1/1/keep")
            page = BookPage("a", 0, 1, 0, 1, 0, 0, -1, data)
            effects = step(state, PeerMessage(0, "a-2", page))
            self.assertFalse(any(isinstance(e, SendMessage) for e in effects))
            self.assertNotIn(name, state.operations.books)

    def find_partition(self, payments: Payments, prefix: str) -> Partition:
        _, domain, index, *_ = prefix.split(".")
        return Partition(domain, int(index))


class RecordTests(TestCase):
    def test_records_survive_encoding(self):
        answer = KeptAnswer(201, "text/plain", b"ok")
        record = OperationRecord(
            "one", b"d", Progress.RAN, "a-1/1/r1", 2, 70, ("a-2/1/r2",), 201, answer
        )
        data = pack_records([(4, "p", record)], 50)
        ((window, unique, copy),) = unpack_records(data, 1_000)
        self.assertEqual((window, unique), (4, "p"))
        self.assertEqual(copy.doubtful_at, 1_020)
        copy.doubtful_at = record.doubtful_at
        self.assertEqual(copy, record)

    def test_book_drops_expired_windows(self):
        book = Book(Partition("a", 0), 1, 0)
        minute = 60_000_000
        for window in range(30):
            book.windows[window] = {"p": OperationRecord("one", b"")}
        self.assertEqual(book.forget(20 * minute), 10)
        self.assertEqual(book.forgotten, 9)
        self.assertEqual(min(book.windows), 10)
