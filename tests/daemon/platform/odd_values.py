"""Values that another writer may leave in a field, as JSON text."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st

EXAMPLES = settings(derandomize=True, deadline=None, max_examples=250)

PLACEHOLDER = "\u2603"

#: Nesting depths around what a parser or the text of an error can follow.
DEPTHS = (1, 5, 300, 900, 940, 960, 970, 980, 990, 1_000, 100_000)

NUMBERS = (
    *("-1", "0", "1", "-0.0", "0.5", "1e400", "-1e400", "1e308", "NaN", "Infinity"),
    *(str(2**power + offset) for power in (31, 53, 63, 64) for offset in (-1, 0, 1)),
    *("1" + "0" * digits for digits in (18, 40, 308, 400, 4_000, 5_000)),
)

ADDRESSES = (
    *("10.1.2.3:0", "10.1.2.3:65536", "10.1.2.3:99999999", "10.1.2.3:-1", ":80"),
    *("10.1.2.3: 80", "10.1.2.3:8_0", "10.1.2.3:\u0668\u0660", "10.1.2.3:1e3"),
    *("10.1.2.256:80", "shop.example:80", "[::1]:80", "10.1.2.3:80:80", "0x7f.1:80"),
    *("10.1.2.3\u0000:80", "\ud800:80", "10.1.2.3:" + "9" * 5_000, "10.1.2.3"),
)

TEXTS = (
    *("", " ", "\ud800", "a\ud800", "\u0000", "a\r\nb: c", "\u2028", "x" * 60_000),
    *("a1", "b2", "shop", "sleeping", "7" * 5_000, "\u0661", "1_0", "-1", "0x10"),
)

JSON_TEXTS = (
    st.sampled_from(NUMBERS)
    | st.sampled_from((*TEXTS, *ADDRESSES)).map(json.dumps)
    | st.sampled_from(DEPTHS).map(lambda depth: "[" * depth + "]" * depth)
    | st.sampled_from(DEPTHS).map(lambda depth: '{"a":' * depth + "1" + "}" * depth)
    | st.sampled_from(("null", "true", "false", "[]", "{}", '["a"]', '{"a": {}}', "["))
    | st.integers().map(str)
    | st.text(max_size=12).map(json.dumps)
)


def list_paths(document: Any, path: tuple = ()) -> list[tuple]:
    """Return the places of a document, the whole of it first."""
    paths = [path]
    if isinstance(document, dict):
        for key, inner in document.items():
            paths += list_paths(inner, (*path, key))
    elif isinstance(document, list):
        for index, inner in enumerate(document):
            paths += list_paths(inner, (*path, index))
    return paths


def replace(document: Any, path: tuple, text: str) -> bytes:
    """Return the JSON of a document with other JSON text in one place."""
    if not path:
        return text.encode()
    changed = json.loads(json.dumps(document))
    section = changed
    for key in path[:-1]:
        section = section[key]
    section[path[-1]] = PLACEHOLDER
    return json.dumps(changed).replace(json.dumps(PLACEHOLDER), text).encode()


def draw_odd_documents(document: Any) -> st.SearchStrategy[bytes]:
    """Return a strategy for documents with one or two odd places, and for any bytes."""
    changed = st.builds(
        lambda path, text: replace(document, path, text),
        st.sampled_from(list_paths(document)),
        JSON_TEXTS,
    )
    return changed | st.binary(max_size=40)
