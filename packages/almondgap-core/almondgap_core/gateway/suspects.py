"""Requests in progress at targets that crashed, as hosts know and tell them."""

from __future__ import annotations

from attrs import Factory, define, frozen

#: Crashes without an answer in between that put a request into quarantine.
QUARANTINE_CRASHES = 3

#: Maximum number of crashes that are remembered for a request.
MAX_CRASHES = 8


@frozen
class Crash:
    """The end of one run of a target.

    :ivar incarnation: number of the target's run.
    """

    target: str
    incarnation: int


@frozen
class SuspectReport:
    """What a host tells its peers about a request.

    :ivar fingerprint: identifies repetitions of the request.
    :ivar crashes: crashes of targets at which it was in progress.
    :ivar cleared: those of them after which another target answered it.
    :ivar trials: number of times it was sent while in quarantine.
    """

    fingerprint: str
    crashes: tuple[Crash, ...]
    cleared: tuple[Crash, ...]
    trials: int

    @property
    def is_cleared(self) -> bool:
        """Whether no crash counts."""
        return len(self.cleared) == len(self.crashes)


@frozen
class Suspects:
    """Reports of requests that a host sends to its peers."""

    host: str
    reports: tuple[SuspectReport, ...]


@define
class Suspect:
    """A request that was in progress at targets that crashed; times in microseconds.

    Crashes are only added, and only marked as cleared, so that reports of hosts can be
    merged in any order.

    :ivar crashes: crashes, each with whether it still counts.
    :ivar trials: number of times it was sent while in quarantine.
    :ivar changed_at: when this host last learned something about it.
    :ivar requested_at: when it last arrived here while in quarantine.
    :ivar saved: whether the store may have a row of it.
    """

    crashes: dict[Crash, bool] = Factory(dict)
    trials: int = 0
    changed_at: int = 0
    requested_at: int = 0
    saved: bool = False

    @property
    def count(self) -> int:
        """Number of crashes that count."""
        return sum(self.crashes.values())

    @property
    def quarantined(self) -> bool:
        """Whether the request is to be refused."""
        return self.count >= QUARANTINE_CRASHES

    def add(self, crash: Crash) -> bool:
        """Add a crash and return whether it is new."""
        if crash in self.crashes:
            return False
        if len(self.crashes) >= MAX_CRASHES:
            cleared = [known for known, counts in self.crashes.items() if not counts]
            if not cleared:
                return False
            del self.crashes[cleared[0]]
        self.crashes[crash] = True
        return True

    def clear(self, crashes: tuple[Crash, ...]) -> bool:
        """Mark crashes as cleared and return whether any of them counted."""
        counted = [crash for crash in crashes if self.crashes.get(crash, True)]
        for crash in counted:
            self.crashes[crash] = False
        return bool(counted)

    def merge(self, report: SuspectReport) -> bool:
        """Take over what another host knows and return whether it was news."""
        changes = [self.add(crash) for crash in report.crashes]
        changes.append(self.clear(report.cleared))
        changes.append(report.trials > self.trials)
        self.trials = max(self.trials, report.trials)
        return any(changes)

    def make_report(self, fingerprint: str) -> SuspectReport:
        """Return what peers have to know."""
        cleared = tuple(crash for crash, counts in self.crashes.items() if not counts)
        return SuspectReport(fingerprint, tuple(self.crashes), cleared, self.trials)


@define
class LostTarget:
    """A target that broke off requests; times in microseconds.

    :ivar lost_at: when it did.
    :ivar fingerprints: requests that were in progress there.
    :ivar refused: whether it has refused a connection since.
    :ivar checking: whether a connection to it is being tried.
    """

    crash: Crash
    lost_at: int
    fingerprints: dict[str, None] = Factory(dict)
    refused: bool = False
    checking: bool = True
