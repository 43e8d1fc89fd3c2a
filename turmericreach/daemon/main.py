"""The ``turmericreachd`` program."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Annotated

import capnp
import cyclopts
from cyclopts import Parameter

from turmericreach import __version__
from turmericreach.daemon.agent_daemon import AgentDaemon
from turmericreach.daemon.gateway import GatewayDaemon
from turmericreach.daemon.node import Node
from turmericreach.security import TlsContexts, TlsError, register_secrets
from turmericreach.settings import DaemonSettings, Role, SettingsError, load_settings
from turmericreach.telemetry import configure_logging, events, log_event

__all__ = ["run", "run_daemon"]

EXIT_SETTINGS = 2
READY_POLL_S = 0.05

app = cyclopts.App(
    name="turmericreachd",
    help="Daemon of turmericreach; its role is set in the settings file.",
    version=__version__,
)


@app.default
def main(
    settings: Annotated[Path, Parameter(help="YAML file with the settings of this daemon.")],
    *,
    check: Annotated[bool, Parameter(help="Check the settings and exit.")] = False,
) -> int:
    """Run the daemon until SIGTERM or SIGINT, which stop it gracefully."""
    try:
        loaded = load_settings(settings)
        tls = TlsContexts.from_settings(loaded.security)
    except (SettingsError, TlsError) as error:
        return fail(str(error))
    if check:
        print(f"{settings}: ok, {loaded.role} {loaded.name} in {loaded.data_centre}")
        return 0
    register_secrets(secrets_of(loaded))
    configure_logging(loaded.telemetry.log_level, loaded.name, sys.stderr)
    try:
        # Not uvloop: on it, pycapnp 2.2.4 crashes with a segmentation fault when a peer connects
        # and closes at once, as a port probe does. On asyncio's own loop it does not.
        return asyncio.run(capnp.run(run_daemon(loaded, tls)))
    except OSError as error:
        listen = loaded.listen
        return fail(f"{settings}: listen: {listen.ip}: {error}; expected free ports")


def fail(message: str) -> int:
    """Print an error and return the exit code for invalid settings."""
    print(f"turmericreachd: {message}", file=sys.stderr)
    return EXIT_SETTINGS


def secrets_of(settings: DaemonSettings) -> list[str]:
    """Return the secrets of the settings, which must not appear in logs or other output."""
    security = settings.security
    tokens = [entry.token for entry in security.tokens]
    return [*tokens, security.order_token, settings.platform.token]


async def run_daemon(settings: DaemonSettings, tls: TlsContexts | None) -> int:
    """Run a daemon until SIGTERM or SIGINT and return the exit code."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    node = Node(settings, loop.time(), tls)
    daemon = GatewayDaemon(node) if settings.role is Role.GATEWAY else AgentDaemon(node)
    log_event(
        events.DAEMON_STARTED,
        role=settings.role.value,
        incarnation=node.incarnation,
        version=__version__,
    )
    await daemon.start()
    background = [asyncio.ensure_future(log_ready(daemon, node))]
    if tls is not None:
        background.append(asyncio.ensure_future(tls.run()))
    await stopping.wait()
    stop_began = loop.time()
    log_event(events.DAEMON_STOPPING, reason="signal", in_flight=daemon.in_flight())
    for task in background:
        task.cancel()
    abandoned = await daemon.stop()
    log_event(events.DAEMON_STOPPED, seconds=loop.time() - stop_began, abandoned=abandoned)
    return 0


async def log_ready(daemon, node: Node) -> None:
    """Wait until the daemon is ready and log that once."""
    while True:
        if daemon.ready():
            break
        await asyncio.sleep(READY_POLL_S)
    log_event(
        events.DAEMON_READY,
        seconds=node.now() - node.started_at,
        generation=node.config.generation,
    )


def run() -> None:
    """Run the console script ``turmericreachd``."""
    sys.exit(app())
