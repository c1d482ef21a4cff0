"""Reading scenario files."""

from __future__ import annotations

from functools import lru_cache
from importlib import resources
from pathlib import Path

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedInput

from almondgap_core.exceptions import UserError
from almondgap_core.units import millis, seconds
from almondgap_testkit.scenarios.statements import (
    Act,
    Expectation,
    RandomFaults,
    Scenario,
    Traffic,
)


class ScenarioError(UserError):
    """A scenario cannot be read or names something that is not there."""


def read_scenario(path: Path) -> Scenario:
    """Return the scenario in a file.

    :raises ScenarioError: names line and column.
    """
    return parse_scenario(path.read_text(), path.name)


def parse_scenario(text: str, source: str) -> Scenario:
    """Return the scenario in a text.

    :raises ScenarioError: names line and column.
    """
    try:
        tree = _load_parser().parse(text)
    except UnexpectedInput as exc:
        place = f"{source}: line {exc.line}, column {exc.column}"
        context = exc.get_context(text).rstrip()
        raise ScenarioError(f"{place}: not understood:\n{context}") from exc
    scenario = Scenario(source)
    for node in tree.children:
        _READERS[node.data](scenario, node)
    if not scenario.deployment or not scenario.length:
        raise ScenarioError(
            f"{source}: line 1, column 1: deployment and run are needed"
        )
    return scenario


@lru_cache(maxsize=1)
def _load_parser() -> Lark:
    grammar = resources.files(__package__).joinpath("grammar.lark").read_text()
    return Lark(grammar, parser="earley", lexer="dynamic", propagate_positions=True)


def _read_deployment(scenario: Scenario, node: Tree) -> None:
    scenario.deployment = str(node.children[0])


def _read_seed(scenario: Scenario, node: Tree) -> None:
    scenario.seed = int(node.children[0])


def _read_length(scenario: Scenario, node: Tree) -> None:
    scenario.length = _read_value(node.children[0])


def _read_traffic(scenario: Scenario, node: Tree) -> None:
    account, service, rate, places, span, *options = node.children
    start, end = (_read_value(t) for t in span.children) if span else (0, 0)
    fields = {}
    for option in options:
        name = option.data.removeprefix("with_")
        value = _read_value(option.children[0])
        fields["burst" if name == "bursts" else name] = value
    traffic = Traffic(
        node.meta.line,
        str(account),
        str(service),
        float(rate.children[0]),
        tuple(str(place) for place in places.children),
        start,
        end,
        **fields,
    )
    scenario.traffic.append(traffic)


def _read_timed(scenario: Scenario, node: Tree) -> None:
    at, act = node.children
    args = _read_args(act)
    scenario.acts.append(Act(node.meta.line, _read_value(at), act.data, args))


def _read_random(scenario: Scenario, node: Tree) -> None:
    count, start, end = (_read_value(token) for token in node.children)
    scenario.random_faults.append(RandomFaults(node.meta.line, count, start, end))


def _read_expect(scenario: Scenario, node: Tree) -> None:
    (expectation,) = node.children
    args = _read_args(expectation)
    scenario.expectations.append(Expectation(node.meta.line, expectation.data, args))


def _read_args(node: Tree) -> tuple[str | int | float, ...]:
    args = []
    for child in node.children:
        if isinstance(child, Tree):
            args.append(float(child.children[0]))
        elif child.type not in ("AT_LEAST", "AT_MOST"):
            args.append(_read_value(child))
    return tuple(args)


def _read_value(token: Token) -> str | int | float:
    """Return a duration in microseconds, a percentage as a share, or the text."""
    if token.type == "DURATION":
        if token.endswith("ms"):
            return millis(float(token[:-2]))
        return seconds(float(token[:-1]))
    if token.type == "PERCENT":
        return float(token[:-1]) / 100
    if token.type == "INT":
        return int(token)
    return str(token)


_READERS = {
    "deployment": _read_deployment,
    "seed": _read_seed,
    "length": _read_length,
    "traffic": _read_traffic,
    "timed": _read_timed,
    "random": _read_random,
    "expect": _read_expect,
}
