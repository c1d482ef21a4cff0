from __future__ import annotations

from unittest import TestCase

from almondgap_cli.losses import LossTable, classify_answer
from almondgap_cli.stories import LogLine


def build_line(at: float, event: str, **fields) -> LogLine:
    """Return a log line of a host."""
    return LogLine(at, "h1", event, {"service": "shop", **fields})


class ClassifyTests(TestCase):
    def test_first_cause_that_applies_is_named(self):
        late = {"status": 200, "late": True, "attempts": 1, "waiting": 0}
        self.assertEqual(classify_answer({**late, "late": False}), "on time")
        self.assertEqual(classify_answer({**late, "status": 500}), "status 500")
        self.assertEqual(classify_answer(late), "late slow")
        self.assertEqual(classify_answer({**late, "waiting": 2}), "late queued")
        both = {**late, "waiting": 2, "fetched": True}
        self.assertEqual(classify_answer(both), "late fetched")
        self.assertEqual(classify_answer({**both, "attempts": 2}), "late retried")

    def test_lines_of_an_earlier_release_have_no_cause(self):
        self.assertEqual(classify_answer({"status": 200}), "on time")


class LossTableTests(TestCase):
    LINES = (
        build_line(100.0, "request answered", status=200, late=False),
        build_line(101.0, "request answered", status=200, late=True, fetched=True),
        build_line(102.5, "request refused", reason="no-capacity"),
        build_line(102.6, "request refused", service="", reason="over-rate"),
        build_line(103.0, "lines left out", bounded=7, unread=1),
        build_line(103.0, "store changed", state="lost"),
    )

    def test_requests_are_counted_by_period_and_service(self):
        table = LossTable.from_lines(reversed(self.LINES))
        self.assertEqual(
            dict(table.counts),
            {
                (0.0, "shop"): {"on time": 1, "late fetched": 1},
                (2.0, "shop"): {"refused no-capacity": 1},
                (2.0, "-"): {"refused over-rate": 1},
            },
        )

    def test_text_ends_with_the_sum_and_what_is_missing(self):
        text = list(LossTable.from_lines(self.LINES).describe())
        self.assertIn("late fetched 1, on time 1", text[-2])
        self.assertEqual(text[-1], "8 lines were left out by the hosts")
