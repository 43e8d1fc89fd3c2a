"""Run the command line by ``python -m turmericreach.cli``."""

from turmericreach.cli.main import run

run()
