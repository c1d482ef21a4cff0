from __future__ import annotations

from unittest import TestCase

from attrs import fields

from almondgap_testkit.models.leases import LeaseModel
from almondgap_testkit.models.loans import LoanModel
from almondgap_testkit.models.search import search

BOUND = "max_count"


def list_rules(model: type) -> list[str]:
    """Return the names of a model's safety rules: all fields except the bound."""
    return [field.name for field in fields(model) if field.name != BOUND]


class ModelTests(TestCase):
    def test_every_state_of_the_loan_model_is_safe(self):
        result = search(LoanModel())
        self.assertIsNone(result.trace)
        self.assertTrue(result.complete)
        self.assertGreater(result.states, 30_000)

    def test_states_of_the_lease_model_are_safe(self):
        result = search(LeaseModel(), max_states=60_000)
        self.assertIsNone(result.trace)

    def test_each_rule_of_the_loan_model_is_necessary(self):
        for rule in list_rules(LoanModel):
            trace = search(LoanModel(**{rule: False})).trace
            self.assertIsNotNone(trace, rule)

    def test_each_rule_of_the_lease_model_is_necessary(self):
        for rule in list_rules(LeaseModel):
            trace = search(LeaseModel(**{rule: False})).trace
            self.assertIsNotNone(trace, rule)
