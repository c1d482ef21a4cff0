"""Dividing the limits of client accounts by what hosts tell of their demand."""

from __future__ import annotations

from almondgap_core.gateway.allotments import Allotment
from almondgap_core.gateway.beats import Beat
from almondgap_core.gateway.configuration import Account
from almondgap_core.gateway.reports import LimitChanged
from almondgap_core.gateway.state import GatewayState, Peer
from almondgap_core.units import seconds

#: Time after which the part of a silent host is free again: longer than hosts are
#: usually cut off.
FORGOTTEN_US = seconds(15)

#: Change of a share that is worth a line in the log.
NOTABLE = 0.25

#: Hosts in each failure domain that are reckoned with before the store listed them.
UNKNOWN_HOSTS = 3


def count_others(state: GatewayState) -> int:
    """Return the number of other hosts that limits are shared with."""
    others = sum(not peer.lost for peer in state.peers.values())
    if not state.hosts_listed:
        others = max(others, UNKNOWN_HOSTS * len(state.regions) - 1)
    return others


def find_allotment(state: GatewayState, account: str) -> Allotment:
    """Return the allotment of an account."""
    allotment = state.allotments.get(account)
    if allotment is None:
        allotment = state.allotments[account] = Allotment(updated=state.serving_since)
        allotment.elsewhere = sum(
            peer.beat.asked.get(account, 0.0)
            for peer in state.peers.values()
            if peer.beat is not None and not peer.lost
        )
    return allotment


def refill(state: GatewayState, account: Account, now: int) -> Allotment:
    """Return the allotment of an account with the tokens that it has now."""
    allotment = find_allotment(state, account.name)
    rate, burst = account.rate, account.burst
    spare = state.bounds.tolerance.compute_spare(rate, burst)
    allotment.refill(rate, burst, spare, count_others(state), now)
    return allotment


def note_told(state: GatewayState, peer: Peer, beat: Beat) -> None:
    """Take over what a host tells of its demand, before its beat is kept."""
    before = peer.beat.asked if peer.beat is not None else {}
    if peer.lost:
        _free_parts(state, peer)
    for account in {*before, *beat.asked}:
        allotment = state.allotments.get(account)
        if allotment is not None:
            allotment.note_told(before.get(account, 0.0), beat.asked.get(account, 0.0))


def hold_parts(state: GatewayState, peer: Peer) -> None:
    """Set aside what a host may go on using that has just fallen silent."""
    others = count_others(state)
    for account, allotment in state.allotments.items():
        told = peer.beat.asked.get(account, 0.0)
        rate = _find_rate(state, account)
        allotment.hold(peer.place.host, told, rate, others)


def handle_silence(state: GatewayState, now: int) -> None:
    """Free the parts of hosts that have ended, or were silent for long."""
    for peer in state.peers.values():
        if peer.lost and (peer.stopped or now - peer.heard > FORGOTTEN_US):
            for allotment in state.allotments.values():
                allotment.held.pop(peer.place.host, None)


def report_shares(state: GatewayState) -> None:
    """Report shares that changed much."""
    others = count_others(state)
    for account, allotment in state.allotments.items():
        rate = _find_rate(state, account)
        share = allotment.find_share(rate, others)
        if rate and abs(share - allotment.reported) >= NOTABLE:
            allotment.reported = share
            told, elsewhere = round(allotment.told, 2), round(allotment.elsewhere, 2)
            state.report(LimitChanged(account, round(share, 3), rate, told, elsewhere))


def _free_parts(state: GatewayState, peer: Peer) -> None:
    for account, allotment in state.allotments.items():
        host = peer.place.host
        told = peer.beat.asked.get(account, 0.0)
        if host in allotment.held:
            allotment.free(host, told)
        else:
            allotment.elsewhere += told


def _find_rate(state: GatewayState, account: str) -> float:
    accounts = state.configuration.accounts if state.configuration else {}
    return accounts[account].rate if account in accounts else 0.0
