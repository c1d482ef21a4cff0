"""Running an asynchronous command on the reactor and mapping errors to exit codes."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, task

from almondgap_core.exceptions import AlmondgapError, ConflictError

EXIT_ERROR = 1
EXIT_CONFLICT = 3
EXIT_INCOMPLETE = 4


def run_command(work: Callable[..., Any], *args: Any) -> None:
    """Run ``work(*args)`` on the reactor and exit with its code.

    :param work: returns a Deferred or a coroutine that gives the exit code or None.
    """
    codes: list[int] = []

    def main(_reactor) -> defer.Deferred:
        done = defer.ensureDeferred(_run_reporting_errors(work, args))
        done.addCallback(codes.append)
        return done

    try:
        task.react(main)
    except SystemExit as exc:
        if exc.code:
            raise
    sys.exit(codes[0] if codes else EXIT_ERROR)


async def _run_reporting_errors(work: Callable[..., Any], args: tuple[Any, ...]) -> int:
    try:
        return await work(*args) or 0
    except ConflictError as exc:
        print(f"conflict: {exc}", file=sys.stderr)
        return EXIT_CONFLICT
    except AlmondgapError as exc:
        print(f"error: {exc}", file=sys.stderr)
        return EXIT_ERROR
