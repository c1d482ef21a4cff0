from __future__ import annotations

import json
from unittest import TestCase

from almondgap_cli.stories import RequestTimeline

LINES = [
    {"at": 1.0, "host": "h1", "event": "configuration changed", "version": 3},
    {
        "at": 2.0,
        "host": "h1",
        "event": "target changed",
        "target": "t1",
        "state": "new",
    },
    {
        "at": 2.5,
        "host": "h1",
        "event": "target changed",
        "target": "t9",
        "state": "new",
    },
    {"at": 3.0, "host": "h2", "event": "store changed", "state": "lost"},
    {
        "at": 4.0,
        "host": "h1",
        "event": "request placed",
        "request": "r1",
        "target": "t1",
    },
    {
        "at": 4.1,
        "host": "h1",
        "event": "request placed",
        "request": "r2",
        "target": "t9",
    },
    {"at": 4.2, "host": "h1", "event": "attempt lost", "request": "r1", "target": "t1"},
    {"at": 4.3, "host": "h1", "event": "request refused", "request": "r1"},
    {
        "at": 5.0,
        "host": "h1",
        "event": "target changed",
        "target": "t1",
        "state": "gone",
    },
]


class StoryTests(TestCase):
    def tell(self, request: str) -> list[str]:
        texts = [f"noise {json.dumps(line)}" for line in reversed(LINES)]
        texts += ["no log line", '{"at": broken', '{"at": 1}']
        return list(RequestTimeline.from_lines(request, texts).describe())

    def test_lines_come_in_order_with_what_was_believed_before(self):
        told = "\n".join(self.tell("r1"))
        places = [
            told.index(part)
            for part in (
                "version=3",
                "state=new",
                "Request r1:",
                "request placed",
                "attempt lost",
                "request refused",
            )
        ]
        self.assertEqual(places, sorted(places))

    def test_what_does_not_bear_on_it_is_left_out(self):
        told = "\n".join(self.tell("r1"))
        for part in ("t9", "store changed", "state=gone", "r2"):
            self.assertNotIn(part, told)

    def test_unknown_request(self):
        self.assertEqual(self.tell("r9"), ["no line about request r9"])
