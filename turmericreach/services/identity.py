"""Verification that a connection leads to the listed run of a target."""

import asyncio

from turmericreach.http1 import ClientConnection, ConnectFailed, ResponseIncomplete
from turmericreach.platform import targets as wire
from turmericreach.platform.decoding import DecodeError
from turmericreach.platform.names import REPORT_PATH
from turmericreach.services.directory import TargetDirectory
from turmericreach.services.target import Target
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["verify_run"]

REPORT_TIMEOUT_S = 0.5


async def verify_run(
    connection: ClientConnection, target: Target, directory: TargetDirectory
) -> None:
    """Check that a new connection leads to the listed run of a target, where that matters.

    A target may start again under its id and address with another software version, and a process
    whose entries are old would take it for the former run. A connection ends with the run that it
    leads to, so each is checked once, and only while a service has several software versions.

    Raises
    ------
    ConnectFailed
        If the other end is another run, or does not say which one it is. The connection is closed.
    """
    record = target.record
    now = asyncio.get_running_loop().time()
    if not record.started_ms or not directory.software.is_mixed(record.service, now):
        return
    if connection.verified_run == record.run:
        return
    try:
        started_ms = await read_start(connection)
    except (ResponseIncomplete, DecodeError, TimeoutError) as error:
        connection.close()
        raise ConnectFailed(f"{target.id} sent no report: {error}") from error
    if started_ms not in (0, record.started_ms):
        connection.close()
        log_event(
            events.TARGET_RUN_CHANGED,
            target=target.id,
            service=record.service,
            started_ms=started_ms,
            listed_ms=record.started_ms,
        )
        raise ConnectFailed(f"{target.id} has started again")
    connection.verified_run = record.run


async def read_start(connection: ClientConnection) -> int:
    """Return the start time of the target at the other end, in Unix milliseconds, 0 if unknown."""
    async with asyncio.timeout(REPORT_TIMEOUT_S):
        head = await connection.request(
            "GET", REPORT_PATH, wire.report_fields(), b"", wire.echo_field()
        )
        body = await connection.read_body()
    if head.status != 200:
        raise ResponseIncomplete(f"status {head.status}")
    return wire.decode_report(body).started_ms
