"""Example deployments for scenarios: inventory text and hosts."""

from __future__ import annotations

import json
from typing import Any

from attrs import define

from almondgap_core.settings.parsing import parse_document
from almondgap_testkit.fleet import EXAMPLES


@define
class Deployment:
    """An example that scenarios run on.

    :ivar document: its inventory, to be changed by operators' acts.
    :ivar hosts: failure domain of each host by name.
    """

    document: dict[str, Any]
    hosts: dict[str, str]

    @classmethod
    def from_example(cls, name: str) -> Deployment:
        """Return an example by the name of its folder.

        :raises FileNotFoundError: there is no such example.
        """
        folder = EXAMPLES / name
        text = (folder / "inventory.json").read_text()
        hosts = {}
        for path in sorted((folder / "hosts").glob("*.json")):
            cfg = parse_document(path.read_text(), path.name)
            hosts[cfg["host"]] = cfg["failure_domain"]
        return cls(parse_document(text, name), hosts)

    def to_text(self) -> str:
        """Return the inventory's text."""
        return json.dumps(self.document)
