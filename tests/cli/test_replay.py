from __future__ import annotations

from unittest import TestCase

from almondgap_cli.commands.replay import describe_run
from almondgap_core.units import seconds
from almondgap_testkit.builders import build_text
from almondgap_testkit.fakes.world import World


class ReplayTests(TestCase):
    def test_replay_shows_where_the_version_changed(self):
        world = World(build_text(), {"a-1": "a"}, keep_events=True)
        world.run(seconds(3))
        lines = list(describe_run(world.hosts["a-1"].log))
        index = next(i for i, line in enumerate(lines) if "BodyFetched" in line)
        changed = [line for line in lines[index:] if "settings.version" in line]
        self.assertIn("0 => 1", changed[0])
