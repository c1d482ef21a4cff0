from __future__ import annotations

from unittest import TestCase

from almondgap_core.effects import CutAnswer, Dispatch, Finished, Refuse, Relay
from almondgap_core.events import (
    AnswerStarted,
    AttemptEnded,
    AttemptOutcome,
    CallerGone,
    Tick,
)
from almondgap_core.reducer import step
from almondgap_core.units import seconds
from almondgap_core.verdict import Reason, Verdict
from almondgap_testkit.builders import build_arrival, build_state


def pick(effects, kind):
    """Return the effects of one type."""
    return [effect for effect in effects if isinstance(effect, kind)]


class FlowTests(TestCase):
    def setUp(self):
        self.state = build_state()

    def run_until_dispatch(self, method="GET"):
        effects = step(self.state, build_arrival(method=method))
        (dispatch,) = pick(effects, Dispatch)
        return dispatch

    def test_request_is_served(self):
        self.run_until_dispatch()
        (relay,) = pick(step(self.state, AnswerStarted(1, "r1", 1, 200)), Relay)
        self.assertIs(relay.verdict, Verdict.RAN)
        ended = AttemptEnded(2, "r1", 1, AttemptOutcome.COMPLETE)
        (end,) = pick(step(self.state, ended), Finished)
        self.assertEqual(end.status, 200)
        self.assertEqual(self.state.requests.open, {})
        self.assertEqual(sum(self.state.slots.slots_used.values()), 0)

    def test_unknown_key_is_refused_as_not_run(self):
        effects = step(self.state, build_arrival(key="agk_one_wrong"))
        (refuse,) = pick(effects, Refuse)
        self.assertEqual(refuse.refusal.status, 401)
        self.assertIs(refuse.refusal.verdict, Verdict.NOT_RUN)

    def test_over_rate_is_refused_with_a_wait(self):
        for number in range(5):
            effects = step(self.state, build_arrival(req_id=f"r{number}"))
            self.assertEqual(len(pick(effects, Refuse)), 0)
        refuses = []
        for number in range(5, 12):
            effects = step(self.state, build_arrival(req_id=f"r{number}"))
            self.assertEqual(pick(effects, Dispatch), [])
            refuses += pick(effects, Refuse)
        self.assertEqual(len(refuses), 5)
        for refuse in refuses:
            self.assertIs(refuse.refusal.reason, Reason.OVER_RATE)
            self.assertGreater(refuse.refusal.retry_after, 0)

    def test_unreachable_target_moves_the_request(self):
        first = self.run_until_dispatch("POST")
        ended = AttemptEnded(1, "r1", 1, AttemptOutcome.NOT_SENT)
        (second,) = pick(step(self.state, ended), Dispatch)
        self.assertNotEqual(first.target.name, second.target.name)

    def test_broken_attempt_of_a_payment_is_never_repeated(self):
        self.run_until_dispatch("POST")
        effects = step(self.state, AttemptEnded(1, "r1", 1, AttemptOutcome.BROKEN))
        self.assertEqual(pick(effects, Dispatch), [])
        (refuse,) = pick(effects, Refuse)
        self.assertIs(refuse.refusal.verdict, Verdict.MAY_HAVE_RUN)

    def test_refusal_after_a_broken_attempt_never_says_not_run(self):
        self.run_until_dispatch()
        for number in range(4):
            step(self.state, build_arrival(req_id=f"other{number}"))
        broken = AttemptEnded(1, "r1", 1, AttemptOutcome.BROKEN)
        self.assertEqual(pick(step(self.state, broken), Refuse), [])
        effects = step(self.state, Tick(seconds(2)))
        refusals = [e for e in pick(effects, Refuse) if e.req_id == "r1"]
        (refuse,) = refusals
        self.assertIs(refuse.refusal.verdict, Verdict.MAY_HAVE_RUN)

    def test_caller_that_leaves_after_a_broken_attempt_leaves_doubt(self):
        self.run_until_dispatch()
        for number in range(4):
            step(self.state, build_arrival(req_id=f"other{number}"))
        step(self.state, AttemptEnded(1, "r1", 1, AttemptOutcome.BROKEN))
        (end,) = pick(step(self.state, CallerGone(2, "r1")), Finished)
        self.assertIs(end.verdict, Verdict.MAY_HAVE_RUN)

    def test_broken_answer_is_cut(self):
        self.run_until_dispatch()
        step(self.state, AnswerStarted(1, "r1", 1, 200))
        effects = step(self.state, AttemptEnded(2, "r1", 1, AttemptOutcome.BROKEN))
        self.assertEqual(len(pick(effects, CutAnswer)), 1)
