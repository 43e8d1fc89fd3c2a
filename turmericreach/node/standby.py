"""The program on hosts whose disks the product does not need.

The module imports little, since the memory of each process is paid for.
"""

import signal

__all__ = ["run_standby"]

SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


def run_standby() -> int:
    """Wait for a signal to stop and return the exit code."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    while signal.sigwait(SIGNALS) == signal.SIGHUP:
        continue
    return 0
