"""The soak's judge sees each fault that it is for, and a short soak passes."""

from __future__ import annotations

import subprocess
import sys
import threading
import time
from unittest import TestCase

from attrs import Factory, define

from almondgap_testkit.soak.callers import Attempt
from almondgap_testkit.soak.judging import Judge
from almondgap_testkit.soak.plan import Fault, draw_plan
from almondgap_testkit.soak.stage import FICKLE_KEY, SMALL_KEY, SURE_KEY, Stage

#: Seed of the soak in CI: its plan has faults of hosts, targets and the store.
SEED = 4


def build_attempt(number: int = 0, **changes) -> Attempt:
    """Return a request that a target answered."""
    fields = {
        "request_id": f"c0-{number}",
        "host": 0,
        "key": SURE_KEY,
        "idempotent": False,
        "path": "/orders/7",
        "began": 50.0,
        "fresh": True,
        "ended": 50.1,
        "status": 200,
        "echo": f"c0-{number}",
        "sealed": True,
        "body": f"shop-1 POST /orders/7 c0-{number}".encode(),
    }
    return Attempt(**{**fields, **changes})


def judge(attempts, runs=None, faults=(), calm: float = 40.0) -> list[str]:
    """Return the broken promises; each request ran once unless it is told."""
    if runs is None:
        runs = {attempt.request_id: [(attempt.began, 1)] for attempt in attempts}
    return Judge(list(attempts), runs, list(faults), calm).list_breaches()


@define
class FakeSite:
    """Keeps the rows that are written; each target's row is that of its present run."""

    rows: list[dict] = Factory(list)
    born: int = 1

    def set_mode(self, target: int, mode: str) -> None:
        """Let a target start anew when it has left."""
        self.born += mode == "well"

    def list_runs(self, target: int) -> dict:
        """Return the row of a target."""
        value = {"born": self.born}
        return {"row": {"table": "servers", "key": f"shop-{target}", "value": value}}

    def write(self, row: dict) -> None:
        """Keep a row."""
        self.rows.append(row["value"])


class StageTests(TestCase):
    def test_target_that_starts_anew_stays_withdrawn(self):
        # Guards against a store that lists a target which is judged as withdrawn.
        site = FakeSite()
        stage = Stage(None, site, [], [])
        withdrawal = threading.Thread(target=stage._withdraw_target, args=(5, 0.2))
        withdrawal.start()
        while not site.rows:
            time.sleep(0.01)
        stage._leaving(5, 0.0)
        self.assertEqual(site.rows, [None])
        withdrawal.join()
        self.assertEqual(site.rows, [None, {"born": 2}])


class JudgeTests(TestCase):
    def test_answered_request_is_fine(self):
        self.assertEqual(judge([build_attempt()]), [])

    def test_request_that_ran_twice(self):
        runs = {"c0-0": [(50.0, 1), (50.1, 2)]}
        self.assertIn("ran 2 times", judge([build_attempt()], runs)[0])

    def test_request_that_may_run_again_runs_no_third_time(self):
        body = b"shop-1 GET /orders/7 "
        attempt = build_attempt(idempotent=True, body=body)
        self.assertEqual(judge([attempt], {"c0-0": [(50.0, 1), (50.1, 2)]}), [])
        found = judge([attempt], {"c0-0": [(50.0, 1), (50.1, 2), (50.2, 3)]})
        self.assertIn("ran 3 times", found[0])

    def test_target_that_gets_more_than_it_advertised(self):
        attempts = [build_attempt(n, began=50.0 + n / 4) for n in range(20)]
        limited = Fault(45.0, 10.0, "limited", 1)
        self.assertIn("limited", judge(attempts, faults=[limited], calm=50.0)[0])
        other = Fault(45.0, 10.0, "limited", 2)
        self.assertEqual(judge(attempts, faults=[other], calm=50.0), [])
        frozen = Fault(46.0, 1.0, "freeze", 0)
        faults = [limited, frozen]
        self.assertEqual(judge(attempts, faults=faults, calm=50.0), [])

    def test_untrue_not_run(self):
        attempt = build_attempt(status=503)
        self.assertIn("answered 503, but ran", judge([attempt])[0])

    def test_answer_of_another_request_or_half_of_one(self):
        for changes in (
            {"echo": "c0-9"},
            {"sealed": False},
            {"body": b"shop-1 POST /orders/7 c0-9"},
            {"body": b"shop-1 POST /ord"},
        ):
            found = judge([build_attempt(**changes)])
            self.assertIn("not the target's answer", found[0])

    def test_lost_answer_is_excused_by_a_fault_of_the_host_only(self):
        attempt = build_attempt(status=0, failure="RemoteDisconnected")
        self.assertIn("after it ran", judge([attempt])[0])
        killed = Fault(50.0, 1.0, "kill", 0)
        served = build_attempt(1, began=60.0)
        self.assertEqual(judge([attempt, served], faults=[killed], calm=55.0), [])
        other = Fault(50.0, 1.0, "kill", 1)
        self.assertIn("after it ran", judge([attempt], faults=[other])[0])
        stopped = Fault(50.0, 1.0, "stop", 0)
        self.assertIn("after it ran", judge([attempt], faults=[stopped])[0])
        elsewhere = Fault(49.0, 3.0, "answers lost", 2)
        found = judge([attempt, served], faults=[stopped, elsewhere], calm=55.0)
        self.assertIn("after it ran", found[0])
        there = Fault(49.0, 3.0, "answers lost", 1)
        found = judge([attempt, served], faults=[stopped, there], calm=55.0)
        self.assertEqual(found, [])

    def test_silence(self):
        attempt = build_attempt(status=0, failure="TimeoutError", ended=54.0)
        self.assertIn("no answer", judge([attempt], {})[0])

    def test_kept_connection_may_end_before_its_next_request(self):
        attempt = build_attempt(status=0, failure="RemoteDisconnected", fresh=False)
        served = build_attempt(1)
        runs = {"c0-1": [(50.0, 1)]}
        found = judge([attempt, *[served] * 20], runs)
        self.assertEqual(found, [])

    def test_key_that_is_refused_though_it_holds(self):
        attempt = build_attempt(status=401)
        self.assertIn("though allowed", judge([attempt], {})[0])
        withdrawn = Fault(45.0, 6.0, "withdraw key", 0)
        attempt = build_attempt(status=401, key=FICKLE_KEY, began=46.0, ended=46.1)
        found = judge([attempt, build_attempt(1)], {}, [withdrawn], calm=50.0)
        self.assertEqual(found, [])

    def test_key_that_is_accepted_though_it_was_withdrawn(self):
        withdrawn = Fault(44.0, 9.0, "withdraw key", 0)
        attempt = build_attempt(key=FICKLE_KEY)
        self.assertIn("withdrawn", judge([attempt], faults=[withdrawn])[0])
        cut = Fault(43.0, 9.0, "cut from store", 0)
        self.assertEqual(judge([attempt], faults=[withdrawn, cut]), [])

    def test_targets_that_were_to_get_nothing(self):
        evacuated = Fault(44.0, 9.0, "evacuate", 4)
        self.assertIn("in spite of", judge([build_attempt()], faults=[evacuated])[0])
        left = Fault(46.0, 5.0, "withdraw target", 1)
        self.assertIn("in spite of", judge([build_attempt()], faults=[left])[0])
        other = Fault(46.0, 5.0, "withdraw target", 4)
        self.assertEqual(judge([build_attempt()], faults=[other]), [])

    def test_limit(self):
        attempts = [
            build_attempt(number, key=SMALL_KEY, began=45.0 + number / 25)
            for number in range(120)
        ]
        self.assertIn("limit of 10/s", judge(attempts)[0])
        self.assertEqual(judge([*attempts[:60], build_attempt(999)]), [])

    def test_recovery(self):
        attempts = [build_attempt(n, status=502) for n in range(4)]
        self.assertIn("served after all faults", judge(attempts)[-1])


