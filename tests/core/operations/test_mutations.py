"""Each rule is broken once on purpose; a check has to turn red."""

from __future__ import annotations

from contextlib import contextmanager
from unittest import TestCase
from unittest.mock import patch

from attrs import evolve

from almondgap_core import lifecycle, reducer
from almondgap_core.operations import books, decision, handover, holder, requester
from almondgap_core.operations.events import OperationEnded
from almondgap_core.operations.record import Book, Progress
from almondgap_core.verdict import Verdict
from almondgap_testkit.mutations import assert_red
from tests.core import test_lifecycle
from tests.core.operations import test_at_most_once as once
from tests.core.operations import test_handover as chain


def judge_all_as_new(state, book, record, candidate, now):
    """Break the rule that an operation has one permit."""
    return holder._grant(state, record, candidate, now)


def open_any_book(state, prefix, held, now):
    """Break the rule that a book of an earlier epoch is never opened anew."""
    name = (prefix.partition, prefix.epoch)
    book = state.operations.books.get(name)
    if book is None:
        book = state.operations.books[name] = Book(prefix.partition, prefix.epoch, now)
    return book


class MutationTests(TestCase):
    def assert_red(self, case: type[TestCase], name: str) -> None:
        assert_red(self, case, name)

    def test_one_permit(self):
        with patch.object(holder, "_decide_known", judge_all_as_new):
            self.assert_red(once.OneHostTests, "test_repeat_gets_the_first_answer")
            self.assert_red(once.OneHostTests, "test_repeat_waits_for_the_first_answer")

    def test_old_epoch_is_not_opened_anew(self):
        with (
            patch.object(holder, "find_book", open_any_book),
            patch.object(handover, "_seal_for", lambda *args: False),
        ):
            self.assert_red(once.CrashTests, "test_holder_gone_means_may_have_run")

    def test_sealed_book_is_not_written(self):
        def find(state, prefix, held, now):
            state.operations.transferred.clear()
            return books.find_book(state, prefix, held, now)

        with patch.object(holder, "find_book", find):
            self.assert_red(
                chain.ChainTests,
                "test_giver_that_still_believes_in_its_lease_runs_nothing",
            )

    def test_book_is_bound_to_one_taker(self):
        def bind(state, book, recipient):
            handover._seal(state, book, recipient)
            return True

        with patch.object(handover, "_seal_for", bind):
            self.assert_red(
                chain.ChainTests, "test_first_giver_gives_nothing_to_a_third_host"
            )

    def test_moves_are_counted(self):
        def begin(state, name, fetch, message, now):
            state.operations.transferred.clear()
            return install(state, name, fetch, message, now)

        install = handover._install
        with patch.object(handover, "_install", begin):
            self.assert_red(chain.ChainTests, "test_stale_copy_is_not_taken_in")

    def test_pages_come_from_the_source_only(self):
        def take(state, host, message, now):
            for fetch in state.operations.fetches.values():
                fetch.source = host
            handover.handle_page(state, host, message, now)

        with patch.dict(reducer.MESSAGE_HANDLERS, {chain.BookPage: take}):
            self.assert_red(chain.ChainTests, "test_page_from_a_stranger_is_ignored")

    def test_body_and_account_are_compared(self):
        def decide(state, book, record, candidate, now):
            record.account, record.digest = candidate.account, candidate.digest
            return known(state, book, record, candidate, now)

        known = holder._decide_known
        with patch.object(holder, "_decide_known", decide):
            self.assert_red(
                once.OneHostTests, "test_key_of_another_body_or_account_is_refused"
            )

    def test_old_keys_are_refused(self):
        with patch.object(holder, "_is_expired", lambda *args: False):
            self.assert_red(
                once.OneHostTests, "test_old_key_is_refused_after_retention"
            )

    def test_keys_need_a_prefix(self):
        def ask(state, event):
            if requester.OperationKey.from_text(event.key) is None:
                state.emit(requester.OperationGranted(event.now, event.req_id))
                return
            requester.handle_operation_asked(state, event)

        with self.handled_by(requester.OperationAsked, ask):
            self.assert_red(
                once.OneHostTests, "test_key_minted_by_the_caller_alone_never_runs"
            )

    def test_unused_permit_comes_back(self):
        def end(state, event):
            state.operations.active.pop(event.req_id, None)

        with self.handled_by(OperationEnded, end):
            self.assert_red(
                once.OneHostTests,
                "test_failure_before_any_target_leaves_the_operation_free",
            )

    def test_lost_holder_is_no_proof(self):
        refusals = dict(decision._REFUSALS)
        lost = decision.Decision.LOST
        refusals[lost] = evolve(refusals[lost], verdict=Verdict.NOT_RUN)
        with patch.object(decision, "_REFUSALS", refusals):
            self.assert_red(once.CrashTests, "test_holder_gone_means_may_have_run")

    def test_permit_without_outcome_is_doubt(self):
        def decide(state, book, record, candidate, now):
            if record.progress is Progress.PERMITTED and now >= record.doubtful_at:
                record.progress = Progress.FREE
            return known(state, book, record, candidate, now)

        known = holder._decide_known
        with patch.object(holder, "_decide_known", decide):
            self.assert_red(once.CrashTests, "test_dispatcher_gone_means_may_have_run")

    def test_records_move_before_the_host_leaves(self):
        with patch.object(lifecycle, "transfer_books", lambda state, now: 0):
            self.assert_red(
                test_lifecycle.HandOverTests, "test_planned_stop_leaves_no_doubt"
            )

    @contextmanager
    def handled_by(self, kind: type, handle):
        """Let another function handle a type of event."""
        with patch.dict(reducer.EVENT_HANDLERS, {kind: (handle,)}):
            yield
