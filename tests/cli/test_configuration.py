"""Operators who race, and answers that are lost."""

from __future__ import annotations

from unittest import TestCase

from attrs import define
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import defer

from almondgap_cli.configuration import advance_head, change_body, read_history
from almondgap_core.exceptions import AlmondgapError, ConflictError
from almondgap_core.platform import TransactionOutcome, TransactionResult
from almondgap_daemon.tables.memory import MemoryPlatform
from almondgap_testkit.builders import build_text


def wait(work):
    """Return the result of a coroutine that ends at once."""
    results = []
    defer.ensureDeferred(work).addBoth(results.append)
    (result,) = results
    if isinstance(result, defer.Failure):
        result.raiseException()
    return result


@define
class FaultyPlatform(MemoryPlatform):
    """Loses answers, lets writes be lost, and lets another operator in.

    :ivar faults: what happens to each write in turn.
    """

    faults: list[str] = []

    def transact(self, transaction):
        if not transaction.writes:
            return MemoryPlatform.transact(self, transaction)
        fault = self.faults.pop(0) if self.faults else "none"
        if fault == "before":
            wait(
                advance_head(
                    MemoryPlatform(self.tables, self.objects), b"{}", None, "x"
                )
            )
        result = self.tables.apply(transaction) if fault != "lost" else None
        if fault == "after":
            wait(
                advance_head(
                    MemoryPlatform(self.tables, self.objects), b"{}", None, "y"
                )
            )
        if fault in ("lost", "unanswered", "after"):
            return defer.succeed(TransactionResult(TransactionOutcome.UNKNOWN))
        return defer.succeed(result)


class RaceTests(TestCase):
    def test_conflict_names_the_other_edit(self):
        platform = MemoryPlatform()
        wait(advance_head(platform, b"{}", None, "the first"))
        with self.assertRaisesRegex(ConflictError, "version 1 at .*the first"):
            wait(advance_head(platform, b"{}", 0, "the second"))

    def test_operator_who_was_overtaken_hears_of_the_other(self):
        platform = FaultyPlatform(faults=["before"])
        with self.assertRaisesRegex(ConflictError, "version 1 at .*x"):
            wait(advance_head(platform, b"{}", None, "mine"))

    def test_change_that_was_replaced_at_once_counts_as_made(self):
        platform = FaultyPlatform(faults=["after"])
        head = wait(advance_head(platform, b"{}", None, "mine"))
        self.assertEqual(head.version, 1)
        self.assertEqual([h.note for h in wait(read_history(platform))], ["mine", "y"])

    def test_write_that_was_lost_is_an_error(self):
        platform = FaultyPlatform(faults=["lost"])
        self.assertRaises(
            AlmondgapError, lambda: wait(advance_head(platform, b"{}", None, ""))
        )
        self.assertEqual(wait(read_history(platform)), [])

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(
        faults=st.lists(
            st.sampled_from(("none", "before", "after", "lost", "unanswered")),
            min_size=3,
            max_size=9,
        )
    )
    def test_who_is_told_of_success_is_in_the_history_and_nobody_else(self, faults):
        platform = FaultyPlatform(faults=list(faults))
        platform.objects["first"] = b""
        told = []
        for number in range(len(faults)):
            try:
                wait(advance_head(platform, f"{number}".encode(), None, f"n{number}"))
                told.append(f"n{number}")
            except AlmondgapError:
                pass
        history = wait(read_history(platform))
        notes = [head.note for head in history if head.note.startswith("n")]
        self.assertEqual(notes, told)
        versions = [head.version for head in history]
        self.assertEqual(versions, list(range(1, len(versions) + 1)))

    def test_edit_of_a_changed_body_is_a_conflict(self):
        platform = MemoryPlatform()
        wait(advance_head(platform, build_text().encode(), None, "first"))

        def edit(text: str) -> str:
            wait(advance_head(platform, text.encode(), None, "in between"))
            return text

        with self.assertRaisesRegex(ConflictError, "in between"):
            wait(change_body(platform, edit, "mine"))
