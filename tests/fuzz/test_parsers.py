"""Every parser that faces a network or an operator either reads or refuses."""

from __future__ import annotations

import json
from unittest import TestCase

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from almondgap_core.eventlog import EventLog
from almondgap_core.exceptions import (
    ConfigurationError,
    MessageError,
    PlatformError,
    UserError,
)
from almondgap_core.keys.credential import Credential
from almondgap_core.messages import Message, decode, encode
from almondgap_core.settings.head import Head
from almondgap_core.settings.inventory import Inventory
from almondgap_core.settings.parsing import parse_document
from almondgap_core.settings.reader import Report
from almondgap_core.settings.rollout import load_inventory
from almondgap_daemon.settings import Settings
from almondgap_daemon.tables.codec import load_hosts, load_result, load_transaction
from almondgap_testkit.builders import build_document
from almondgap_testkit.scenarios.parsing import ScenarioError, parse_scenario

EXAMPLES = settings(derandomize=True, deadline=None, max_examples=300)

SCALARS = (
    st.none() | st.booleans() | st.integers(-(2**63), 2**63 - 1) | st.text(max_size=12)
)
TREES = st.recursive(
    SCALARS | st.floats(allow_nan=False) | st.binary(max_size=12),
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(st.text(max_size=8), inner, max_size=5)
    ),
    max_leaves=12,
)
JSON_TREES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


def list_message_kinds() -> list[str]:
    """Return the kinds of all messages that hosts understand."""
    kinds = []
    waiting = list(Message.__subclasses__())
    while waiting:
        cls = waiting.pop()
        kinds.append(cls.kind)
        waiting.extend(cls.__subclasses__())
    return sorted(kinds)


class MessageFuzzTests(TestCase):
    @EXAMPLES
    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        self.check(data)

    @EXAMPLES
    @given(st.sampled_from(list_message_kinds()), st.lists(TREES, max_size=9))
    def test_any_fields(self, kind, fields):
        self.check(msgpack.packb([kind, *fields], use_bin_type=True))

    def check(self, data: bytes) -> None:
        """Check that the bytes are read as a message that can be sent, or refused."""
        try:
            message = decode(data)
        except MessageError:
            return
        self.assertEqual(decode(encode(message)), message)


class DocumentFuzzTests(TestCase):
    @EXAMPLES
    @given(st.text(max_size=80))
    def test_any_text(self, text):
        try:
            load_inventory(text, "fuzz")
        except ConfigurationError:
            return
        self.fail("no text of that length holds an inventory")

    @EXAMPLES
    @given(JSON_TREES)
    def test_any_tree(self, tree):
        for cls in (Inventory, Settings):
            report = Report("fuzz")
            cls.from_document(tree, report)
            self.assertTrue(report.errors)

    @EXAMPLES
    @given(st.data())
    def test_one_changed_place(self, data):
        document = build_document()
        node = document
        while True:
            keys = list(node) if isinstance(node, dict) else range(len(node))
            key = data.draw(st.sampled_from(list(keys)))
            inner = node[key]
            if (
                not isinstance(inner, dict | list)
                or not inner
                or data.draw(st.booleans())
            ):
                node[key] = data.draw(JSON_TREES)
                break
            node = inner
        report = Report("fuzz")
        Inventory.from_document(document, report)
        for fault in report.errors:
            self.assertTrue(fault.path)
            self.assertTrue(fault.expected)

    @EXAMPLES
    @given(st.text(max_size=60))
    def test_any_head(self, text):
        try:
            Head.from_text(text)
        except ConfigurationError:
            return
        self.fail("no text of that length holds a head")

    @EXAMPLES
    @given(st.text(max_size=60))
    def test_comments_and_places(self, text):
        try:
            parse_document(text, "fuzz")
        except ConfigurationError as exc:
            self.assertIn("fuzz", str(exc))


class PlatformFuzzTests(TestCase):
    @EXAMPLES
    @given(JSON_TREES)
    def test_any_body(self, tree):
        data = json.dumps(tree).encode()
        for load in (load_hosts, load_result, load_transaction):
            try:
                load(data)
            except PlatformError:
                continue
            self.assertIn(tree, ([], {}, ""))


class ScenarioFuzzTests(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.lists(
            st.sampled_from(
                "deployment trust run 5s at 1s cut akl-a from all heal expect no "
                "overshoot traffic 3/s 4% >= , # \n".split(" ")
            ),
            max_size=12,
        )
    )
    def test_any_words(self, words):
        try:
            parse_scenario(" ".join(words), "fuzz")
        except ScenarioError as exc:
            self.assertRegex(str(exc), r"fuzz: line -?\d+, column -?\d+")


class KeyFuzzTests(TestCase):
    @EXAMPLES
    @given(st.text(max_size=300))
    def test_any_key(self, key):
        credential = Credential.from_key(key, b"pepper")
        if credential is not None:
            self.assertNotIn(key, repr(credential))


class EventLogFuzzTests(TestCase):
    @EXAMPLES
    @given(st.lists(JSON_TREES.map(json.dumps), max_size=4))
    def test_any_lines(self, lines):
        try:
            EventLog.from_lines(lines, "fuzz")
        except UserError as exc:
            self.assertIn("fuzz", str(exc))
