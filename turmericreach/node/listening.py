"""Listening at the addresses that the settings name."""

import asyncio
import errno

from turmericreach.http1 import HttpServer
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["NotListening", "start_listening"]

# An outgoing connection may hold the port for a moment; a former process ends within this time.
RETRY_FOR_S = 2.0
RETRY_PAUSE_S = 0.05


class NotListening(Exception):
    """An address that the settings name cannot be listened at.

    Attributes
    ----------
    address : str
        ``ip:port``.
    reason : str
        What the system answered.
    """

    def __init__(self, address: str, reason: str):
        super().__init__(f"{address}: {reason}")
        self.address = address
        self.reason = reason


async def start_listening(server: HttpServer, address: str) -> None:
    """Start a server; wait a while for an address that is in use.

    Raises
    ------
    NotListening
        If the address stays in use, or is not one of this host.
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
                raise NotListening(address, error.strerror or str(error)) from error
        if not logged:
            log_event(events.ADDRESS_IN_USE, address=address, seconds=RETRY_FOR_S)
            logged = True
        await asyncio.sleep(RETRY_PAUSE_S)
