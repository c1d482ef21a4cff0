"""Runs soaks: real programs, drawn faults, promises judged."""

from __future__ import annotations

import argparse
import json
import random
import sys
import threading
import time
from collections import Counter
from pathlib import Path

from twisted.internet import reactor
from twisted.internet.threads import deferToThread

from almondgap_testkit.gateways.site import CALLERS_PORT
from almondgap_testkit.soak.callers import Caller
from almondgap_testkit.soak.judging import Judge
from almondgap_testkit.soak.plan import draw_plan
from almondgap_testkit.soak.stage import FICKLE_KEY, SMALL_KEY, SURE_KEY, Stage

HOSTS, TARGETS = 3, 6

#: Seconds with faults, seconds after them in which everything recovers, and seconds
#: after these in which everything must be served.
FAULTS_S, RECOVERY_S, CALM_S = 12.0, 6.0, 3.0

#: Callers with each key, and the pause between two requests of each, in seconds.
CALLERS = ((SURE_KEY, 6, 0.05), (FICKLE_KEY, 2, 0.05), (SMALL_KEY, 3, 0.02))


def main() -> None:
    """Run the seeds named on the command line, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="of the first soak")
    parser.add_argument("--count", type=int, default=1, help="soaks to run")
    parser.add_argument("--faults-s", type=float, default=FAULTS_S)
    parser.add_argument("--keep", type=Path, help="folder for logs of failed soaks")
    args = parser.parse_args()
    broken: list[int] = []

    def run_all() -> None:
        for seed in range(args.seed, args.seed + args.count):
            breaches = run_soak(seed, args.faults_s, args.keep)
            print(f"seed {seed}: {len(breaches)} broken promises", flush=True)
            for breach in breaches:
                print(f"  {breach}", flush=True)
            if breaches:
                broken.append(seed)

    def tell(failure) -> None:
        broken.append(-1)
        failure.printTraceback(sys.stderr)

    running = deferToThread(run_all)
    running.addErrback(tell)
    running.addBoth(lambda _: reactor.stop())
    reactor.run(installSignalHandlers=True)
    sys.exit(1 if broken else 0)


def run_soak(seed: int, faults_s: float, keep: Path | None) -> list[str]:
    """Run one soak in a thread beside the loop; return the broken promises."""
    stage = Stage.build(reactor, HOSTS, TARGETS)
    try:
        return _run(stage, seed, faults_s, keep)
    finally:
        for link in (*stage.targets, *stage.stores):
            reactor.callFromThread(link.close)
        stage.site.close()


def _run(stage: Stage, seed: int, faults_s: float, keep: Path | None) -> list[str]:
    stage.start = time.monotonic()
    callers = _start_callers(stage, seed)
    plan = draw_plan(seed, faults_s, HOSTS, TARGETS)
    threads = [threading.Thread(target=stage.commit, args=(fault,)) for fault in plan]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(RECOVERY_S)
    calm = time.monotonic() - stage.start
    time.sleep(CALM_S)
    for caller, thread in callers:
        caller.stopping.set()
        thread.join()
    attempts = [attempt for caller, _ in callers for attempt in caller.attempts]
    attempts += stage.deadly
    judge = Judge(
        attempts,
        stage.read_runs(),
        stage.done,
        calm,
        stage.read_rejections(),
        stage.list_crashes(),
    )
    counts = Counter(attempt.status or attempt.failure for attempt in attempts)
    print(f"seed {seed}: {len(plan)} faults, answers {dict(counts)}", flush=True)
    breaches = stage.breaches + judge.list_breaches() + _judge_processes(stage)
    if breaches and keep is not None:
        _keep(stage, seed, keep, judge, breaches)
    return breaches


def _start_callers(stage: Stage, seed: int) -> list[tuple[Caller, threading.Thread]]:
    site = stage.site
    addresses = [site.address(f"h{n + 1}", CALLERS_PORT) for n in range(HOSTS)]
    callers = []
    for key, count, pause_s in CALLERS:
        for _ in range(count):
            name = f"c{len(callers)}"
            chance = random.Random(f"{seed} {name}")
            caller = Caller(name, addresses, key, stage.start, chance, pause_s)
            callers.append((caller, threading.Thread(target=caller.run)))
    for _, thread in callers:
        thread.start()
    return callers


def _judge_processes(stage: Stage) -> list[str]:
    breaches = []
    for name, process in stage.site.processes.items():
        if process.poll() is not None:
            breaches.append(f"{name} ended by itself with {process.returncode}")
    for number in range(HOSTS):
        path = stage.site.folder / f"h{number + 1}.log"
        for line in path.read_text().splitlines():
            if not line.startswith("{"):
                breaches.append(f"h{number + 1} printed: {line[:200]}")
                break
    return breaches


def _keep(
    stage: Stage, seed: int, keep: Path, judge: Judge, breaches: list[str]
) -> None:
    """Keep what tells why a soak failed."""
    folder = keep / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    for path in stage.site.folder.glob("*.log"):
        (folder / path.name).write_bytes(path.read_bytes())
    told = [str(fault) for fault in sorted(judge.faults, key=lambda fault: fault.at)]
    (folder / "told.txt").write_text("\n".join([*breaches, "", *told]) + "\n")
    with open(folder / "attempts.json", "w") as file:
        for attempt in judge.attempts:
            runs = judge.runs.get(attempt.request_id, [])
            fields = {name: getattr(attempt, name) for name in attempt.__slots__[:-1]}
            fields["body"] = attempt.body[:60].decode(errors="replace")
            fields["start"] = stage.start
            file.write(json.dumps({**fields, "runs": runs}) + "\n")


if __name__ == "__main__":
    main()
