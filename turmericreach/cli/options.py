"""Options shared by several commands, and the mapping of errors to exit codes."""

import asyncio
import enum
import functools
import ssl
import sys
from pathlib import Path
from typing import Annotated

import attrs
from cyclopts import Parameter

from turmericreach.client import ApiConnection, ApiError, ChangeUnknown
from turmericreach.manifest import GenerationConflict, ManifestError
from turmericreach.objectstore import HttpObjectStore, ObjectStoreError, ResultUnknown
from turmericreach.telemetry.redaction import redact
from turmericreach.verdicts import RequestError

__all__ = ["Api", "ExitCode", "Output", "Platform", "command", "print_error"]

DEFAULT_GATEWAY = "http://127.0.0.1:7480"
# The audit trail of six data centres (64 segments of 256 KiB each) takes 128 MiB in base64.
MAX_LISTING_BYTES = 160 * 1024 * 1024
PLATFORM_TIMEOUT_S = 5.0


class ExitCode(enum.IntEnum):
    """Exit codes of the program; `EXIT_CODE_HELP` describes them."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNKNOWN_RESULT = 4
    UNAVAILABLE = 5
    NOT_CONFIRMED = 6
    NOT_FOUND = 7


EXIT_CODE_HELP = {
    ExitCode.OK: "done",
    ExitCode.FAILED: "refused or failed",
    ExitCode.BAD_INPUT: "wrong arguments or input; nothing was changed",
    ExitCode.CONFLICT: "another change came first; nothing was changed",
    ExitCode.UNKNOWN_RESULT: "the result stays unknown; read the state before trying again",
    ExitCode.UNAVAILABLE: "the platform or every gateway is down",
    ExitCode.NOT_CONFIRMED: "the wait ended before all was confirmed; the change stays",
    ExitCode.NOT_FOUND: "nothing is known of what was asked for",
}


class Output(enum.StrEnum):
    """Output format of a command."""

    TABLE = "table"
    JSON = "json"


@Parameter(name="*")
@attrs.frozen
class Api:
    """Options for the connection to the gateways.

    Attributes
    ----------
    gateway : list of str
        URL of a gateway; give it several times for failover.
    token : str
        Bearer token for the gateways.
    ca : Path
        PEM file with the certificate of the authority that signs the gateways' certificates.
    """

    gateway: Annotated[
        list[str] | None, Parameter(name="--gateway", env_var="TURMERICREACH_GATEWAY")
    ] = None
    token: Annotated[str, Parameter(name="--token", env_var="TURMERICREACH_TOKEN")] = ""
    ca: Annotated[Path | None, Parameter(name="--ca", env_var="TURMERICREACH_CA")] = None

    def connect(self) -> ApiConnection:
        """Return a connection, to be used as an async context manager."""
        context = None
        if self.ca is not None:
            context = ssl.create_default_context(cafile=self.ca)
        return ApiConnection(self.gateway or [DEFAULT_GATEWAY], self.token, context)


@Parameter(name="*")
@attrs.frozen
class Platform:
    """Options for the connection to the platform's object API.

    Attributes
    ----------
    platform : str
        URL of the object API.
    platform_token : str
        Bearer token for the object API.
    """

    platform: Annotated[str, Parameter(name="--platform", env_var="TURMERICREACH_PLATFORM")] = ""
    platform_token: Annotated[
        str, Parameter(name="--platform-token", env_var="TURMERICREACH_PLATFORM_TOKEN")
    ] = ""

    def open(self) -> HttpObjectStore:
        """Return a client of the object API.

        Raises
        ------
        ValueError
            If no URL is given.
        """
        if not self.platform:
            raise ValueError("--platform (or TURMERICREACH_PLATFORM) is required")
        return HttpObjectStore(
            self.platform,
            self.platform_token,
            PLATFORM_TIMEOUT_S,
            max_listing_bytes=MAX_LISTING_BYTES,
        )


def command(function):
    """Return a command that runs an async function and maps its errors to exit codes.

    An error is printed as one line.
    """

    @functools.wraps(function)
    def wrapper(*args, **kwargs) -> int:
        try:
            code = asyncio.run(function(*args, **kwargs))
        except KeyboardInterrupt:
            return print_error("interrupted", ExitCode.FAILED)
        except Exception as error:  # noqa: BLE001 - users get one line, never a traceback
            return handle_error(error)
        return ExitCode.OK if code is None else code

    return wrapper


def handle_error(error: Exception) -> int:
    """Print an exception as one line and return its exit code."""
    if isinstance(error, GenerationConflict):
        return print_error(str(error), ExitCode.CONFLICT)
    if isinstance(error, ManifestError):
        return print_error(str(error), ExitCode.BAD_INPUT)
    if isinstance(error, ResultUnknown):
        return print_error(f"the result is unknown: {error}", ExitCode.UNKNOWN_RESULT)
    if isinstance(error, ObjectStoreError):
        return print_error(f"the platform is unavailable: {error}", ExitCode.UNAVAILABLE)
    if isinstance(error, ChangeUnknown):
        return print_error(f"the result is unknown: {error}", ExitCode.UNKNOWN_RESULT)
    if isinstance(error, ApiError):
        code = ExitCode.FAILED if error.status else ExitCode.UNAVAILABLE
        return print_error(format_api_error(error), code)
    if isinstance(error, BrokenPipeError):
        # The reader of the output, for example `head`, has closed the pipe.
        sys.stdout = None
        return ExitCode.OK
    if isinstance(error, ValueError | RequestError | OSError):
        return print_error(str(error), ExitCode.BAD_INPUT)
    return print_error(f"unexpected {type(error).__name__}: {error}", ExitCode.FAILED)


def format_api_error(error: ApiError) -> str:
    """Return the error line for an error response of a gateway."""
    code = f" [{error.code}, {error.verdict}]" if error.code else ""
    return f"{error}{code}"


def print_error(message: str, code: ExitCode) -> int:
    """Print an error message with secrets redacted, and return the exit code."""
    print(f"turmericreach: {redact(message)}", file=sys.stderr)
    return code
