"""Statements of the scenario language, as typed classes."""

from __future__ import annotations

from attrs import Factory, define, frozen


@frozen
class Traffic:
    """Open-loop requests of one client account.

    :ivar rate: requests per second.
    :ivar places: hosts or failure domains where the requests arrive.
    :ivar start: beginning and ``end`` the end, in microseconds; 0 means the run's end.
    :ivar burst: requests that arrive together.
    :ivar moving: time after which the traffic moves to the next place, 0 for all places
        at once, in microseconds.
    """

    line: int
    account: str
    service: str
    rate: float
    places: tuple[str, ...]
    start: int = 0
    end: int = 0
    method: str = "GET"
    burst: int = 1
    moving: int = 0


@frozen
class Act:
    """Something that happens at a time.

    :ivar at: microseconds since the run began.
    :ivar name: the act, by the name of its grammar rule.
    """

    line: int
    at: int
    name: str
    args: tuple[str | int | float, ...] = ()


@frozen
class RandomFaults:
    """Faults drawn from the seed."""

    line: int
    count: int
    start: int
    end: int


@frozen
class Expectation:
    """What has to hold when the run is over.

    :ivar name: the expectation, by the name of its grammar rule.
    """

    line: int
    name: str
    args: tuple[str | int | float, ...] = ()


@define
class Scenario:
    """One scenario file.

    :ivar deployment: name of the example.
    :ivar length: length of the run, in microseconds.
    """

    source: str
    deployment: str = ""
    seed: int = 1
    length: int = 0
    traffic: list[Traffic] = Factory(list)
    acts: list[Act] = Factory(list)
    random_faults: list[RandomFaults] = Factory(list)
    expectations: list[Expectation] = Factory(list)
