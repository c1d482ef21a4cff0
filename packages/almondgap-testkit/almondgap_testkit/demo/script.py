"""The operators' part of the demo: changes, a drain, a crash and a planned stop."""

from __future__ import annotations

import json
import threading
import time

from attrs import Factory, define

from almondgap_core.settings.parsing import parse_document
from almondgap_testkit.demo.records import RunRecord, Sighting
from almondgap_testkit.fleet import Fleet

POLL_S = 0.2
IN_FORCE_LIMIT_S = 20.0

#: Seconds of traffic at which each step begins.
CHANGE_AT_S = 3.0
DRAIN_AT_S = 6.0
WITHDRAW_AT_S = 9.0
KILL_AT_S = 13.0
STOP_AT_S = 19.0

DRAINED_SERVICE = "climb-slots"
WITHDRAWN_ACCOUNT = "hill-chapel"
KILLED_HOST = "wlg-a-2"
STOPPED_HOST = "chc-a-2"


@define
class Script:
    """Runs the operators' steps in a thread of its own, as operators would."""

    fleet: Fleet
    record: RunRecord
    alive: set[str] = Factory(set)
    over: threading.Event = Factory(threading.Event)

    def run(self) -> None:
        """Do all steps at their times; blocks until the last is done."""
        began = time.monotonic()
        self.alive = set(self.fleet.host_names)
        watch = threading.Thread(target=self._watch, daemon=True)
        watch.start()
        for at, act in (
            (CHANGE_AT_S, self._change),
            (DRAIN_AT_S, self._drain),
            (WITHDRAW_AT_S, self._withdraw),
            (KILL_AT_S, self._kill),
            (STOP_AT_S, self._stop),
        ):
            time.sleep(max(began + at - time.monotonic(), 0))
            act()
        self.over.set()
        watch.join()

    def _change(self) -> None:
        say("apply a change: a greater burst for school-visits")
        document = self._read()
        document["accounts"]["school-visits"]["burst"] += 5
        self._apply(document)

    def _drain(self) -> None:
        name = self._find_busiest()
        say(f"drain target {name}")
        document = self._read()
        for target in document["services"][DRAINED_SERVICE]["targets"]:
            if target["name"] == name:
                target["draining"] = True
        self.record.drained_target = name
        self.record.drained_at = self._apply(document)

    def _find_busiest(self) -> str:
        records = self.fleet.get(f"http://{self.fleet.target_control}/records")
        names = [name for name in records if name.startswith(DRAINED_SERVICE)]
        return max(names, key=lambda name: records[name]["started"])

    def _withdraw(self) -> None:
        say(f"withdraw the key of {WITHDRAWN_ACCOUNT}")
        document = self._read()
        document["accounts"][WITHDRAWN_ACCOUNT]["keys"] = []
        self.record.withdrawn_account = WITHDRAWN_ACCOUNT
        self.record.withdrawn_at = self._apply(document)

    def _kill(self) -> None:
        say(f"kill host {KILLED_HOST}")
        self.alive.discard(KILLED_HOST)
        self.record.killed_host = KILLED_HOST
        self.fleet.kill(KILLED_HOST)

    def _stop(self) -> None:
        say(f"stop host {STOPPED_HOST} as planned, by SIGTERM")
        self.alive.discard(STOPPED_HOST)
        self.record.stopped_host = STOPPED_HOST
        self.record.stop_code = self.fleet.stop(STOPPED_HOST)

    def _read(self) -> dict:
        path = self.fleet.inventory_file
        return parse_document(path.read_text(), str(path))

    def _apply(self, document: dict) -> float:
        """Apply a document and wait; return when it was accepted."""
        self.fleet.inventory_file.write_text(json.dumps(document))
        done = self.fleet.run_cli(
            "apply",
            str(self.fleet.inventory_file),
            "--platform",
            self.fleet.platform,
            "--output",
            "json",
        )
        accepted = time.monotonic()
        version = json.loads(done.stdout)["version"]
        self._wait_in_force(version, accepted)
        return accepted

    def _wait_in_force(self, version: int, accepted: float) -> None:
        while time.monotonic() < accepted + IN_FORCE_LIMIT_S:
            seen = [self._read_version(name) for name in sorted(self.alive)]
            if all(found is not None and found >= version for found in seen):
                self.record.in_force_s.append(time.monotonic() - accepted)
                return
            time.sleep(POLL_S)
        self.record.in_force_s.append(float("inf"))

    def _watch(self) -> None:
        while not self.over.wait(POLL_S):
            for name in sorted(self.alive):
                self._read_version(name)

    def _read_version(self, name: str) -> int | None:
        try:
            status = self.fleet.get(f"http://{self.fleet.operators(name)}/v1/status")
        except OSError:
            return None
        sighting = Sighting(name, status["incarnation"], status["version"])
        self.record.sightings.append(sighting)
        return sighting.version


def say(text: str) -> None:
    """Tell the person who watches what happens."""
    print(f"demo: {text}", flush=True)
