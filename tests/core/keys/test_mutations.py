"""Mutation tests of keys and configuration.

Each breaks one safety rule and checks that the test which guards it fails.
"""

from __future__ import annotations

from unittest import TestCase
from unittest.mock import patch

from attrs import evolve

from almondgap_cli import configuration
from almondgap_core import reducer
from almondgap_core.keys import trust
from almondgap_core.keys.messages import EvidenceResponse
from almondgap_core.keys.state import PendingRequest
from almondgap_core.requests import flow
from almondgap_core.settings import rollout
from almondgap_testkit.mutations import assert_red
from tests.cli import test_configuration as races
from tests.core.keys import test_trust as trusted
from tests.core.settings import test_rollout as rolled


class TrustMutationTests(TestCase):
    def test_trust_has_a_bound(self):
        with patch.object(trust, "may_trust", lambda state, now: True):
            name = "test_isolated_failure_domain_stops_trusting_within_the_bound"
            assert_red(self, trusted.TrustTests, name)

    def test_keys_are_checked_at_each_request(self):
        with patch.object(flow, "check_keys", lambda state, credential, now: None):
            assert_red(
                self,
                trusted.TrustTests,
                "test_paused_host_needs_new_evidence_before_it_trusts",
            )

    def test_silent_failure_domains_are_no_evidence(self):
        with patch.object(trust, "_list_other_domains", lambda state: set()):
            name = "test_two_failure_domains_without_the_third_cannot_tell"
            assert_red(self, trusted.TrustTests, name)

    def test_fleet_wide_outage_has_its_own_bound(self):
        with patch.object(trust, "_is_fleet_wide_outage", lambda state, now: False):
            name = "test_fleet_wide_outage_stops_no_key_within_its_bound"
            assert_red(self, trusted.TrustTests, name)

    def test_age_counts_from_the_request(self):
        def handle(state, host, message, now):
            number = state.keys.pending[host].number
            state.keys.pending[host] = PendingRequest(number, now)
            trust.handle_evidence_response(state, host, message, now)

        with patch.dict(reducer.MESSAGE_HANDLERS, {EvidenceResponse: handle}):
            assert_red(self, trusted.EvidenceTests, "test_age_counts_from_the_request")

    def test_evidence_is_of_the_same_version(self):
        def handle(state, host, message, now):
            message = evolve(message, version=state.settings.examined_version)
            trust.handle_evidence_response(state, host, message, now)

        with patch.dict(reducer.MESSAGE_HANDLERS, {EvidenceResponse: handle}):
            name = "test_other_versions_and_numbers_are_no_evidence"
            assert_red(self, trusted.EvidenceTests, name)


class ConfigurationMutationTests(TestCase):
    def test_only_greater_versions_come_in_force(self):
        def adopt(state, version, name, body):
            state.settings.examined_version = 0
            return apply_body(state, version, name, body)

        def parse(state, value):
            state.settings.examined_version = 0
            return parse_head(state, value)

        apply_body, parse_head = rollout.apply_body, rollout._parse_head
        with (
            patch.object(rollout, "apply_body", adopt),
            patch.object(rollout, "_parse_head", parse),
        ):
            assert_red(
                self, rolled.RolloutTests, "test_smaller_version_is_never_applied"
            )

    def test_digest_is_checked(self):
        def adopt(state, version, name, body):
            return apply_body(state, version, rollout.compute_object_name(body), body)

        apply_body = rollout.apply_body
        with patch.object(rollout, "apply_body", adopt):
            name = "test_body_that_is_not_the_named_one_is_refused"
            assert_red(self, rolled.RolloutTests, name)

    def test_rejected_body_withdraws_keys(self):
        def find(inventory, text):
            return frozenset()

        with patch.object(rollout, "_find_withdrawn_keys", find):
            name = "test_key_missing_in_a_bad_body_is_withdrawn_all_the_same"
            assert_red(self, rolled.RolloutTests, name)

    def test_head_moves_by_compare_and_swap(self):
        def plan(head, row_version):
            return evolve(plan_change(head, row_version), checks=())

        plan_change = configuration.plan_head_change
        with patch.object(configuration, "plan_head_change", plan):
            name = "test_operator_who_was_overtaken_hears_of_the_other"
            assert_red(self, races.RaceTests, name)

    def test_lost_answer_is_read_back(self):
        async def believe(platform, head, based_on):
            return head

        with patch.object(configuration, "_read_back", believe):
            assert_red(self, races.RaceTests, "test_write_that_was_lost_is_an_error")