class PlanTests(TestCase):
    def test_plans_repeat_and_overlap(self):
        plans = [draw_plan(seed, 12.0, 3, 6) for seed in range(50)]
        self.assertEqual(plans, [draw_plan(seed, 12.0, 3, 6) for seed in range(50)])
        overlaps = sum(
            fault.at < other.at < fault.end
            for plan in plans
            for fault in plan
            for other in plan
        )
        self.assertGreater(overlaps, 50)
        kinds = {fault.kind for plan in plans for fault in plan}
        self.assertEqual(len(kinds), 27)


class NoticeTests(TestCase):
    def test_request_to_a_target_that_leaves(self):
        fault = Fault(49.0, 9.0, "leaving", 1)
        told = build_attempt(0, ended=50.1, leaving=True)
        late = build_attempt(1, began=52.5)
        self.assertIn("in spite", judge([told, late], faults=[fault])[0])
        other = build_attempt(1, began=52.5, host=1)
        self.assertEqual(judge([told, other], faults=[fault]), [])
        restart = Fault(51.0, 0.5, "kill", 0)
        self.assertEqual(judge([told, late], faults=[fault, restart]), [])

    def test_requests_in_a_pause(self):
        attempts = [build_attempt(n, began=50.0 + n / 4) for n in range(8)]
        runs = {each.request_id: [(each.began, 1)] for each in attempts[1:]}
        rejections = {"c0-0": [(50.0, 1)]}
        found = Judge(attempts, runs, [], 40.0, rejections).list_breaches()
        self.assertIn("in a pause of target 1", "".join(found))
        runs = {each.request_id: [(each.began, 2)] for each in attempts[1:]}
        self.assertEqual(
            Judge(attempts, runs, [], 40.0, rejections).list_breaches(), []
        )

    def test_requests_of_death_after_the_third_crash(self):
        attempts = [build_attempt(n, began=50.0 + n * 2) for n in range(9)]
        crashes = [(each.began, each.request_id) for each in attempts]
        found = Judge(attempts, {}, [], 40.0, {}, crashes).list_breaches()
        self.assertIn("request of death", found[-1])
        found = Judge(attempts, {}, [], 40.0, {}, crashes[:7]).list_breaches()
        self.assertEqual([each for each in found if "death" in each], [])


class SoakTests(TestCase):
    def test_short_soak(self):
        command = [sys.executable, "-m", "almondgap_testkit.soak"]
        command += ["--seed", str(SEED), "--faults-s", "8"]
        run = subprocess.run(command, capture_output=True, text=True, timeout=120)
        self.assertEqual(run.returncode, 0, run.stdout + run.stderr)
