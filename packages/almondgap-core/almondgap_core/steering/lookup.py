"""Look-ups: which entry hosts a caller should use for a service."""

from __future__ import annotations

import json
from collections.abc import Callable
from zlib import crc32

from attrs import Factory, asdict, define

from almondgap_core.events import HostEntry, Tick
from almondgap_core.exceptions import LookupRefused
from almondgap_core.keys.authorization import OPEN_ACCOUNT, authorize
from almondgap_core.keys.credential import Credential
from almondgap_core.limits.division import rank
from almondgap_core.membership.failure_detection import (
    REMOTE_SILENCE_TIMEOUT_US,
    is_alive,
)
from almondgap_core.operations.prefixes import issue_prefixes
from almondgap_core.settings.inventory import Account
from almondgap_core.state import HostState
from almondgap_core.steering.answer import (
    EntryHost,
    LookupAnswer,
    LookupCount,
    PreparedLookup,
)
from almondgap_core.steering.distances import (
    find_origin,
    list_serving_regions,
    rank_regions,
)
from almondgap_core.steering.plan import REFUSED, SHARE_UNIT, FlowKey
from almondgap_core.steering.refusal import RefusalBook
from almondgap_core.units import MICROS_PER_SECOND, millis

#: Most entry hosts that an answer names.
MAX_ENTRY_HOSTS = 8

#: Time between two looks at what the answers were prepared from.
REFRESH_US = millis(250)

#: Silence after which a host of another failure domain counts as never heard.
FORGET_US = 60 * MICROS_PER_SECOND


def look_up(
    state: HostState, service: str, now: int, address: str | None = None
) -> LookupAnswer:
    """Return the entry hosts for ``service``.

    :param address: the caller's IP number as text, or None if it is not known.
    """
    return _find_prepared(state, service, address, now).answer


def look_up_body(
    state: HostState,
    service: str,
    address: str,
    now: int,
    read_credential: Callable[[], Credential | None] = lambda: None,
) -> bytes:
    """Return the JSON body of a look-up's answer, and count the look-up.

    :param read_credential: gives the caller's credential; called only if some callers
        have to be refused, which is then divided fairly over client accounts.
    :raises LookupRefused: the plan refuses this one, as not run.
    """
    prepared = _find_prepared(state, service, address, now)
    prepared.count.asked += 1
    if prepared.refused_share:
        account = _find_account(state, service, read_credential())
        weights = {name: a.weight for name, a in state.inventory.accounts.items()}
        share = prepared.refused_share
        if prepared.refusals.is_refused(account, share, weights, now):
            raise LookupRefused
    return prepared.body


def handle_tick(state: HostState, event: Tick) -> None:
    """Forget prepared answers when what they were made from has changed."""
    steering = state.steering
    if state.inventory is None or event.now < steering.next_refresh:
        return
    steering.next_refresh = event.now + REFRESH_US
    plan = steering.plan
    stamp = (
        state.settings.version,
        None if plan is None else plan.decided_at,
        tuple(sorted(entry.name for entry in _list_available(state, event.now))),
        tuple(state.members.listed.values()),
        issue_prefixes(state, event.now),
    )
    if stamp != steering.prepared_from:
        steering.prepared_from = stamp
        steering.prepared.clear()


def _find_prepared(
    state: HostState, service: str, address: str | None, now: int
) -> PreparedLookup:
    steering = state.steering
    site = None
    if steering.client_map is not None and address is not None:
        try:
            site = steering.client_map.find_site(address)
        except ValueError:
            site = None
    prepared = steering.prepared.get((service, site))
    if prepared is None:
        prepared = _prepare(state, service, site, now)
        steering.prepared[service, site] = prepared
    return prepared


def _find_account(state: HostState, service: str, credential: Credential | None) -> str:
    inventory = state.inventory
    found = authorize(inventory, inventory.services[service], credential)
    return found.name if isinstance(found, Account) else OPEN_ACCOUNT


def _prepare(
    state: HostState, service: str, site: str | None, now: int
) -> PreparedLookup:
    inventory = state.inventory
    origin = find_origin(inventory, site, state.failure_domain)
    plan = state.steering.plan
    shares = {} if plan is None else dict(plan.find_shares(service, origin))
    refused = shares.pop(REFUSED, 0)
    hosts = _Chooser(state, service, origin, now).choose(shares, str(site))
    answer = LookupAnswer(
        service,
        state.settings.version,
        hosts,
        inventory.lookup_ttl,
        _choose_prefix(state, f"{service}/{site}", now),
    )
    body = json.dumps(asdict(answer)).encode() + b"\n"
    key = FlowKey(service, origin)
    count = state.steering.counts.setdefault(key, LookupCount())
    refusals = state.steering.refusals.setdefault(key, RefusalBook())
    return PreparedLookup(answer, body, count, refused, refusals)


