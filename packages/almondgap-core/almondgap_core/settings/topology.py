"""Topology of the inventory: sites of clients, links, the client map and its rules."""

from __future__ import annotations

import re
from collections.abc import Mapping

from attrs import frozen

from almondgap_core.settings.reader import Reader
from almondgap_core.units import MILLIS_PER_UNIT, millis, seconds

Position = tuple[float, float]

DEFAULT_LINK_MBIT_PER_S = 4_000
DEFAULT_ANSWER_BYTES = 20_000
DEFAULT_HEADROOM_PERCENT = 20
DEFAULT_BAND_PERCENT = 10
DEFAULT_SHIFT_CAP_PERCENT = 10
DEFAULT_LOSS_CAP_PERCENT = 50
DEFAULT_INTERVAL_S = 15
DEFAULT_LOAD_AGE_S = 5
DEFAULT_GAIN_MS = 2
DEFAULT_REQUESTS_PER_LOOKUP = 1.0

#: A client map numbers its sites with 16 bits, and keeps one number for "none".
MAX_SITES = 65_535

OBJECT_NAME_PATTERN = re.compile(r"[0-9a-f]{64}")


@frozen
class Site:
    """A place of clients.

    :ivar position: east and north, in milliseconds of one-way delay.
    """

    name: str
    position: Position


@frozen
class Link:
    """A link between two regions; traffic of all kinds shares it.

    :ivar regions: names of the two regions, in alphabetical order.
    :ivar capacity: bits per second in each direction.
    """

    regions: tuple[str, str]
    capacity: int


@frozen
class ClientMapRef:
    """Which client map is in force.

    :ivar body: object name of the whole map, empty if there is none.
    :ivar deltas: object names of the changes to it, in order.
    """

    body: str = ""
    deltas: tuple[str, ...] = ()


@frozen
class SteeringRules:
    """Rules of the region plan.

    :ivar headroom_percent: part of each limit that no shift may fill.
    :ivar band_percent: further room that a return to a nearer region needs.
    :ivar shift_cap_percent: most of a region's capacity that shifts may add to it in
        an interval, over all hosts.
    :ivar loss_cap_percent: the same while a region is lost.
    :ivar interval: time between two decisions of a host, in microseconds.
    :ivar load_age: age above which a load summary is old, in microseconds.
    :ivar gain: least gain in one-way delay for a shift by choice, in microseconds.
    :ivar requests_per_lookup: requests that follow one look-up, in thousandths.
    :ivar trust_client_parameter: whether a look-up may name the caller's address.
    :ivar default_site: site of callers whose block is unknown, empty if none.
    """

    headroom_percent: int = DEFAULT_HEADROOM_PERCENT
    band_percent: int = DEFAULT_BAND_PERCENT
    shift_cap_percent: int = DEFAULT_SHIFT_CAP_PERCENT
    loss_cap_percent: int = DEFAULT_LOSS_CAP_PERCENT
    interval: int = seconds(DEFAULT_INTERVAL_S)
    load_age: int = seconds(DEFAULT_LOAD_AGE_S)
    gain: int = millis(DEFAULT_GAIN_MS)
    requests_per_lookup: int = round(DEFAULT_REQUESTS_PER_LOOKUP * MILLIS_PER_UNIT)
    trust_client_parameter: bool = False
    default_site: str = ""


@frozen
class Topology:
    """Everything that the inventory says of steering."""

    sites: Mapping[str, Site]
    links: Mapping[tuple[str, str], Link]
    client_map: ClientMapRef
    rules: SteeringRules

    @classmethod
    def from_reader(cls, top: Reader, regions, lookup_ttl_s: int) -> Topology:
        """Return the places that the top object of an inventory names.

        :param regions: names of the regions.
        """
        sites = {name: _read_site(name, r) for name, r in top.sections("sites", False)}
        if len(sites) > MAX_SITES:
            found = f"{len(sites)} sites"
            top.fail(top.join("sites"), found, f"at most {MAX_SITES}")
        links: dict[tuple[str, str], Link] = {}
        for reader in top.items("links"):
            _read_link(reader, regions, links)
        client_map = _read_client_map(top.section("client_map"))
        rules = _read_rules(top.section("steering"), sites, lookup_ttl_s)
        return cls(sites, links, client_map, rules)


def read_position(reader: Reader) -> Position:
    """Return the position that the field ``position_ms`` holds; (0, 0) without one."""
    place = reader.section("position_ms")
    position = (place.number("east", 0, low=-1e6), place.number("north", 0, low=-1e6))
    place.finish()
    return position


def _read_site(name: str, reader: Reader) -> Site:
    site = Site(name, read_position(reader))
    reader.finish()
    return site


def _read_link(reader: Reader, regions, links: dict[tuple[str, str], Link]) -> None:
    pair = tuple(sorted(reader.texts("regions")))
    default = DEFAULT_LINK_MBIT_PER_S
    capacity = reader.integer("capacity_mbit_per_s", default, low=1)
    reader.finish()
    known = len(set(pair)) == 2 and all(name in regions for name in pair)
    if not known or pair in links:
        expected = "the names of two regions, each pair once"
        reader.fail(reader.join("regions"), list(pair), expected)
        return
    links[pair] = Link(pair, capacity * 1_000_000)


def _read_client_map(reader: Reader) -> ClientMapRef:
    ref = ClientMapRef(reader.text("body", ""), reader.texts("deltas", ()))
    for name in (ref.body, *ref.deltas):
        if (name or ref.deltas) and not OBJECT_NAME_PATTERN.fullmatch(name):
            expected = "the name of an object, as 'almondgap map build' prints it"
            reader.fail(reader.path, name or "no body", expected)
    reader.finish()
    return ref


def _read_rules(reader: Reader, sites, lookup_ttl_s: int) -> SteeringRules:
    percent = {"low": 1, "high": 100}
    rules = SteeringRules(
        headroom_percent=reader.integer(
            "headroom_percent", DEFAULT_HEADROOM_PERCENT, low=0, high=90
        ),
        band_percent=reader.integer("band_percent", DEFAULT_BAND_PERCENT, **percent),
        shift_cap_percent=reader.integer(
            "shift_cap_percent", DEFAULT_SHIFT_CAP_PERCENT, **percent
        ),
        loss_cap_percent=reader.integer(
            "loss_cap_percent", DEFAULT_LOSS_CAP_PERCENT, **percent
        ),
        interval=seconds(reader.number("interval_s", DEFAULT_INTERVAL_S, low=1)),
        load_age=seconds(reader.number("load_age_s", DEFAULT_LOAD_AGE_S, low=1)),
        gain=millis(reader.number("gain_ms", DEFAULT_GAIN_MS)),
        requests_per_lookup=round(
            reader.number("requests_per_lookup", DEFAULT_REQUESTS_PER_LOOKUP, low=0.001)
            * MILLIS_PER_UNIT
        ),
        trust_client_parameter=reader.boolean("trust_client_parameter", False),
        default_site=reader.text("default_site", ""),
    )
    if rules.default_site and rules.default_site not in sites:
        path = reader.join("default_site")
        reader.fail(path, rules.default_site, "the name of a site")
    if rules.interval <= seconds(lookup_ttl_s) + rules.load_age:
        expected = "more than lookup_ttl_s and load_age_s together"
        reader.fail(reader.join("interval_s"), rules.interval / 1e6, expected)
    reader.finish()
    return rules
