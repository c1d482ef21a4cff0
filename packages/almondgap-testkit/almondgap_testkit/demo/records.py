"""Everything that a run of the demo leaves to be judged."""

from __future__ import annotations

from attrs import Factory, define, frozen

from almondgap_testkit.demo.sample import Sample
from almondgap_testkit.standins.behaviour import Run


@frozen
class Sighting:
    """The version that a host had in force when it was asked.

    :ivar incarnation: number of the host's run.
    """

    host: str
    incarnation: int
    version: int


@define
class RunRecord:
    """What callers, targets and operators saw. Times are monotonic seconds.

    :ivar errors: lines of level error in the hosts' logs.
    :ivar in_force_s: for each change, time until it was in force on every host.
    :ivar stop_code: exit code of the host that was stopped as planned.
    """

    samples: list[Sample] = Factory(list)
    runs: list[Run] = Factory(list)
    keys_seen: int = 0
    errors: list[str] = Factory(list)
    sightings: list[Sighting] = Factory(list)
    in_force_s: list[float] = Factory(list)
    withdrawn_account: str = ""
    withdrawn_at: float = 0.0
    drained_target: str = ""
    drained_at: float = 0.0
    killed_host: str = ""
    stopped_host: str = ""
    stop_code: int | None = None

    def list_samples(self, account: str) -> list[Sample]:
        """Return the requests of one client account."""
        return [sample for sample in self.samples if sample.account == account]

    def list_runs(self, account: str) -> list[Run]:
        """Return the runs for one client account."""
        return [run for run in self.runs if run.account == account]

    def is_withdrawn(self, sample: Sample) -> bool:
        """Whether the request came with a key that was withdrawn before."""
        withdrawn = sample.account == self.withdrawn_account and self.withdrawn_at
        return bool(withdrawn) and sample.due >= self.withdrawn_at

    def count_reverts(self) -> int:
        """Count how often a run of a host went back to a smaller version."""
        greatest: dict[tuple[str, int], int] = {}
        reverts = 0
        for sighting in self.sightings:
            run = (sighting.host, sighting.incarnation)
            reverts += sighting.version < greatest.get(run, 0)
            greatest[run] = max(sighting.version, greatest.get(run, 0))
        return reverts
