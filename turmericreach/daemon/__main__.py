"""Runs the daemon for ``python -m turmericreach.daemon``."""

from turmericreach.daemon.main import run

run()
