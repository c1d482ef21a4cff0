"""The programs of a soak, and the faults done to them."""

from __future__ import annotations

import copy
import random
import re
import signal
import threading
import time
from typing import Any

from attrs import Factory, define
from twisted.internet.interfaces import IReactorTCP

from almondgap_testkit.gateways.builders import KEY
from almondgap_testkit.gateways.site import (
    CALLERS_PORT,
    CONFIGURATION,
    STORE_PORT,
    WORKERS_PORT,
    Site,
)
from almondgap_testkit.soak.callers import Attempt, Caller
from almondgap_testkit.soak.links import Link
from almondgap_testkit.soak.plan import Fault

TARGET_LINK_PORT, STORE_LINK_PORT = 7_300, 7_400
DOMAINS = ("a1", "a2", "b1")

#: Keys of the account that is always served, of the one whose key is withdrawn, and of
#: the one with a small limit.
SURE_KEY, FICKLE_KEY, SMALL_KEY = KEY, "key-of-two", "key-of-three"

#: Requests per second of the small account, and when its limit is lowered.
SMALL_RATE, LOWERED_RATE, SMALL_BURST = 10, 5, 10

#: Request that crashes targets: its path, the name of its caller, and the pause between
#: two of them, in seconds.
DEADLY_PATH, DEADLY_CALLER, DEADLY_PAUSE_S = "/reads/deadly", "death", 0.3

_REQUEST_ID = re.compile(rb"(?i)x-almondgap-request-attempt-id: *(\S+)")

#: When and at which target something happened to each request.
Runs = dict[str, list[tuple[float, int]]]

#: Delay of a slow link or store, in seconds.
DELAY_S = 0.4

#: Time between two resets of a link's connections, in seconds.
RESET_PAUSE_S = 0.5

#: Time within which a host must end after it was asked to, in seconds: the grace that
#: its settings give, and time to see it.
STOP_S = 4.0


