"""Command line of the stand-ins."""

import asyncio
import sys
from typing import Annotated

import cyclopts
import uvloop
from cyclopts import Parameter

from turmericreach_standins.common.serving import serve_process
from turmericreach_standins.engine import EngineSettings, create_engine
from turmericreach_standins.link import LinkSettings, run_link
from turmericreach_standins.objects import ObjectsSettings, create_objects
from turmericreach_standins.service import ServiceSettings, create_service
from turmericreach_standins.weightstore import WeightStoreSettings, create_weightstore

__all__ = ["app", "run"]

app = cyclopts.App(
    name="turmericreach-standin", help="Stand-ins of outside systems, for tests and the demo."
)

Flat = Parameter(name="*")


def serve(stand_in, host, port, grace_s):
    """Serve a stand-in until SIGTERM or SIGINT; exit with status 1 if listening fails."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            runner.run(serve_process(stand_in, host, port, grace_s))
        except OSError as error:
            sys.exit(f"cannot listen on {host}:{port}: {error.strerror}")


@app.command
def engine(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    seed: int = 0,
    grace_s: float = 30.0,
    settings: Annotated[EngineSettings | None, Flat] = None,
):
    """Run a model engine with continuous batching."""
    serve(create_engine(settings, seed), host, port, grace_s)


@app.command
def service(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    seed: int = 0,
    grace_s: float = 30.0,
    settings: Annotated[ServiceSettings | None, Flat] = None,
):
    """Run a plain HTTP service."""
    serve(create_service(settings, seed), host, port, grace_s)


@app.command
def weightstore(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    seed: int = 0,
    grace_s: float = 5.0,
    settings: Annotated[WeightStoreSettings | None, Flat] = None,
):
    """Run a rate-limited weight store; it makes no random choices, so the seed has no effect."""
    serve(create_weightstore(settings), host, port, grace_s)


@app.command
def objects(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    seed: int = 0,
    grace_s: float = 5.0,
    settings: Annotated[ObjectsSettings | None, Flat] = None,
):
    """Run the object API; it makes no random choices, so the seed has no effect."""
    serve(create_objects(settings), host, port, grace_s)


@app.command
def link(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    settings: Annotated[LinkSettings, Flat],
):
    """Forward TCP connections, delaying the bytes in each direction."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            runner.run(run_link(host, port, settings))
        except OSError as error:
            sys.exit(f"cannot listen on {host}:{port}: {error.strerror}")


def run():
    """Parse the command line and run the chosen stand-in."""
    app()
