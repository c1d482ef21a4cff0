"""Starts a host process.

Runs the gateway when the platform provides settings in the environment, and the
``almondgapd`` command otherwise.
"""

from __future__ import annotations

import os
import signal
import sys


def main() -> None:
    """Run the program selected by the environment and the arguments."""
    # Only the selected program is imported, so that the host listens sooner.
    if os.environ.get("ALMONDGAP_BOOT") and len(sys.argv) == 1:
        # The settings are read later, and the default action ends the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from almondgap_daemon.gateway.process import main as run
    else:
        from almondgap_daemon.main import main as run
    run()


if __name__ == "__main__":
    main()
