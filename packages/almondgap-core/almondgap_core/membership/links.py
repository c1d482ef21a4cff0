"""Links: which hosts of other failure domains a host reports to."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from almondgap_core.events import HostEntry

#: Links from a host to each other failure domain; they take turns.
LINKS_PER_DOMAIN = 2


def group_hosts(listed: Mapping[str, HostEntry]) -> dict[str, list[str]]:
    """Return the sorted names of the hosts of each failure domain."""
    groups: dict[str, list[str]] = {}
    for name in sorted(listed):
        groups.setdefault(listed[name].failure_domain, []).append(name)
    return groups


def pick_counterparts(host: str, own: list[str], other: list[str], turn: int):
    """Return the hosts of another failure domain that ``host`` reports to.

    Hosts are paired by their places in the sorted lists, shifted by the turn, so that
    every host of the other failure domain is reported to by at least one of this one,
    whichever is larger.

    :param own: sorted hosts of this failure domain, ``host`` among them.
    :param other: sorted hosts of the other failure domain, at least one.
    :param turn: number of the link, from 0 to ``LINKS_PER_DOMAIN`` - 1.
    """
    place = own.index(host)
    if len(own) >= len(other):
        return [other[(place + turn) % len(other)]]
    count = len(other)
    return [other[(at + turn) % count] for at in range(place, count, len(own))]


def list_links(
    host: str, failure_domain: str, listed: Mapping[str, HostEntry], turn: int
) -> Iterable[str]:
    """Yield the hosts of other failure domains that get a report in this turn."""
    groups = group_hosts(listed)
    own = groups.get(failure_domain, [])
    if host not in own:
        own = sorted([*own, host])
    for domain, hosts in groups.items():
        if domain != failure_domain:
            yield from pick_counterparts(host, own, hosts, turn)
