"""The `check` command, which validates files before a rollout on the platform."""

from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from turmericreach.cli.options import ExitCode, print_error
from turmericreach.platform.decoding import DecodeError
from turmericreach.platform.deploy_file import check_deploy_file
from turmericreach.platform.settings import load_settings

__all__ = ["check"]


def check(
    *,
    deploy: Annotated[Path | None, Parameter(help="Deploy file to check.")] = None,
    settings: Annotated[Path | None, Parameter(help="Settings file of a process to check.")] = None,
) -> int:
    """Check a deploy file, a settings file or both; nothing is started or changed."""
    if deploy is None and settings is None:
        return print_error("give a file with --deploy or --settings", ExitCode.BAD_INPUT)
    problems = []
    if deploy is not None:
        problems += check_deploy_file(deploy)
    if settings is not None:
        try:
            load_settings(str(settings))
        except DecodeError as error:
            problems.append(str(error))
    for problem in problems:
        print_error(problem, ExitCode.BAD_INPUT)
    return ExitCode.BAD_INPUT if problems else ExitCode.OK
