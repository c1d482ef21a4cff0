"""Runs scenarios and tells which expectations hold."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from attrs import define, frozen

from almondgap_core.units import MICROS_PER_SECOND, millis
from almondgap_testkit.fakes.network import PLATFORM
from almondgap_testkit.fakes.world import World
from almondgap_testkit.scenarios.acts import Acts, draw_faults
from almondgap_testkit.scenarios.checks import CHECKS, Failure, Observations
from almondgap_testkit.scenarios.deployments import Deployment
from almondgap_testkit.scenarios.parsing import ScenarioError
from almondgap_testkit.scenarios.statements import Act, Expectation, Scenario
from almondgap_testkit.scenarios.traffic import TrafficSource

#: Time between two looks at the versions in force, in microseconds.
SAMPLE_US = millis(100)

#: Events of a host that are shown with a failure.
SHOWN_EVENTS = 5


@frozen
class Result:
    """One expectation and whether it held."""

    expectation: Expectation
    failure: Failure | None


@define
class Run:
    """One run of a scenario.

    :ivar results: one for each expectation, in order.
    """

    scenario: Scenario
    world: World
    results: list[Result]

    @property
    def passed(self) -> bool:
        """Whether every expectation held."""
        return not any(result.failure for result in self.results)

    def summarize(self) -> str:
        """Return one line that depends on nothing but file and seed."""
        statuses: dict[int, int] = {}
        for answer in self.world.answers.values():
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
        counts = " ".join(f"{status}:{n}" for status, n in sorted(statuses.items()))
        delay = sum(a.answered for a in self.world.answers.values())
        return f"{counts} attempts:{len(self.world.attempted)} sum:{delay}"

    def describe_failures(self) -> Iterator[str]:
        """Yield lines that name line, time, host and the last events."""
        for result in self.results:
            if result.failure is None:
                continue
            failure = result.failure
            place = f"{self.scenario.source}: line {result.expectation.line}"
            when = f"at {failure.at / MICROS_PER_SECOND:.3f} s"
            where = f" on {failure.host}" if failure.host else ""
            yield f"{place}: {when}{where}: {failure.text}"
            yield from self._list_events(failure)

    def write_logs(self, folder: Path) -> list[Path]:
        """Write the event log of each host and return the files."""
        folder.mkdir(parents=True, exist_ok=True)
        paths = []
        for name, host in self.world.hosts.items():
            if host.log is None:
                continue
            path = folder / f"{name}.jsonl"
            path.write_text("\n".join(host.log.to_lines()) + "\n")
            paths.append(path)
        return paths

    def _list_events(self, failure: Failure) -> Iterator[str]:
        host = self.world.hosts.get(failure.host)
        if host is None or host.log is None:
            return
        until = failure.at + host.offset
        before = [
            event
            for event in host.log.events
            if event.now <= until and type(event).__name__ != "Tick"
        ]
        for event in before[-SHOWN_EVENTS:]:
            at = (event.now - host.offset) / MICROS_PER_SECOND
            yield f"    {at:.3f} s {str(event)[:160]}"


def run_scenario(
    scenario: Scenario, seed: int | None = None, keep_events: bool = False
) -> Run:
    """Run a scenario to its end and check what it expects.

    :param seed: takes the place of the scenario's own.
    :raises ScenarioError: it names something that the deployment does not have.
    """
    seed = scenario.seed if seed is None else seed
    try:
        deployment = Deployment.from_example(scenario.deployment)
    except FileNotFoundError as exc:
        raise ScenarioError(f"{scenario.source}: {exc}") from exc
    text = deployment.to_text()
    world = World(text, deployment.hosts, seed, keep_events)
    _check_names(scenario, world)
    acts = Acts(world, deployment)
    seen = Observations(world, acts)
    seen.note_limits()
    _queue_acts(scenario, seen, seed)
    for traffic in scenario.traffic:
        source = TrafficSource.from_statement(world, traffic, scenario.length, seed)
        source.begin()
    while world.clock.now < scenario.length:
        world.run(min(SAMPLE_US, scenario.length - world.clock.now))
        seen.note()
    results = [
        Result(expect, CHECKS[expect.name](seen, *expect.args))
        for expect in scenario.expectations
    ]
    return Run(scenario, world, results)


def _queue_acts(scenario: Scenario, seen: Observations, seed: int) -> None:
    acts = list(scenario.acts)
    for faults in scenario.random_faults:
        acts.extend(draw_faults(faults, seen.world, seed))
    for act in acts:
        seen.world.clock.call_at(act.at, lambda act=act: _perform(seen, act))


def _perform(seen: Observations, act: Act) -> None:
    seen.acts.perform(act)
    seen.note_limits()


def _check_names(scenario: Scenario, world: World) -> None:
    inventory = world.inventory
    places = {*world.hosts, *inventory.failure_domains, PLATFORM}
    for traffic in scenario.traffic:
        _check_name(scenario, traffic.line, traffic.account, inventory.accounts)
        _check_name(scenario, traffic.line, traffic.service, inventory.services)
        for place in traffic.places:
            _check_name(scenario, traffic.line, place, places)
    known = {*places, *inventory.accounts, *inventory.targets, *inventory.regions}
    behaviours = {"sheds", "breaks", "vanishes", "fails", "recovers"}
    for statement in (*scenario.acts, *scenario.expectations):
        for arg in statement.args:
            if isinstance(arg, str) and arg not in behaviours:
                _check_name(scenario, statement.line, arg, known)


def _check_name(scenario: Scenario, line: int, name: str, known) -> None:
    if name not in known:
        message = f"{scenario.deployment} has no {name!r}"
        raise ScenarioError(f"{scenario.source}: line {line}: {message}")
