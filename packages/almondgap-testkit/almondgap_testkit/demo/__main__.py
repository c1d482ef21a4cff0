"""Runs the demo: ``make demo``. Exits with 1 if a promise was broken."""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from pathlib import Path

from twisted.internet import reactor
from twisted.internet.defer import gatherResults
from twisted.internet.threads import deferToThread

from almondgap_core.settings.inventory import Inventory
from almondgap_core.settings.rollout import load_inventory
from almondgap_testkit.demo.callers import Account, Callers
from almondgap_testkit.demo.judging import Held, judge_accounts, judge_promises
from almondgap_testkit.demo.records import RunRecord
from almondgap_testkit.demo.report import print_accounts, print_promises
from almondgap_testkit.demo.script import Script, say
from almondgap_testkit.fleet import Fleet
from almondgap_testkit.standins.behaviour import Run

EXAMPLE = "trust"
SEED = 20
TRAFFIC_S = 24.0

#: Share of its rate that a client account sends at.
LOAD = 0.5

#: Share of its rate that the one account sends at that does not keep to it.
GREEDY_LOAD = 3.0
GREEDY_ACCOUNT = "gate-kiosks"

#: Share of requests that are payments.
POSTS = 0.2


def main() -> None:
    """Run the fleet, the traffic and the steps, then judge."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=SEED)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet.from_example(EXAMPLE, Path(folder))
        try:
            sys.exit(_run(fleet, args.seed))
        finally:
            fleet.close()


def _run(fleet: Fleet, seed: int) -> int:
    say(f"start {len(fleet.host_names)} hosts, a platform and the targets")
    fleet.start()
    text = fleet.inventory_file.read_text()
    inventory = load_inventory(text, str(fleet.inventory_file))
    accounts = tuple(_make_account(inventory, name) for name in inventory.accounts)
    doors = tuple(fleet.callers(name) for name in fleet.host_names)
    callers = Callers(doors, seed)
    record = RunRecord(samples=callers.samples)
    total = sum(account.rate_per_s for account in accounts)
    say(f"send {total:.0f} requests a second for {TRAFFIC_S:g} s, seed {seed}")
    began = time.monotonic()
    _drive(callers, accounts, Script(fleet, record))
    say(f"traffic over after {time.monotonic() - began:.1f} s")
    _collect(fleet, record)
    print_accounts(judge_accounts(inventory, record))
    judgements = judge_promises(inventory, record)
    print_promises(judgements)
    return 1 if any(j.held is Held.BROKEN for j in judgements) else 0


def _make_account(inventory: Inventory, name: str) -> Account:
    word = name.replace("-", "")
    load = GREEDY_LOAD if name == GREEDY_ACCOUNT else LOAD
    rate = inventory.accounts[name].rate / 1_000 * load
    return Account(name, f"agk_{word}_example-secret-of-{name}", rate, POSTS)


def _drive(callers: Callers, accounts: tuple[Account, ...], script: Script) -> None:
    failures = []

    def start() -> None:
        traffic = callers.run(accounts, TRAFFIC_S)
        both = gatherResults([traffic, deferToThread(script.run)], consumeErrors=True)
        both.addErrback(failures.append)
        both.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    for failure in failures:
        failure.raiseException()


def _collect(fleet: Fleet, record: RunRecord) -> None:
    control = f"http://{fleet.target_control}"
    record.runs = [Run(**entry) for entry in fleet.get(f"{control}/runs")["runs"]]
    record.errors = fleet.list_errors()
    records = fleet.get(f"{control}/records")
    record.keys_seen = sum(entry["keys_seen"] for entry in records.values())


if __name__ == "__main__":
    main()
