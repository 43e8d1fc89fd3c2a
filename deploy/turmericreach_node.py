"""Starts a program of turmericreach on a host of the platform."""

import signal
import sys
from pathlib import Path

# A signal to reload the settings has to wait for its handler, and must not end the program.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

if sys.argv[1:] == ["standby"]:
    # Imported first, since the standby program needs none of the other modules and their memory.
    from turmericreach.node.standby import run_standby

    sys.exit(run_standby())

from turmericreach.node.main import run  # noqa: E402

sys.exit(run(sys.argv[1:]))
