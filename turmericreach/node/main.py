"""Entry points of the programs on the platform's hosts."""

import asyncio
import sys

from turmericreach.node.log_output import LogOutput
from turmericreach.node.standby import run_standby
from turmericreach.platform.decoding import DecodeError
from turmericreach.platform.settings import load_settings, settings_path
from turmericreach.telemetry import configure_logging

__all__ = ["run"]

EXIT_USAGE = 2
PROGRAMS = ("gateway", "standby")


def run(arguments: list[str]) -> int:
    """Run the program that the arguments name and return the exit code."""
    if len(arguments) != 1 or arguments[0] not in PROGRAMS:
        print(f"usage: turmericreach-node {'|'.join(PROGRAMS)}", file=sys.stderr)
        return EXIT_USAGE
    if arguments[0] == "standby":
        return run_standby()
    try:
        settings = load_settings(settings_path())
    except DecodeError as error:
        print(f"settings: {error}", file=sys.stderr)
        return EXIT_USAGE
    return run_gateway(settings)


def run_gateway(settings) -> int:
    """Run the program on hosts that callers reach."""
    from turmericreach.node.gateway import Gateway

    output = LogOutput(sys.stdout.fileno())
    output.start()
    configure_logging("info", settings.host, output)

    async def serve() -> None:
        await Gateway(settings).run()

    asyncio.run(serve())
    output.close()
    return 0
