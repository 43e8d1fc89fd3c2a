"""Entry point of ``python -m turmericreach_standins``."""

from turmericreach_standins.main import run

run()
