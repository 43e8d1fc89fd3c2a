"""Run the daemon by ``python -m turmericreach.daemon``."""

from turmericreach.daemon.main import run

run()
