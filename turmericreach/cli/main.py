"""The ``turmericreach`` program."""

import sys
from typing import Annotated, Literal

import cyclopts
from cyclopts import Parameter

from turmericreach import __version__
from turmericreach.cli import configurations, lots, manifests, weights
from turmericreach.cli.checks import check
from turmericreach.cli.decisions import audit, explain
from turmericreach.cli.deployment import status
from turmericreach.cli.options import EXIT_CODE_HELP, ExitCode, print_error
from turmericreach.cli.plots import report_plots
from turmericreach.cli.targets import drain, targets

__all__ = ["app", "main", "run"]

EXIT_CODES = "Exit codes: " + "; ".join(
    f"{int(code)} {text}" for code, text in EXIT_CODE_HELP.items()
)

app = cyclopts.App(
    name="turmericreach",
    help="Operate turmericreach and run lots.",
    help_epilogue=f"{EXIT_CODES}.",
    version=__version__,
)
app.command(manifests.app)
app.command(status)
app.command(lots.lots)
app.command(lots.app)
app.command(targets)
app.command(drain)
app.command(weights.app)
app.command(explain)
app.command(audit)
app.command(check)
app.command(configurations.app)
app.command(report_plots, name="report")


@app.command
def completion(
    shell: Annotated[
        Literal["bash", "zsh", "fish"], Parameter(help="Shell to complete for.")
    ] = "bash",
) -> int:
    """Print a completion script for a shell to source."""
    print(app.generate_completion(shell=shell))
    return ExitCode.OK


def main(tokens: list[str] | None = None) -> int:
    """Run one command line and return its exit code.

    Parameters
    ----------
    tokens : list of str, optional
        Arguments after the program name; default: those of the process.
    """
    try:
        result = app(tokens, exit_on_error=False, print_error=False, result_action="return_value")
    except cyclopts.CycloptsError as error:
        line = " ".join(str(error).split())
        return print_error(f"{line} (see turmericreach --help)", ExitCode.BAD_INPUT)
    return result if isinstance(result, int) else ExitCode.OK


def run() -> None:
    """Run the program as the console script ``turmericreach`` and exit."""
    sys.exit(main())
