"""Starts a host: a gateway where the platform gives settings, else as told."""

from __future__ import annotations

import os
import sys


def main() -> None:
    """Run the program that the environment and the arguments ask for."""
    # Each program loads only what it needs, since a host is to listen soon.
    if os.environ.get("ALMONDGAP_BOOT") and len(sys.argv) == 1:
        from almondgap_daemon.gateway.process import main as run
    else:
        from almondgap_daemon.main import main as run
    run()


if __name__ == "__main__":
    main()
