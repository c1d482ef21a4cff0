"""The inventory: places, services, targets and client accounts, as typed classes."""

from __future__ import annotations

import re
from collections.abc import Mapping

from attrs import frozen

from almondgap_core.settings.reader import Reader, Report
from almondgap_core.settings.topology import (
    DEFAULT_ANSWER_BYTES,
    Position,
    Topology,
    read_position,
)
from almondgap_core.units import MILLIS_PER_UNIT, millis, seconds

DEFAULT_DEADLINE_MS = 2_000
DEFAULT_LOOKUP_TTL_S = 5
DEFAULT_PARTITIONS = 4
MAX_PARTITIONS = 64
#: What names of services and client accounts may look like.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")

MAX_DEADLINE_MS = 600_000
DEFAULT_TRUST_S = 30
DEFAULT_OUTAGE_TRUST_S = 3_600


@frozen
class FailureDomain:
    """A part of a region that can be cut off on its own."""

    name: str
    region: str


@frozen
class Region:
    """A place that takes traffic.

    :ivar capacity: requests per second that the region can take, in thousandths.
    :ivar position: east and north, in milliseconds of one-way delay.
    :ivar draining: whether traffic has to leave the region, within the shift cap.
    """

    name: str
    failure_domains: tuple[str, ...]
    capacity: int
    position: Position
    draining: bool


@frozen
class Target:
    """A back end that serves requests of one service.

    :ivar slots: requests that the target runs at once.
    :ivar connections: connections that the target accepts.
    :ivar draining: whether the target leaves and takes no new work.
    """

    name: str
    service: str
    failure_domain: str
    address: str
    port: int
    slots: int
    connections: int
    draining: bool


@frozen
class Service:
    """What callers ask for.

    :ivar open: whether requests without a key are served.
    :ivar deadline: longest time from arrival to answer, in microseconds.
    :ivar shed_is_not_run: whether status 503 of a target proves that nothing ran.
    :ivar answer_bytes: usual size of a request and its answer, for the links.
    """

    name: str
    open: bool
    deadline: int
    shed_is_not_run: bool
    targets: tuple[str, ...]
    answer_bytes: int


@frozen
class KeyEntry:
    """A key that is valid: its identifier, account and stored digest."""

    key_id: str
    account: str
    digest: str


@frozen
class KeyTrust:
    """For how long hosts without the store go by their list of keys.

    :ivar bound: age of evidence up to which the list counts, in microseconds.
    :ivar outage_bound: the same while the store is down for every host.
    :ivar silent_domains: failure domains that may be silent when hosts judge whether
        the store is down for all.
    """

    bound: int
    outage_bound: int
    silent_domains: int

    @classmethod
    def from_reader(cls, reader: Reader) -> KeyTrust:
        """Return the rules in an object of the inventory."""
        bound = reader.integer("bound_s", DEFAULT_TRUST_S, low=10)
        outage = reader.integer("outage_bound_s", DEFAULT_OUTAGE_TRUST_S, low=10)
        silent = reader.integer("silent_domains", 0)
        if outage < bound:
            expected = f"at least bound_s, which is {bound}"
            reader.fail(reader.join("outage_bound_s"), outage, expected)
        reader.finish()
        return cls(seconds(bound), seconds(outage), silent)


@frozen
class Account:
    """A client account.

    :ivar rate: requests per second over the fleet, in thousandths.
    :ivar burst: requests that may come at once.
    :ivar weight: share of scarce slots relative to other accounts.
    :ivar services: services that the account may use; empty means all.
    """

    name: str
    rate: int
    burst: int
    weight: int
    services: tuple[str, ...]


@frozen
class Inventory:
    """All that operators declare; one version of it is in force at a time.

    :ivar lookup_ttl: seconds for which callers may keep a look-up's answer.
    :ivar partitions_per_domain: pieces in which a failure domain's shares are held.
    """

    regions: Mapping[str, Region]
    failure_domains: Mapping[str, FailureDomain]
    services: Mapping[str, Service]
    targets: Mapping[str, Target]
    accounts: Mapping[str, Account]
    keys: Mapping[str, KeyEntry]
    lookup_ttl: int
    partitions_per_domain: int
    topology: Topology
    key_trust: KeyTrust

    @classmethod
    def from_document(cls, document: object, report: Report) -> Inventory:
        """Return the inventory in a parsed document; faults go to ``report``."""
        top = Reader(document, "", report)
        regions = {name: _read_region(name, r) for name, r in top.sections("regions")}
        domains = _index_domains(top, regions)
        services: dict[str, Service] = {}
        targets: dict[str, Target] = {}
        for name, reader in top.sections("services"):
            services[name] = _read_service(name, reader, domains, targets)
        accounts: dict[str, Account] = {}
        keys: dict[str, KeyEntry] = {}
        for name, reader in top.sections("accounts", required=False):
            accounts[name] = _read_account(name, reader, services, keys)
        ttl = top.integer("lookup_ttl_s", DEFAULT_LOOKUP_TTL_S, low=1, high=300)
        partitions = top.integer(
            "partitions_per_domain", DEFAULT_PARTITIONS, low=1, high=MAX_PARTITIONS
        )
        topology = Topology.from_reader(top, regions, ttl)
        trust = KeyTrust.from_reader(top.section("key_trust"))
        top.finish()
        _warn_about(top, services, accounts)
        return cls(
            regions,
            domains,
            services,
            targets,
            accounts,
            keys,
            ttl,
            partitions,
            topology,
            trust,
        )


