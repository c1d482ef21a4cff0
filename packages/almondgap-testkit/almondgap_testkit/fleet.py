"""A fleet of real processes on loopback addresses, made from an example."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

from attrs import Factory, define

from almondgap_core.settings.parsing import parse_document

ROOT = Path(__file__).resolve().parents[3]
EXAMPLES = ROOT / "examples"

#: Addresses in the examples start with this.
EXAMPLE_NET = "127.10."

#: Second octets that fleets of tests and demos may use.
FIRST_NET = 135
LAST_NET = 250

#: Where the socket listens that guards a net.
GUARD_PLACE = "255.254"
GUARD_PORT = 6_999

#: What a line of level error in a host's log holds.
ERROR_MARK = '"level": "error"'

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0
POLL_S = 0.05


@define
class Fleet:
    """Processes of one deployment.

    :ivar net: start of every address, so that fleets do not meet.
    :ivar guard: listening socket that keeps the net from other fleets.
    :ivar folder: where the rewritten files and the logs are.
    """

    net: str
    folder: Path
    host_names: tuple[str, ...]
    guard: socket.socket
    settings: dict[str, dict] = Factory(dict)
    processes: dict[str, subprocess.Popen] = Factory(dict)

    @classmethod
    def from_example(
        cls, example: str, folder: Path, hosts: tuple[str, ...] | None = None
    ) -> Fleet:
        """Return a fleet that is not started.

        :param example: name of a folder of ``examples``.
        :param hosts: names of the hosts to run, or None for all.
        """
        net, guard = _claim_net()
        source = EXAMPLES / example
        files = sorted((source / "hosts").glob("*.json"))
        names = tuple(f.stem for f in files if hosts is None or f.stem in hosts)
        fleet = cls(net, folder, names, guard)
        folder.mkdir(parents=True, exist_ok=True)
        text = (source / "inventory.json").read_text()
        fleet.inventory_file.write_text(text.replace(EXAMPLE_NET, net))
        for name in names:
            text = (source / "hosts" / f"{name}.json").read_text()
            text = text.replace(EXAMPLE_NET, net)
            fleet.settings[name] = parse_document(text, name)
            (folder / f"{name}.json").write_text(text)
        return fleet

    @property
    def inventory_file(self) -> Path:
        """The inventory with this fleet's addresses."""
        return self.folder / "inventory.json"

    @property
    def platform(self) -> str:
        """Address and port of the platform."""
        return f"{self.net}0.1:7000"

    @property
    def target_control(self) -> str:
        """Address and port of the targets' control listener."""
        return f"{self.net}0.2:7001"

    def start(self) -> None:
        """Start everything, apply the inventory and wait until all hosts serve."""
        self.start_platform()
        self.start_targets()
        self.publish_hosts(self.host_names)
        inventory = str(self.inventory_file)
        self.run_cli("apply", inventory, "--platform", self.platform)
        for name in self.host_names:
            self.start_host(name)
        for name in self.host_names:
            self.wait_for_url(f"http://{self.operators(name)}/v1/ready")

    def start_platform(self) -> None:
        """Start the platform and wait until it answers."""
        self._start_standin("platform", self.platform)
        self.wait_for_url(f"http://{self.platform}/v1/hosts")

    def start_targets(self) -> None:
        """Start all targets of the inventory and wait until they answer."""
        self._start_standin("targets", self.target_control, str(self.inventory_file))
        self.wait_for_url(f"http://{self.target_control}/records")

    def _start_standin(self, name: str, place: str, *args: str) -> None:
        module = f"almondgap_testkit.standins.{name}"
        address, port = place.split(":")
        self._spawn(name, "-m", module, *args, "--address", address, "--port", port)

    def start_host(self, name: str) -> None:
        """Start one host."""
        self._spawn(name, "-m", "almondgap_daemon.main", f"{self.folder / name}.json")

    def publish_hosts(self, names: tuple[str, ...]) -> None:
        """Tell the platform which hosts its list has."""
        entries = [self._make_entry(name) for name in names]
        self.post(f"http://{self.platform}/control/hosts", entries)

    def callers(self, name: str) -> str:
        """Return the address and port where a host listens for callers."""
        return _join(self.settings[name]["callers"])

    def operators(self, name: str) -> str:
        """Return the address and port where a host listens for operators."""
        return _join(self.settings[name]["operators"])

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process, by its id."""
        os.kill(self.processes[name].pid, number)

    def kill(self, name: str) -> None:
        """End a process at once."""
        process = self.processes.pop(name)
        process.kill()
        process.wait(STOP_TIMEOUT_S)

    def stop(self, name: str) -> int:
        """Ask a process to stop and return its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def close(self) -> None:
        """End all processes."""
        for name in list(self.processes):
            self.kill(name)
        self.guard.close()

    def list_errors(self) -> list[str]:
        """Return the lines of level error in the hosts' logs."""
        lines: list[str] = []
        for name in self.host_names:
            text = (self.folder / f"{name}.log").read_text()
            lines += [line for line in text.splitlines() if ERROR_MARK in line]
        return lines

    def run_cli(self, *args: str, check: bool = True) -> subprocess.CompletedProcess:
        """Run the operators' command."""
        command = [sys.executable, "-m", "almondgap_cli.main", *args]
        return subprocess.run(command, check=check, capture_output=True, text=True)

    def get(self, url: str) -> Any:
        """Return the JSON answer of a URL."""
        with urllib.request.urlopen(url, timeout=5) as response:
            return json.load(response)

    def post(self, url: str, body: Any) -> Any:
        """Send JSON to a URL and return the JSON answer."""
        data = json.dumps(body).encode()
        request = urllib.request.Request(url, data, method="POST")
        with urllib.request.urlopen(request, timeout=5) as response:
            return json.load(response)

    def wait_for_url(self, url: str) -> None:
        """Wait until a URL answers with status 200.

        :raises TimeoutError: it does not within the start timeout.
        """

        def answers() -> bool:
            try:
                self.get(url)
            except (OSError, urllib.error.URLError):
                return False
            return True

        self.wait_until(answers, url)

    def wait_until(self, holds, what: str, timeout: float = START_TIMEOUT_S) -> None:
        """Wait until ``holds()`` is true.

        :raises TimeoutError: it is not within ``timeout`` seconds.
        """
        end = time.monotonic() + timeout
        while not holds():
            if time.monotonic() > end:
                raise TimeoutError(f"{what}: not within {timeout} s, see {self.folder}")
            time.sleep(POLL_S)

    def _spawn(self, name: str, *args: str) -> None:
        with open(self.folder / f"{name}.log", "ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *args], stdout=output, stderr=subprocess.STDOUT
            )

    def _make_entry(self, name: str) -> dict:
        cfg = self.settings[name]
        return {
            "name": name,
            "failure_domain": cfg["failure_domain"],
            "address": cfg["callers"]["address"],
            "caller_port": cfg["callers"]["port"],
            "peer_port": cfg["peers"]["port"],
        }


def _claim_net() -> tuple[str, socket.socket]:
    """Return a net that no other fleet on this machine uses, and what guards it."""
    span = LAST_NET - FIRST_NET
    for offset in range(span):
        net = f"127.{FIRST_NET + (os.getpid() * 7 + offset) % span}."
        guard = socket.socket()
        try:
            guard.bind((f"{net}{GUARD_PLACE}", GUARD_PORT))
        except OSError:
            guard.close()
            continue
        guard.listen()
        return net, guard
    raise OSError("every net is in use by another fleet")


def _join(listener: dict) -> str:
    return f"{listener['address']}:{listener['port']}"
