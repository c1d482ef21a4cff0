from __future__ import annotations

from unittest import TestCase

from almondgap_core.eventlog import EventLog
from almondgap_core.exceptions import UserError
from almondgap_core.reducer import step
from almondgap_core.units import seconds
from almondgap_testkit.builders import build_text
from almondgap_testkit.fakes.world import World


class EventLogTests(TestCase):
    def setUp(self):
        hosts = {"a-1": "a", "b-1": "b"}
        world = World(build_text(), hosts, keep_events=True)
        world.run(seconds(3))
        world.call("a-1", "shop", "one")
        world.run(seconds(1))
        self.log = world.hosts["a-1"].log

    def test_log_survives_writing_and_reading(self):
        read = EventLog.from_lines(self.log.to_lines(), "log")
        self.assertEqual(read, self.log)
        self.assertGreater(len(read.events), 20)

    def test_replay_gives_the_same_effects(self):
        first = [
            step(state, e) for state in [self.log.make_state()] for e in self.log.events
        ]
        second = [
            step(state, e) for state in [self.log.make_state()] for e in self.log.events
        ]
        self.assertEqual(first, second)
        self.assertGreater(sum(map(len, first)), 5)

    def test_broken_line_is_named(self):
        lines = list(self.log.to_lines())
        lines[3] = '{"$type": "Unheard"}'
        with self.assertRaises(UserError) as caught:
            EventLog.from_lines(lines, "log")
        self.assertIn("log: line 4", str(caught.exception))