def _read_region(name: str, reader: Reader) -> Region:
    domains = reader.texts("failure_domains")
    capacity = reader.number("capacity_per_s", low=0.001)
    position = read_position(reader)
    draining = reader.boolean("draining", False)
    if not domains:
        reader.fail(
            reader.join("failure_domains"), "an empty list", "at least one name"
        )
    reader.finish()
    return Region(name, domains, round(capacity * MILLIS_PER_UNIT), position, draining)


def _index_domains(top: Reader, regions: Mapping[str, Region]):
    domains: dict[str, FailureDomain] = {}
    for region in regions.values():
        for name in region.failure_domains:
            if name in domains:
                path = f"regions.{region.name}.failure_domains"
                taken = f"a name not used by region {domains[name].region}"
                top.fail(path, name, taken)
                continue
            domains[name] = FailureDomain(name, region.name)
    return domains


def _read_service(name, reader, domains, targets) -> Service:
    _check_name(name, reader)
    deadline = reader.integer(
        "deadline_ms", DEFAULT_DEADLINE_MS, low=1, high=MAX_DEADLINE_MS
    )
    is_open = reader.boolean("open", False)
    shed = reader.boolean("shed_is_not_run", False)
    answer_bytes = reader.integer("answer_bytes", DEFAULT_ANSWER_BYTES, low=1)
    names = []
    for entry in reader.items("targets", required=True):
        target = _read_target(name, entry, domains)
        if target.name in targets:
            other = targets[target.name].service
            entry.fail(entry.join("name"), target.name, f"a name not used in {other}")
            continue
        targets[target.name] = target
        names.append(target.name)
    reader.finish()
    return Service(name, is_open, millis(deadline), shed, tuple(names), answer_bytes)


def _read_target(service: str, reader: Reader, domains) -> Target:
    target = Target(
        name=reader.text("name"),
        service=service,
        failure_domain=reader.text("failure_domain"),
        address=reader.address("address"),
        port=reader.port("port"),
        slots=reader.integer("slots", low=1),
        connections=reader.integer("connections", low=1),
        draining=reader.boolean("draining", False),
    )
    if target.failure_domain and target.failure_domain not in domains:
        path = reader.join("failure_domain")
        reader.fail(path, target.failure_domain, "a failure domain of a region")
    reader.finish()
    return target


def _read_account(name, reader, services, keys) -> Account:
    _check_name(name, reader)
    account = Account(
        name=name,
        rate=round(reader.number("rate_per_s", low=0.001) * MILLIS_PER_UNIT),
        burst=reader.integer("burst", low=1),
        weight=reader.integer("weight", 1, low=1),
        services=reader.texts("services", ()),
    )
    for service in account.services:
        if service not in services:
            reader.fail(reader.join("services"), service, "the name of a service")
    for entry in reader.items("keys"):
        key_id = entry.text("id")
        digest = _read_digest(entry)
        if key_id in keys:
            other = keys[key_id].account
            entry.fail(entry.join("id"), key_id, f"an id not used by account {other}")
        keys[key_id] = KeyEntry(key_id, name, digest)
        entry.finish()
    reader.finish()
    return account


def _read_digest(entry: Reader) -> str:
    digest = entry.text("digest")
    if digest and not DIGEST_PATTERN.fullmatch(digest):
        entry.fail(entry.join("digest"), "other text", "64 hexadecimal digits")
    return digest


def _check_name(name: str, reader: Reader) -> None:
    """Report a name that cannot stand in a path or a header."""
    if not NAME_PATTERN.fullmatch(name):
        expected = "a name of letters, digits, '.', '_' and '-'"
        reader.fail(reader.path, name, expected)


def _warn_about(top: Reader, services, accounts) -> None:
    for service in services.values():
        if not service.targets:
            top.warn(f"services.{service.name}", "has no targets")
    for account in accounts.values():
        if account.services and not any(services.get(n) for n in account.services):
            top.warn(f"accounts.{account.name}", "may use no service that exists")
