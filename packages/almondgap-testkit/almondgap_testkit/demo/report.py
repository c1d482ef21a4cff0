"""The demo's tables."""

from __future__ import annotations

from almondgap_testkit.demo.judging import AccountRow, Held, Judgement


def print_accounts(rows: list[AccountRow]) -> None:
    """Print how each client account fared."""
    print()
    print(
        f"{'client account':<18}{'sent':>7}{'answered':>10}{'refused':>9}"
        f"{'inside rate':>13}{'withdrawn':>11}{'unknown':>9}{'p50 ms':>9}{'p99 ms':>9}"
    )
    for row in rows:
        print(
            f"{row.account:<18}{row.sent:>7}{row.answered:>10}{row.refused:>9}"
            f"{row.wrongly_refused:>13}{row.withdrawn:>11}{row.unknown:>9}"
            f"{row.p50_ms:>9.1f}{row.p99_ms:>9.1f}"
        )


def print_promises(judgements: list[Judgement]) -> None:
    """Print whether each promise held."""
    print()
    for judgement in judgements:
        print(f"{judgement.promise:<56}{judgement.held.value:<16}{judgement.figure}")
    broken = sum(judgement.held is Held.BROKEN for judgement in judgements)
    print(f"\n{len(judgements)} promises, {broken} broken")
