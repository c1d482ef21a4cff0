"""The full size, and what the measured slopes come to there."""

from __future__ import annotations

from attrs import frozen

from almondgap_testkit.bench.series import Series

DAEMONS = 400
FAILURE_DOMAINS = 23
BLOCKS = 2_300_000
LOOKUPS_PER_S = 380_000
CHANGES_PER_DAY = 290
SECONDS_PER_DAY = 86_400

#: Client accounts that the page assumes; the users' letter names no number.
ACCOUNTS = 400

#: Budget of control for one daemon.
CORE_BUDGET_US = 48_000
MEMORY_BUDGET_BYTES = 256_000_000
BYTES_BUDGET = 5_000

#: What the platform serves in a second.
STORE_READS = 2_000
STORE_WRITES = 300


@frozen
class Line:
    """One line of the page's table.

    :ivar formula: how the value follows from slopes, in words and numbers.
    :ivar bound: budget that the value counts against, or None.
    """

    role: str
    what: str
    value: float
    unit: str
    formula: str
    bound: float | None = None
    command: str = "make capacity"

    def to_row(self) -> str:
        """Return the line as a row of Markdown."""
        bound = "" if self.bound is None else f"{self.bound:,.0f}"
        return (
            f"| {self.role} | {self.what} | {self.value:,.4g} {self.unit} | {bound} "
            f"| {self.formula} | `{self.command}` |"
        )


def extend(series: Series, at: float) -> float:
    """Return where the line through a series stands at a size."""
    slope, start = series.fit_slope()
    return slope * at + start


def describe_line(series: Series, at: float) -> str:
    """Return the formula of :func:`extend` in words."""
    slope, start = series.fit_slope()
    sizes = ", ".join(f"{x:,.0f}" for x in series.xs)
    return f"{start:,.4g} + {slope:,.4g} × {at:,.0f} {series.x_name} (at {sizes})"


def compute_lines(slopes: dict[str, Series], process: int) -> list[Line]:
    """Return the lines of the table for the full size.

    :param slopes: measured series by title.
    :param process: resident bytes of a daemon before it has any state.
    """
    return [
        *_compute_control(slopes),
        *_compute_store(slopes),
        *_compute_memory(slopes, process),
        *_compute_traffic(slopes),
    ]


def _compute_control(slopes: dict[str, Series]) -> list[Line]:
    parts = (
        ("control bytes", "bytes sent by a daemon", "B/s", BYTES_BUDGET),
        ("control messages", "messages sent by a daemon", "1/s", None),
        ("control cpu", "processor time of a daemon", "us/s", CORE_BUDGET_US),
    )
    role = "membership, leases, lending, rollout"
    return [
        Line(
            role, what, extend(slopes[title], DAEMONS), unit, _say(slopes, title), bound
        )
        for title, what, unit, bound in parts
    ]


def _compute_store(slopes: dict[str, Series]) -> list[Line]:
    changes = CHANGES_PER_DAY * DAEMONS / SECONDS_PER_DAY
    return [
        Line(
            "leases, head polling",
            "rows read of the store",
            extend(slopes["store reads"], DAEMONS),
            "1/s",
            _say(slopes, "store reads"),
            STORE_READS,
        ),
        Line(
            "leases",
            "transactions that write",
            extend(slopes["store writes"], DAEMONS),
            "1/s",
            _say(slopes, "store writes"),
            STORE_WRITES,
        ),
        Line(
            "configuration",
            "bodies read for changes",
            changes,
            "1/s",
            f"{CHANGES_PER_DAY} changes × {DAEMONS} daemons / {SECONDS_PER_DAY:,} s",
        ),
    ]


def _compute_memory(slopes: dict[str, Series], process: int) -> list[Line]:
    client_map = extend(slopes["map memory"], BLOCKS)
    inventory = extend(slopes["inventory memory"], ACCOUNTS)
    total = process + 2 * client_map + 2 * inventory
    return [
        Line(
            "client map",
            "memory",
            client_map / 1e6,
            "MB",
            _say(slopes, "map memory", BLOCKS),
        ),
        Line(
            "configuration",
            "memory of an inventory",
            inventory / 1e6,
            "MB",
            _say(slopes, "inventory memory", ACCOUNTS),
        ),
        Line(
            "configuration",
            "time to load a body",
            extend(slopes["inventory load"], ACCOUNTS),
            "ms",
            _say(slopes, "inventory load", ACCOUNTS),
        ),
        Line(
            "all",
            "memory of a daemon",
            total / 1e6,
            "MB",
            f"{process / 1e6:,.0f} MB process + two maps and two inventories "
            "while one replaces the other",
            MEMORY_BUDGET_BYTES / 1e6,
        ),
    ]


def _compute_traffic(slopes: dict[str, Series]) -> list[Line]:
    per_daemon = LOOKUPS_PER_S / DAEMONS
    lookup = sum(slopes["map look-up"].ys) / len(slopes["map look-up"].ys)
    bytes_each, _ = slopes["request bytes"].fit_slope()
    messages_each, _ = slopes["request messages"].fit_slope()
    return [
        Line("look-up", "look-ups by a daemon", per_daemon, "1/s", "380,000 / 400"),
        Line(
            "look-up",
            "bisection of the client map",
            lookup * per_daemon,
            "us/s",
            f"{lookup:.2f} us (mean of sizes) × {per_daemon:,.0f}",
        ),
        Line(
            "proxying, lending, slots",
            "bytes between hosts for a request",
            bytes_each,
            "B",
            _slope(slopes, "request bytes"),
        ),
        Line(
            "proxying, lending, slots",
            "messages between hosts for a request",
            messages_each,
            "",
            _slope(slopes, "request messages"),
        ),
    ]


def _say(slopes: dict[str, Series], title: str, at: float = DAEMONS) -> str:
    return describe_line(slopes[title], at)


def _slope(slopes: dict[str, Series], title: str) -> str:
    series = slopes[title]
    sizes = ", ".join(f"{x:,.0f}" for x in series.xs)
    return f"slope over {sizes} {series.x_name}"
