"""Operations, withdrawals and rollouts in simulated time."""

from __future__ import annotations

import json
import tracemalloc
from collections.abc import Iterator

from almondgap_core.limits.partitions import Partition
from almondgap_core.operations.record import (
    Book,
    KeptAnswer,
    OperationRecord,
    Progress,
)
from almondgap_core.state import HostState
from almondgap_core.units import MICROS_PER_SECOND
from almondgap_core.verdict import Verdict
from almondgap_testkit.bench.figure import Figure
from almondgap_testkit.fakes.network import PLATFORM
from almondgap_testkit.fakes.payments import HOSTS, Payments
from almondgap_testkit.fakes.withdrawals import Withdrawals

SEEDS = (1, 2, 3)
NAMES = sorted(HOSTS)
OPERATIONS = 1_000

#: Operations a second in these runs.
RATE_PER_S = 100
RECORDS = 20_000

#: Time for which records are kept, in seconds.
RETENTION_S = 660

#: Hosts of the fleet in two years, and its reads of the store.
FLEET_HOSTS = 400
READS_PER_S_BOUND = 2_000


def measure() -> Iterator[Figure]:
    """Yield the figures of operations, keys and configuration."""
    yield from _measure_quiet_run()
    yield from _measure_crashes()
    yield from _measure_planned_stops()
    yield from _measure_rolling_restart()
    yield from _measure_records()
    yield from _measure_rollouts()
    yield from _measure_withdrawals()


def _measure_quiet_run() -> Iterator[Figure]:
    payments = Payments.begin_with_table()
    before = payments.world.platform.writes
    began = payments.world.clock.now
    _pay(payments, OPERATIONS)
    writes = payments.world.platform.writes - before
    idle = Payments.begin_with_table()
    idle_before = idle.world.platform.writes
    idle.world.run(payments.world.clock.now - began)
    extra = writes - (idle.world.platform.writes - idle_before)
    per_thousand = extra * 1_000 / OPERATIONS
    yield Figure(
        "operations.store_writes_per_thousand", per_thousand, "writes", bound=1.0
    )
    yield Figure("operations.greatest_runs", payments.count_greatest_runs(), "runs", 1)


def _measure_crashes() -> Iterator[Figure]:
    shares, runs, false = [], 0, 0
    for seed in SEEDS:
        payments = Payments.begin_with_table(seed)
        _pay(payments, 200)
        payments.world.crash("a-1")
        payments.run(25)
        shares.append(_repeat_all(payments, "a-2"))
        runs = max(runs, payments.count_greatest_runs())
        false += len(payments.list_false_verdicts())
    share = 100 * sum(shares) / len(shares)
    yield Figure("operations.crash.may_have_run_share", share, "%")
    yield Figure("operations.crash.greatest_runs", runs, "runs", 1)
    yield Figure("operations.crash.false_not_run", false, "answers", 0)


def _measure_planned_stops() -> Iterator[Figure]:
    shares, runs = [], 0
    for seed in SEEDS:
        payments = Payments.begin_with_table(seed)
        _pay(payments, 200)
        payments.world.drain("a-1")
        payments.run(12)
        shares.append(_repeat_all(payments, "a-2"))
        runs = max(runs, payments.count_greatest_runs())
    share = 100 * sum(shares) / len(shares)
    yield Figure("operations.planned_stop.may_have_run_share", share, "%", 0)
    yield Figure("operations.planned_stop.greatest_runs", runs, "runs", 1)


def _measure_rolling_restart() -> Iterator[Figure]:
    payments = Payments.begin_with_table()
    _pay(payments, 200)
    asked: list[str] = []
    for name in NAMES:
        payments.world.drain(name)
        for second in range(20):
            if payments.world.hosts[name].state is None:
                payments.world.start(name)
            asked += _load(payments, f"{name}/{second}")
    payments.run(5)
    answers = [payments.answer(req_id) for req_id in asked]
    cut = sum(answer.cut or answer.verdict is None for answer in answers)
    doubt = sum(answer.verdict is Verdict.MAY_HAVE_RUN for answer in answers)
    yield Figure("operations.rolling_restart.requests", len(answers), "requests")
    yield Figure("operations.rolling_restart.cut", cut, "requests", 0)
    yield Figure("operations.rolling_restart.may_have_run", doubt, "requests", 0)
    share = 100 * _repeat_all(payments, "a-2")
    yield Figure("operations.rolling_restart.may_have_run_share", share, "%", 0)
    runs = payments.count_greatest_runs()
    yield Figure("operations.rolling_restart.greatest_runs", runs, "runs", 1)


