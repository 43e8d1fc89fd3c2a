"""Starts a program of turmericreach on a host of the platform."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

if sys.argv[1:] == ["standby"]:
    # Imported first, since the standby program needs none of the other modules and their memory.
    from turmericreach.node.standby import run_standby

    sys.exit(run_standby())

from turmericreach.node.main import run  # noqa: E402

sys.exit(run(sys.argv[1:]))
