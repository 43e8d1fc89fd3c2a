"""Command line of the programs that run on the hosts of the platform."""

import asyncio
import sys
from collections.abc import Callable

import attrs

from turmericreach.node.log_output import LogOutput
from turmericreach.node.settings import NodeSettings
from turmericreach.node.standby import run_standby
from turmericreach.placement import POLICIES
from turmericreach.platform.decoding import DecodeError
from turmericreach.platform.settings import load_settings, settings_path
from turmericreach.telemetry import configure_logging, log_event
from turmericreach.telemetry import node_events as events
from turmericreach.telemetry.log import EVENT_LOG

__all__ = ["run"]

EXIT_USAGE = 2
EXIT_LISTEN_FAILED = 3
USAGE = (
    "usage: turmericreach_node.py gateway [--metrics-port PORT] "
    f"[--placement {{{','.join(POLICIES)}}}] | standby"
)


def run(arguments: list[str]) -> int:
    """Run the program named by the arguments and return its exit code.

    The arguments are parsed by hand: there are few, and a library would cost memory on every host.
    """
    if arguments == ["standby"]:
        return run_standby()
    options = gateway_options(arguments)
    if options is None:
        print(USAGE, file=sys.stderr)
        return EXIT_USAGE

    def read_settings() -> NodeSettings:
        return attrs.evolve(load_settings(settings_path()), **options)

    try:
        settings = read_settings()
    except DecodeError as error:
        print(f"settings: {error}", file=sys.stderr)
        return EXIT_USAGE
    return run_gateway(settings, read_settings)


def gateway_options(arguments: list[str]) -> dict[str, int | str] | None:
    """Return the settings given as options of ``gateway``, or None if the arguments are invalid."""
    if len(arguments) % 2 == 0 or arguments[0] != "gateway":
        return None
    options: dict[str, int | str] = {}
    for name, value in zip(arguments[1::2], arguments[2::2], strict=True):
        if name == "--metrics-port" and value.isdigit():
            options["metrics_port"] = int(value)
        elif name == "--placement" and value in POLICIES:
            options["placement"] = value
        else:
            return None
    return options


def run_gateway(settings: NodeSettings, read_settings: Callable[[], NodeSettings]) -> int:
    """Run the gateway and return its exit code."""
    from turmericreach.node.gateway import Gateway
    from turmericreach.node.listening import ListenError

    output = LogOutput(sys.stdout.fileno())
    output.start()
    EVENT_LOG.count_dropped_lines = lambda: output.dropped_total
    configure_logging("info", settings.host, output)

    async def serve() -> None:
        await Gateway(settings, read_settings).run()

    try:
        asyncio.run(serve())
    except ListenError as error:
        log_event(events.NODE_NOT_LISTENING, address=error.address, reason=error.reason)
        return EXIT_LISTEN_FAILED
    finally:
        output.close()
    return 0
