"""Run the command-line program with ``python -m turmericreach.cli``."""

from turmericreach.cli.main import run

run()
