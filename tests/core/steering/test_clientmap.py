from __future__ import annotations

import ipaddress
from unittest import TestCase, mock

from hypothesis import given, settings
from hypothesis import strategies as st

from almondgap_core.exceptions import ConfigurationError
from almondgap_core.platform import compute_object_name
from almondgap_core.steering import clientmap
from almondgap_core.steering.addresses import Family, parse_address
from almondgap_core.steering.clientmap_builder import build_client_map
from almondgap_core.steering.clientmap_codec import (
    decode_delta,
    decode_map,
    encode_delta,
    encode_map,
)
from almondgap_core.steering.clientmap_delta import apply_delta, compute_delta

PARENT = "a" * 64
PLACES = ("port", "hill", "lake")


def find_naively(rows, address: str):
    """Return the place of the longest prefix that holds an address."""
    number = ipaddress.ip_address(address)
    best = None
    for prefix, place in rows:
        network = ipaddress.ip_network(prefix)
        if network.version == number.version and number in network:
            if best is None or network.prefixlen > best[0]:
                best = (network.prefixlen, place)
    return None if best is None else best[1]


def build(rows):
    """Return the map of rows of prefix and place."""
    lines = ["prefix,place", *(f"{prefix},{place}" for prefix, place in rows)]
    return build_client_map(lines, "blocks.csv")


@st.composite
def draw_rows(draw):
    """Return rows with many overlaps, each prefix once."""
    rows = {}
    for _ in range(draw(st.integers(0, 24))):
        place = draw(st.sampled_from(PLACES))
        if draw(st.booleans()):
            length = draw(st.integers(0, 8)) * 4
            # Few address bits vary, so that blocks hold and touch each other.
            value = draw(st.integers(0, 15)) << 28 | draw(st.integers(0, 15)) << 16
            network = ipaddress.ip_network((value, length), strict=False)
        else:
            length = draw(st.sampled_from((0, 3, 16, 48, 64, 66, 127, 128)))
            value = draw(st.integers(0, 3)) << 126 | draw(st.integers(0, 7)) << 62
            value |= draw(st.integers(0, 3))
            network = ipaddress.ip_network((value, length), strict=False)
            if network.version == 4:
                continue
        rows[str(network)] = place
    return list(rows.items())


def list_probes(rows) -> list[str]:
    """Return addresses at and beside every bound."""
    probes = {"0.0.0.0", "255.255.255.255", "::", "ff" * 2 + "::1"}
    for prefix, _ in rows:
        network = ipaddress.ip_network(prefix)
        first, last = int(network[0]), int(network[-1])
        kind = type(network[0])
        for value in (first - 1, first, last, last + 1):
            if 0 <= value < 1 << network.max_prefixlen:
                probes.add(str(kind(value)))
    mapped = {p for p in probes if ":" in p and ipaddress.ip_address(p).ipv4_mapped}
    return sorted(probes - mapped)


class ClientMapTests(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(draw_rows())
    def test_longest_prefix_wins(self, rows):
        with mock.patch.object(clientmap, "CHUNK_RANGES", 3):
            found = build(rows)
        for address in list_probes(rows):
            expected = find_naively(rows, address)
            self.assertEqual(found.find_site(address), expected, address)

    @settings(derandomize=True, deadline=None)
    @given(draw_rows(), draw_rows())
    def test_delta_equals_rebuild(self, before, after):
        with mock.patch.object(clientmap, "CHUNK_RANGES", 3):
            old, new = build(before), build(after)
        delta = compute_delta(old, new, PARENT)
        applied = apply_delta(old, decode_delta(encode_delta(delta)))
        for family in Family:
            self.assertEqual(
                self.name_ranges(applied, family), self.name_ranges(new, family)
            )
        for address in list_probes(before + after):
            expected = find_naively(after, address)
            self.assertEqual(applied.find_site(address), expected, address)
            self.assertEqual(old.find_site(address), find_naively(before, address))

    def name_ranges(self, found, family):
        ranges = found.get_table(family).list_ranges()
        return [(r.start, r.end, found.sites[r.site]) for r in ranges]

    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(draw_rows())
    def test_body_reads_back(self, rows):
        found = build(rows)
        body = encode_map(found)
        again = decode_map(compute_object_name(body), body)
        self.assertEqual(encode_map(again), body)

    def test_address_forms(self):
        self.assertEqual(parse_address("::ffff:1.2.3.4"), parse_address("1.2.3.4"))
        for text in (
            "1.2.3",
            "1.2.3.256",
            "1.2.3.-4",
            "",
            "1.2.3.4.5",
            "g::",
            "٣.1.1.1",
        ):
            with self.assertRaises(ValueError):
                parse_address(text)


class AddressTests(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(
        st.one_of(
            st.ip_addresses().map(str),
            st.ip_addresses(v=6).map(lambda address: address.exploded.upper()),
            st.text("0123456789abcdefx:. ٣_+", max_size=24),
            st.lists(st.text("0123456789abf", max_size=5), max_size=9).map(":".join),
        )
    )
    def test_parsing_agrees_with_the_library(self, text):
        try:
            expected = ipaddress.ip_address(text)
        except ValueError:
            with self.assertRaises(ValueError):
                parse_address(text)
            return
        number = int(expected)
        if expected.version == 6 and expected.ipv4_mapped:
            number = int(expected.ipv4_mapped)
        self.assertEqual(parse_address(text)[1], number)


class FaultTests(TestCase):
    def test_errors_name_the_row(self):
        lines = ["prefix,place", "10.0.0.0/8,port", "10.0.0.1/8,port", "10.0.0.0/33,x"]
        lines += ["10.0.0.0/8,hill", "1.0.0.0/8", ",port"]
        with self.assertRaises(ConfigurationError) as caught:
            build_client_map(lines, "blocks.csv")
        text = str(caught.exception)
        for row in (3, 4, 5, 6, 7):
            self.assertIn(f"blocks.csv: row {row}: ", text)

    def test_unknown_place_is_refused(self):
        with self.assertRaises(ConfigurationError) as caught:
            build_client_map(["prefix,place", "::/0,prot"], "b", known_sites=PLACES)
        self.assertIn("b: row 2: 'prot'", str(caught.exception))

    def test_changed_byte_is_found(self):
        body = encode_map(build([("10.0.0.0/8", "port")]))
        name = compute_object_name(body)
        for at in range(len(body)):
            broken = body[:at] + bytes([body[at] ^ 1]) + body[at + 1 :]
            with self.assertRaises(ConfigurationError):
                decode_map(name, broken)

    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 200), st.binary(max_size=8))
    def test_broken_bodies_raise_the_typed_error(self, cut, patch):
        old = build([("10.0.0.0/8", "port")])
        new = build([("10.0.0.0/9", "hill"), ("2001::/16", "port")])
        for body, decode in (
            (encode_map(new), lambda b: decode_map(compute_object_name(b), b)),
            (encode_delta(compute_delta(old, new, PARENT)), decode_delta),
        ):
            broken = body[:cut] + patch + body[cut + len(patch) :]
            try:
                decode(broken)
            except ConfigurationError:
                continue
