"""The standby program, for hosts whose disks turmericreach does not need.

The module imports little, since memory is charged for each process.
"""

import signal

__all__ = ["run_standby"]

SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


def run_standby() -> int:
    """Wait for SIGTERM or SIGINT and return the exit code; SIGHUP is ignored."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    while signal.sigwait(SIGNALS) == signal.SIGHUP:
        continue
    return 0