def _measure_records() -> Iterator[Figure]:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    book = Book(Partition("a", 0), 1, 0)
    for number in range(RECORDS):
        record = OperationRecord(
            "city-towers",
            number.to_bytes(16, "big"),
            Progress.RAN,
            f"akl-a-1/1780000000000000/akl-a-1-65a1-{number:x}",
            1,
            number * MICROS_PER_SECOND,
            (),
            200,
            KeptAnswer(200, "application/json", number.to_bytes(200, "big")),
        )
        book.windows.setdefault(0, {})[f"payment-{number:032x}"] = record
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    each = used / RECORDS
    held = RATE_PER_S * RETENTION_S
    yield Figure("operations.bytes_per_record", each, "bytes")
    yield Figure("operations.records_held_at_100_per_s", held, "records")
    yield Figure("operations.memory_at_100_per_s", held * each / 1e6, "MB", 256)


def _measure_rollouts() -> Iterator[Figure]:
    healthy, split, reads = 0.0, 0.0, 0.0
    for seed in SEEDS:
        fleet = Withdrawals(seed)
        before = fleet.world.platform.reads
        fleet.run(60)
        reads = (fleet.world.platform.reads - before) / 60 / len(fleet.world.hosts)
        healthy = max(healthy, _measure_in_force(fleet))
        fleet.world.network.cut("a", PLATFORM)
        fleet.run(20)
        split = max(split, _measure_in_force(fleet))
    yield Figure("configuration.in_force", healthy, "s", 12)
    yield Figure("configuration.in_force_by_neighbours", split, "s", 12)
    yield Figure(
        "configuration.store_reads_at_400_hosts",
        reads * FLEET_HOSTS,
        "reads/s",
        READS_PER_S_BOUND,
    )


def _measure_in_force(fleet: Withdrawals) -> float:
    """Apply a change; return the seconds until every host has it."""
    fleet.world.apply(json.dumps(fleet.document))
    began = fleet.world.clock.now
    wanted = max(h.state.settings.version for h in fleet.world.hosts.values()) + 1
    while any(h.state.settings.version < wanted for h in fleet.world.hosts.values()):
        fleet.run(0.05)
    return (fleet.world.clock.now - began) / MICROS_PER_SECOND


def _measure_withdrawals() -> Iterator[Figure]:
    connected, cut_off = 0.0, 0.0
    for seed in SEEDS:
        connected = max(connected, _measure_withdrawal(Withdrawals(seed)))
        fleet = Withdrawals(seed)
        fleet.world.network.isolate("a")
        cut_off = max(cut_off, _measure_withdrawal(fleet))
    bound = fleet.world.inventory.key_trust.bound / MICROS_PER_SECOND
    yield Figure("keys.withdrawal", connected, "s", 5)
    yield Figure("keys.withdrawal_when_cut_off", cut_off, "s", bound)
    outage = Withdrawals()
    outage.world.platform.down = True
    refused = 0
    for _ in range(20):
        outage.run(30)
        refused += sum(not passes for passes in outage.probe().values())
    yield Figure("keys.refused_in_outage_of_10_min", refused, "requests", 0)


def _measure_withdrawal(fleet: Withdrawals) -> float:
    """Withdraw the key; return the seconds until no host lets it pass."""
    fleet.withdraw()
    began = fleet.world.clock.now
    while True:
        asked = [fleet.ask(name) for name in fleet.world.hosts]
        fleet.run(0.01)
        if all(answer.refusal is not None for answer in asked):
            return (fleet.world.clock.now - began) / MICROS_PER_SECOND
        fleet.run(0.09)


def _pay(payments: Payments, count: int) -> None:
    """Send operations at all hosts, ten in each tenth of a second."""
    for number in range(count):
        name = NAMES[number % len(NAMES)]
        entry = NAMES[(number // 3) % len(NAMES)]
        payments.begin_payment(name, f"p{number}", entry)
        payments.run(1 / RATE_PER_S)
    payments.run(3)


def _load(payments: Payments, label: str) -> list[str]:
    """Send a second of operations to hosts that look-ups name."""
    asked = []
    for number in range(RATE_PER_S // 5):
        here = NAMES[number % len(NAMES)]
        running = payments.world.hosts[here].state
        if _is_named(running) and payments.look_up(here):
            asked.append(payments.begin_payment(here, f"{label}/{number}"))
        payments.run(0.05)
    return asked


def _is_named(running: HostState | None) -> bool:
    return (
        running is not None
        and running.inventory is not None
        and (running.lifecycle.accepts_requests)
    )


def _repeat_all(payments: Payments, host: str) -> float:
    """Repeat every operation at one host; return the share in doubt."""
    asked = [payments.repeat(host, label) for label in payments.sent]
    payments.run(5)
    answers = [payments.answer(req_id) for req_id in asked]
    doubt = sum(answer.verdict is Verdict.MAY_HAVE_RUN for answer in answers)
    return doubt / len(answers)
