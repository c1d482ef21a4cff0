from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from almondgap_cli.commands.diff import compare
from almondgap_cli.edits import add_key, find_key_account, remove_key
from almondgap_core.exceptions import ConfigurationError
from almondgap_core.settings.parsing import parse_document

TEXT = """// A comment, with "accounts": {} in it.
{
  "services": {"a": {"note": "}]"}}, /* "accounts" */
  'accounts': {
    // The first one.
    "one": {"rate_per_s": 3, "keys": [ // keys
      {"id": "k1", "digest": "d1"}, // old
      {"id": "k2", "digest": "d2"}
    ]},
    two: {"keys": []}
  }
}
"""


class EditTests(TestCase):
    def test_key_is_added_and_comments_stay(self):
        for account in ("one", "two"):
            edited = add_key(TEXT, account, "k3", "d3")
            keys = parse_document(edited, "")["accounts"][account]["keys"]
            self.assertEqual(keys[-1], {"id": "k3", "digest": "d3"})
            self.assertEqual(edited.count("//"), TEXT.count("//"))
            self.assertEqual(find_key_account(edited, "k3"), account)

    def test_key_is_removed(self):
        for key_id, left in (("k1", "k2"), ("k2", "k1")):
            edited = remove_key(TEXT, key_id)
            keys = parse_document(edited, "")["accounts"]["one"]["keys"]
            self.assertEqual([key["id"] for key in keys], [left])
        self.assertEqual(
            parse_document(remove_key(edited, "k1"), "")["accounts"]["one"]["keys"], []
        )

    def test_unknown_names_are_errors(self):
        for edit in (
            lambda: add_key(TEXT, "three", "k", "d"),
            lambda: remove_key(TEXT, "k9"),
            lambda: find_key_account(TEXT, "k9"),
        ):
            self.assertRaises(ConfigurationError, edit)


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=4),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


class DiffTests(TestCase):
    def test_names_the_field(self):
        before = {"a": [{"name": "x", "slots": 1}, {"name": "y", "slots": 2}]}
        after = {"a": [{"name": "x", "slots": 3}], "b": 1}
        lines = [str(entry) for entry in compare(before, after)]
        self.assertEqual(lines[0], "~ a.x.slots: 1 -> 3")
        self.assertTrue(lines[1].startswith("- a.y: "))
        self.assertEqual(lines[2], "+ b: 1")

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(before=VALUES, after=VALUES)
    def test_equal_documents_and_only_these_have_no_difference(self, before, after):
        self.assertEqual(list(compare(before, after)) == [], before == after)
