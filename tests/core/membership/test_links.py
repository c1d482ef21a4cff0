from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from almondgap_core.membership.links import LINKS_PER_DOMAIN, list_links
from almondgap_testkit.builders import build_entry

SIZES = st.lists(st.integers(1, 20), min_size=2, max_size=5)


def build_listed(sizes):
    names = [(f"{d}-{n}", f"d{d}") for d, size in enumerate(sizes) for n in range(size)]
    return {name: build_entry(name, domain) for name, domain in names}


class LinkTests(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(SIZES, st.integers(0, LINKS_PER_DOMAIN - 1))
    def test_every_host_gets_a_report_of_every_domain_in_every_turn(self, sizes, turn):
        listed = build_listed(sizes)
        heard = {name: set() for name in listed}
        for entry in listed.values():
            for host in list_links(entry.name, entry.failure_domain, listed, turn):
                heard[host].add(entry.failure_domain)
        for name, domains in heard.items():
            others = {e.failure_domain for e in listed.values()}
            self.assertEqual(domains, others - {listed[name].failure_domain})

    def test_links_are_few_at_full_size_and_a_full_mesh_today(self):
        full = build_listed([17] * 23)
        for turn in range(LINKS_PER_DOMAIN):
            self.assertEqual(len(list(list_links("0-0", "d0", full, turn))), 22)
        today = build_listed([2, 2, 2, 1, 2, 1])
        reached = set()
        for turn in range(LINKS_PER_DOMAIN):
            reached.update(list_links("0-0", "d0", today, turn))
        self.assertEqual(reached, set(today) - {"0-0", "0-1"})
