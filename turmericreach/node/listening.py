"""Binding of servers to the addresses in the settings."""

import asyncio
import errno

from turmericreach.http1 import HttpServer
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["ListenError", "start_listening"]

# An outgoing connection may hold the port for a moment, and a previous process that is stopping
# releases it within this time.
RETRY_FOR_S = 2.0
RETRY_PAUSE_S = 0.05


class ListenError(Exception):
    """An address in the settings cannot be bound.

    Attributes
    ----------
    address : str
        ``ip:port``.
    reason : str
        Error text of the operating system.
    """

    def __init__(self, address: str, reason: str):
        super().__init__(f"{address}: {reason}")
        self.address = address
        self.reason = reason


async def start_listening(server: HttpServer, address: str) -> None:
    """Start a server, retrying for `RETRY_FOR_S` seconds while its address is in use.

    Raises
    ------
    ListenError
        If the address stays in use or cannot be bound on this host.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    logged = False
    while True:
        try:
            await server.start(address)
            return
        except OSError as error:
            if error.errno != errno.EADDRINUSE or loop.time() - began >= RETRY_FOR_S:
                raise ListenError(address, error.strerror or str(error)) from error
        if not logged:
            log_event(events.ADDRESS_IN_USE, address=address, seconds=RETRY_FOR_S)
            logged = True
        await asyncio.sleep(RETRY_PAUSE_S)
