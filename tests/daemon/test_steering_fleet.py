"""A client map, built from a CSV file, steers the look-ups of host processes."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from unittest import TestCase

from almondgap_testkit.fleet import Fleet

HOSTS = ("akl-a-1", "wlg-a-1", "chc-a-1")
SERVICE = "climb-slots"
ADDRESS = "10.1.2.3"
PLACES = {"capital": 12, "harbour": 0}


class SteeringFleetTests(TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.fleet = Fleet.from_example("trust", self.folder / "fleet", HOSTS)
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        self.text = self.fleet.inventory_file.read_text()

    def build(self, name: str, rows: list[str]) -> tuple[Path, str]:
        """Build and store a map, and return its file and object name."""
        source = self.folder / f"{name}.csv"
        source.write_text("\n".join(["prefix,place", *rows]))
        path = self.folder / f"{name}.map"
        place = ("--platform", self.fleet.platform)
        command = ("map", "build", str(source), "--output", str(path), *place)
        return path, self.fleet.run_cli(*command).stdout.strip()

    def apply(self, body: str, *deltas: str) -> None:
        sites = {n: {"position_ms": {"east": east}} for n, east in PLACES.items()}
        sections = {
            "sites": sites,
            "client_map": {"body": body, "deltas": list(deltas)},
            "steering": {"trust_client_parameter": True},
        }
        added = json.dumps(sections)[1:-1] + ","
        path = self.folder / "changed.json"
        path.write_text(self.text.replace("{", "{" + added, 1))
        place = ("--platform", self.fleet.platform, "--output", "json")
        done = self.fleet.run_cli("apply", str(path), *place)
        version = json.loads(done.stdout)["version"]
        for host in HOSTS:
            url = f"http://{self.fleet.operators(host)}/v1/status"
            self.fleet.wait_until(
                lambda url=url: self.fleet.get(url)["version"] >= version,
                f"version {version} at {host}",
            )

    def name_first(self, host: str, address: str = ADDRESS) -> str:
        """Return the first host in a look-up at ``host``."""
        query = f"service={SERVICE}&client={address}"
        url = f"http://{self.fleet.callers(host)}/v1/lookup?{query}"
        return self.fleet.get(url)["hosts"][0]["host"]

    def wait_for(self, expected: str, address: str = ADDRESS) -> None:
        for host in HOSTS:
            self.fleet.wait_until(
                lambda host=host: self.name_first(host, address) == expected,
                f"{expected} named by {host}",
            )

    def test_map_and_delta_reach_the_lookups(self):
        old, body = self.build("old", ["10.0.0.0/8,capital", "11.0.0.0/8,harbour"])
        self.apply(body)
        self.wait_for("wlg-a-1")
        self.wait_for("akl-a-1", "11.0.0.1")
        new, _ = self.build("new", ["10.0.0.0/8,harbour", "11.0.0.0/8,harbour"])
        place = ("--platform", self.fleet.platform)
        done = self.fleet.run_cli("map", "diff", str(old), str(new), *place)
        self.apply(body, done.stdout.strip())
        self.wait_for("akl-a-1")
        self.apply("0" * 64)
        for host in HOSTS:
            self.assertEqual(self.name_first(host), "akl-a-1")
        operators = self.fleet.operators("akl-a-1")
        lines = self.fleet.run_cli("headroom", operators).stdout.splitlines()
        self.assertEqual(
            [line.split(":")[0] for line in lines],
            sorted(("auckland", "wellington", "christchurch")),
        )
