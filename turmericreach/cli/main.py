"""The ``turmericreach`` program."""

import sys

import cyclopts

from turmericreach import __version__
from turmericreach.cli import lots, manifests

__all__ = ["app", "run"]

app = cyclopts.App(
    name="turmericreach",
    help="Operate turmericreach and run lots.",
    version=__version__,
)
app.command(manifests.app)
app.command(lots.app)


def run() -> None:
    """Entry point of the console script."""
    sys.exit(app())
