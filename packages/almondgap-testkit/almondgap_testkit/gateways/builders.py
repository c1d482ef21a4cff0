"""Builders of test data for gateways, and a harness for a single one."""

from __future__ import annotations

from typing import Any

from attrs import define, field

from almondgap_core.gateway.configuration import (
    Account,
    Backend,
    Configuration,
    Route,
    Service,
)
from almondgap_core.gateway.effects import GatewayEffect, Log
from almondgap_core.gateway.events import (
    CallArrived,
    ConfigurationRead,
    GatewayEvent,
    TargetsRead,
)
from almondgap_core.gateway.heartbeats import HostLocation
from almondgap_core.gateway.reducer import step
from almondgap_core.gateway.state import GatewayState
from almondgap_core.gateway.target import Announcement
from almondgap_core.units import millis, seconds

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
HOST_NAME = "shop.example"
KEY = "key-of-one"
START = seconds(100)


def build_route(**changes: Any) -> Route:
    """Return a route of service ``shop``."""
    fields: dict[str, Any] = {
        "name": "reads",
        "host": HOST_NAME,
        "prefix": "/reads/",
        "idempotent": True,
        "timeout": seconds(1),
        "goal": millis(400),
        "priority": 1,
        "backends": (Backend("shop"),),
        "max_attempts": 2,
        "sticky": True,
    }
    return Route(**{**fields, **changes})


def build_configuration(version: int = 1, **changes: Any) -> Configuration:
    """Return a configuration with a route for reads and one for orders."""
    orders = build_route(name="orders", prefix="/orders/", idempotent=False)
    fields: dict[str, Any] = {
        "routes": (build_route(), orders),
        "services": {
            "shop": Service("shop", "/health", 100, seconds(3), 5.0),
            "cellar": Service("cellar", "/health", 100, seconds(3), 5.0),
        },
        "accounts": {"one": Account("one", frozenset({KEY}), None, 1_000.0, 1_000.0)},
    }
    return Configuration(version, **{**fields, **changes})


def announce(name: str, **changes: Any) -> Announcement:
    """Return an announcement of a target of ``shop``."""
    fields: dict[str, Any] = {
        "target": name,
        "incarnation": 1_000,
        "sequence": 1,
        "service": "shop",
        "address": f"10.9.0.{abs(hash(name)) % 250 + 1}:80",
        "failure_domain": "a1",
        "slots": 2,
    }
    return Announcement(**{**fields, **changes})


def build_location(
    host: str = "h1", failure_domain: str = "a1", address: str = ""
) -> HostLocation:
    """Return the location of a host.

    :param address: IPv4 address, by default the name of the host in its place.
    """
    address = address or host
    region = REGIONS[failure_domain]
    ports = f"{address}:80", f"{address}:90"
    return HostLocation(host, failure_domain, region, *ports)


@define
class GatewayHarness:
    """Feeds events to the reducer of one gateway and collects its effects.

    :ivar now: time of the next event, in microseconds.
    :ivar number: number of the latest request.
    :ivar effects: effects of the last step.
    """

    state: GatewayState
    now: int = START
    number: int = 0
    effects: list[GatewayEffect] = field(factory=list)

    @classmethod
    def build(
        cls,
        targets: tuple[Announcement, ...] = (),
        configuration: Configuration | None = None,
        location: HostLocation | None = None,
        **changes: Any,
    ) -> GatewayHarness:
        """Return a harness whose gateway has a configuration and targets."""
        state = GatewayState(location or build_location(), 1, REGIONS, **changes)
        harness = cls(state)
        harness.feed(ConfigurationRead, configuration or build_configuration())
        harness.feed(TargetsRead, targets)
        return harness

    def feed(self, kind: type[GatewayEvent], *args, **fields) -> list[GatewayEffect]:
        """Feed an event at the current time; return its effects without log lines."""
        self.effects = step(self.state, kind(self.now, *args, **fields))
        return [effect for effect in self.effects if not isinstance(effect, Log)]

    def call(self, path: str = "/reads/1", **changes: Any) -> list[GatewayEffect]:
        """Feed the arrival of a request; ``number`` is its number afterwards."""
        self.number += 1
        fields: dict[str, Any] = {
            "call": self.number,
            "request_id": f"r{self.number}",
            "method": "GET",
            "host": HOST_NAME,
            "path": path,
            "key": KEY,
            "affinity_key": "7",
            "caller_timeout": seconds(3),
        }
        return self.feed(CallArrived, **{**fields, **changes})

    def find(self, kind: type) -> list:
        """Return the effects of one type from the last step."""
        return [effect for effect in self.effects if isinstance(effect, kind)]

    def list_reports(self) -> list:
        """Return the reports of the last step."""
        return [effect.report for effect in self.find(Log)]