def _choose_prefix(state: HostState, seed: str, now: int) -> str:
    """Return what operation keys start with, empty if nobody would answer for them."""
    prefixes = issue_prefixes(state, now)
    if not prefixes:
        return ""
    return prefixes[crc32(seed.encode()) % len(prefixes)]


@define
class _Chooser:
    """Chooses entry hosts for one service and origin.

    :ivar regions: all regions, the nearest to the origin first.
    :ivar groups: hosts to be named, by region.
    """

    state: HostState
    service: str
    origin: str
    now: int
    regions: list[str] = Factory(list)
    groups: dict[str, list[HostEntry]] = Factory(dict)

    def choose(self, shares: dict[str, int], seed: str) -> tuple[EntryHost, ...]:
        """Return the entry hosts for the plan's shares, best first."""
        inventory = self.state.inventory
        position = inventory.regions[self.origin].position
        self.regions = rank_regions(inventory, position)
        available = _list_available(self.state, self.now)
        self.groups = self._group(available)
        wanted = {name: s for name, s in shares.items() if s and name in self.groups}
        if not wanted:
            wanted = self._choose_default()
        order = sorted(wanted, key=lambda n: (-wanted[n], self.regions.index(n)))
        entries = self._spread(order, wanted, seed)
        return tuple(entries[:MAX_ENTRY_HOSTS])

    def _group(self, entries: list[HostEntry]) -> dict[str, list[HostEntry]]:
        domains = self.state.inventory.failure_domains
        groups: dict[str, list[HostEntry]] = {}
        for entry in entries:
            if entry.failure_domain in domains:
                region = domains[entry.failure_domain].region
                groups.setdefault(region, []).append(entry)
        return groups

    def _choose_default(self) -> dict[str, int]:
        serving = list_serving_regions(self.state.inventory, self.service)
        named = [name for name in self.regions if name in self.groups]
        best = [name for name in named if name in serving] or named
        return {best[0]: SHARE_UNIT} if best else {}

    def _spread(self, order: list[str], wanted: dict[str, int], seed: str):
        """Return hosts of each region with its share, then spare ones with none."""
        per_region = max(MAX_ENTRY_HOSTS // max(len(order), 1), 1)
        first: list[EntryHost] = []
        spare: list[EntryHost] = []
        for name in order:
            by_name = {entry.name: entry for entry in self.groups[name]}
            ranked = rank(list(by_name), f"{self.service}/{seed}")
            used = ranked[: max(per_region // 2, 1)]
            weight = max(wanted[name] // len(used), 1)
            first += [_make_entry(by_name[host], weight) for host in used]
            rest = ranked[len(used) : per_region]
            spare += [_make_entry(by_name[host], 0) for host in rest]
        return first + spare


def _make_entry(entry: HostEntry, weight: int) -> EntryHost:
    return EntryHost(entry.name, entry.address, entry.caller_port, weight)


def _list_available(state: HostState, now: int) -> list[HostEntry]:
    """Return the hosts that may be named; those in doubt if there are no others."""
    listed = list(state.members.listed.values())
    staying = [entry for entry in listed if not entry.leaving]
    sound = [entry for entry in staying if _is_sound(state, entry, now)]
    return sound or staying or listed


def _is_sound(state: HostState, entry: HostEntry, now: int) -> bool:
    """Return whether a host serves, as far as is known.

    Most hosts of other failure domains are never heard one by one; they count as sound
    while their failure domain reports, unless they were heard and fell silent lately.
    """
    if entry.name == state.host:
        return not state.stopping
    peer = state.members.peers.get(entry.name)
    if peer is not None and is_alive(state, entry.name, now):
        return not peer.stopping
    if entry.failure_domain == state.failure_domain:
        return False
    if peer is not None and now - peer.heard < FORGET_US:
        return False
    summary = state.members.summaries.get(entry.failure_domain)
    return summary is not None and now - summary.heard <= REMOTE_SILENCE_TIMEOUT_US


EVENT_HANDLERS = {Tick: handle_tick}