@define
class Stage:
    """Store, targets, links and hosts.

    :ivar done: faults as they were done, with the times of beginning and end.
    :ivar breaches: what was seen to be wrong while faults were done.
    :ivar deadly: requests of death as their callers saw them.
    """

    reactor: IReactorTCP
    site: Site
    targets: list[Link]
    stores: list[Link]
    start: float = 0.0
    done: list[Fault] = Factory(list)
    breaches: list[str] = Factory(list)
    deadly: list[Attempt] = Factory(list)
    configuration: dict[str, Any] = Factory(lambda: copy.deepcopy(CONFIGURATION))
    _lock: threading.RLock = Factory(threading.RLock)
    _written: dict[str, dict[str, Any]] = Factory(dict)
    _withdrawn: set[int] = Factory(set)
    _version: int = 1

    @classmethod
    def build(cls, reactor: IReactorTCP, hosts: int, targets: int) -> Stage:
        """Start everything, and wait until it is ready; not in the loop's thread."""
        site = Site.start(
            workers=targets,
            work_s=0.05,
            failure_domains=",".join(DOMAINS),
            announced_port=TARGET_LINK_PORT,
        )
        try:
            return cls._build(reactor, site, hosts, targets)
        except BaseException:
            site.close()
            raise

    @classmethod
    def _build(
        cls, reactor: IReactorTCP, site: Site, hosts: int, targets: int
    ) -> Stage:
        near = f"{site.net}.0.1"

        def lead(port: int, server: int) -> Link:
            link = Link(reactor, (near, port), (near, server))
            link.deadly = DEADLY_PATH.encode() if port < STORE_LINK_PORT else b""
            reactor.callFromThread(link.open)
            return link

        target_links = [
            lead(TARGET_LINK_PORT + number, WORKERS_PORT + number)
            for number in range(targets)
        ]
        store_links = [
            lead(STORE_LINK_PORT + number, STORE_PORT) for number in range(hosts)
        ]
        stage = cls(reactor, site, target_links, store_links)
        accounts = stage.configuration["tenants"]
        accounts["two"] = {"api_keys": [FICKLE_KEY], "rate_per_s": 500, "burst": 500}
        small = {"rate_per_s": SMALL_RATE, "burst": SMALL_BURST}
        accounts["three"] = {"api_keys": [SMALL_KEY], **small}
        stage.write_configuration()
        for number in range(hosts):
            stage.launch(number)
        for number in range(hosts):
            site.wait_until(lambda number=number: site.is_ready(f"h{number + 1}"))
        return stage

    def launch(self, host: int) -> None:
        """Start a host without waiting for it."""
        store = f"{self.site.net}.0.1:{STORE_LINK_PORT + host}"
        domain = DOMAINS[host % len(DOMAINS)]
        self.site.launch_host(f"h{host + 1}", domain, store=store)

    def write_configuration(self) -> None:
        """Write the configuration as an operator, with the next version."""
        with self._lock:
            self._version += 1
            self.configuration["version"] = f"{self._version:08d}"
            value = copy.deepcopy(self.configuration)
            self._write({"table": "op", "key": "config", "value": value})

    def commit(self, fault: Fault) -> None:
        """Do a fault from its beginning to its end."""
        time.sleep(max(0.0, self.start + fault.at - time.monotonic()))
        began = time.monotonic() - self.start
        act = getattr(self, "_" + fault.kind.replace(" ", "_"))
        act(fault.place, fault.length)
        ended = time.monotonic() - self.start
        self.done.append(Fault(began, ended - began, fault.kind, fault.place))

    def read_runs(self) -> Runs:
        """Return when and at which target each request ran; times from the start."""
        return self._read_log("log")

    def list_crashes(self) -> list[tuple[float, str]]:
        """Return when requests of death reached targets, with their ids."""
        crashes = [
            (at - self.start, match[1].decode())
            for link in self.targets
            for at, head in link.crashes
            if (match := _REQUEST_ID.search(head)) is not None
        ]
        return sorted(crashes)

    def _read_log(self, name: str) -> Runs:
        entries: Runs = {}
        for number in range(len(self.targets)):
            for at, request_id in self.site.list_runs(number)[name]:
                entries.setdefault(request_id, []).append((at - self.start, number))
        return entries

    def find_domain(self, target: int) -> str:
        """Return the failure domain of a target."""
        return DOMAINS[target % len(DOMAINS)]

    def _freeze(self, host: int, length: float) -> None:
        process = self.site.processes[f"h{host + 1}"]
        process.send_signal(signal.SIGSTOP)
        time.sleep(length)
        process.send_signal(signal.SIGCONT)

    def _kill(self, host: int, length: float) -> None:
        process = self.site.processes.pop(f"h{host + 1}")
        process.kill()
        process.wait()
        time.sleep(length)
        self.launch(host)

    def _stop(self, host: int, length: float) -> None:
        process = self.site.processes.pop(f"h{host + 1}")
        process.terminate()
        began = time.monotonic()
        try:
            code = process.wait(STOP_S)
        except Exception as exc:
            self.breaches.append(f"h{host + 1} asked to stop: {exc}")
            process.kill()
            code = process.wait()
        if code:
            self.breaches.append(f"h{host + 1} asked to stop: ended with {code}")
        time.sleep(max(0.0, length - (time.monotonic() - began)))
        self.launch(host)

    def _cut_from_store(self, host: int, length: float) -> None:
        faults = {"drops_requests": True, "drops_answers": True, "refuses": True}
        self._change(self.stores[host], length, **faults)

    def _store_answers_lost(self, host: int, length: float) -> None:
        self._change(self.stores[host], length, drops_answers=True)

    def _delay(self, target: int, length: float) -> None:
        self._change(self.targets[target], length, delay_s=DELAY_S)

    def _silence(self, target: int, length: float) -> None:
        self._change(self.targets[target], length, drops_requests=True)

    def _answers_lost(self, target: int, length: float) -> None:
        self._change(self.targets[target], length, drops_answers=True)

    def _refuse(self, target: int, length: float) -> None:
        self._change(self.targets[target], length, refuses=True)

    def _reset(self, target: int, length: float) -> None:
        end = time.monotonic() + length
        while time.monotonic() < end:
            self.reactor.callFromThread(self.targets[target].reset)
            time.sleep(RESET_PAUSE_S)

    def _change(self, link: Link, length: float, **faults) -> None:
        self.reactor.callFromThread(link.change, **faults)
        time.sleep(length)
        self.reactor.callFromThread(link.heal)

    def _shedding(self, target: int, length: float) -> None:
        self._misbehave(target, length, "shedding")

    def _failing(self, target: int, length: float) -> None:
        self._misbehave(target, length, "failing")

    def _cutting(self, target: int, length: float) -> None:
        self._misbehave(target, length, "cutting")

    def _unsealed(self, target: int, length: float) -> None:
        self._misbehave(target, length, "unsealed")

    def _limited(self, target: int, length: float) -> None:
        self._misbehave(target, length, "limited")

    def _leaving(self, target: int, length: float) -> None:
        self._misbehave(target, length, "leaving")
        with self._lock:
            if target not in self._withdrawn:
                self._announce(target)

    def _pausing(self, target: int, length: float) -> None:
        self._misbehave(target, length, "pausing")

    def _request_of_death(self, _: int, length: float) -> None:
        """Send a request that crashes targets to all hosts in turn."""
        site, hosts = self.site, range(len(self.stores))
        addresses = [site.address(f"h{n + 1}", CALLERS_PORT) for n in hosts]
        chance = random.Random(len(self.done))
        caller = Caller(
            DEADLY_CALLER, addresses, SURE_KEY, self.start, chance, path=DEADLY_PATH
        )
        end = time.monotonic() + length
        while time.monotonic() < end:
            caller.send()
            caller.close()
            time.sleep(DEADLY_PAUSE_S)
        self.deadly += caller.attempts

    def read_rejections(self) -> Runs:
        """Return when and which targets in a pause turned each request away."""
        return self._read_log("rejected")

    def _misbehave(self, target: int, length: float, mode: str) -> None:
        self.site.set_mode(target, mode)
        time.sleep(length)
        self.site.set_mode(target, "well")

    def _store_down(self, _: int, length: float) -> None:
        self._disturb_store(length, down=True)

    def _store_silent(self, _: int, length: float) -> None:
        self._disturb_store(length, silent=True)

    def _store_slow(self, _: int, length: float) -> None:
        self._disturb_store(length, delay_ms=int(DELAY_S * 1000))

    def _store_forgets(self, _: int, length: float) -> None:
        self.site.post(f"http://{self.site.store}/control/forget", None)

    def _store_restored(self, _: int, length: float) -> None:
        """Restore the store from a copy; what was written since is written again."""
        with self._lock:
            self._written.clear()
            self.site.post(f"http://{self.site.store}/control/save", None)
        time.sleep(length)
        with self._lock:
            rows = list(self._written.values())
            self.site.post(f"http://{self.site.store}/control/restore", rows)

    def _write(self, row: dict[str, Any]) -> None:
        """Write a row as an operator or a target."""
        with self._lock:
            self.site.write(row)
            self._written[f"{row['table']}/{row['key']}"] = row

    def _disturb_store(self, length: float, **faults) -> None:
        url = f"http://{self.site.store}/control/faults"
        self.site.post(url, faults)
        time.sleep(length)
        self.site.post(url, {})

    def _evacuate(self, target: int, length: float) -> None:
        key = f"evacuate/{self.find_domain(target)}"
        self._write({"table": "op", "key": key, "value": {}})
        time.sleep(length)
        self._write({"table": "op", "key": key, "value": None})

    def _withdraw_target(self, target: int, length: float) -> None:
        with self._lock:
            self._withdrawn.add(target)
            row = self.site.list_runs(target)["row"]
            self._write({**row, "value": None})
        time.sleep(length)
        with self._lock:
            self._withdrawn.remove(target)
            self._announce(target)

    def _announce(self, target: int) -> None:
        """Write the row of a target's present run."""
        self._write(self.site.list_runs(target)["row"])

    def _withdraw_key(self, _: int, length: float) -> None:
        self._configure(length, "two", "api_keys", ["another"])

    def _lower_rate(self, _: int, length: float) -> None:
        self._configure(length, "three", "rate_per_s", LOWERED_RATE)

    def _configure(self, length: float, account: str, field: str, value) -> None:
        fields = self.configuration["tenants"][account]
        before = fields[field]
        fields[field] = value
        self.write_configuration()
        time.sleep(length)
        fields[field] = before
        self.write_configuration()
