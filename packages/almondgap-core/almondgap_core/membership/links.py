"""Links: pairs of hosts over which failure domains report to each other.

Links follow from the sorted lists of hosts. Their number stays small for large fleets,
and every host gets a report from each other failure domain in every turn.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from almondgap_core.events import HostEntry

#: Links from a host to each other failure domain. One of them is used per heartbeat,
#: in turn.
LINKS_PER_DOMAIN = 2


def group_hosts(listed: Mapping[str, HostEntry]) -> dict[str, list[str]]:
    """Return the sorted names of the hosts of each failure domain."""
    groups: dict[str, list[str]] = {}
    for name in sorted(listed):
        groups.setdefault(listed[name].failure_domain, []).append(name)
    return groups


def pick_counterparts(host: str, own: list[str], other: list[str], turn: int):
    """Return the hosts of another failure domain that ``host`` reports to.

    Hosts are paired by position in the sorted lists, shifted by the turn. Every host of
    the other failure domain gets a report from at least one host of this one, whichever
    is larger.

    :param own: sorted hosts of this failure domain, including ``host``.
    :param other: sorted hosts of the other failure domain, at least one.
    :param turn: number of the link, from 0 to ``LINKS_PER_DOMAIN`` - 1.
    """
    position = own.index(host)
    if len(own) >= len(other):
        return [other[(position + turn) % len(other)]]
    count = len(other)
    return [other[(at + turn) % count] for at in range(position, count, len(own))]


def list_links(
    host: str, failure_domain: str, listed: Mapping[str, HostEntry], turn: int
) -> Iterable[str]:
    """Yield the hosts of other failure domains to report to in this turn."""
    groups = group_hosts(listed)
    own = groups.get(failure_domain, [])
    if host not in own:
        own = sorted([*own, host])
    for domain, hosts in groups.items():
        if domain != failure_domain:
            yield from pick_counterparts(host, own, hosts, turn)
