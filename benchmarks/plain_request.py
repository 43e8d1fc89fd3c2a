"""CPU time that a server spends on a plain request, from the received bytes to the response.

Usage: ``python -m benchmarks.plain_request``. Prints the least of several runs, in microseconds.
"""

import asyncio
import time

from turmericreach.http1 import HttpServer
from turmericreach.http1.server import ServerConnection

REQUESTS = 20_000
RUNS = 7
REQUEST = (
    b"POST /lookup/1 HTTP/1.1\r\nHost: models.example\r\nX-Attempt-Id: a1\r\n"
    b"X-Deadline-Ms: 1000\r\nContent-Type: application/json\r\nContent-Length: 64\r\n\r\n"
) + b"x" * 64


class DiscardingTransport:
    """A transport that discards what is written and never has a full send buffer."""

    def write(self, data):
        """Discard bytes."""

    def get_extra_info(self, name):
        """Return None: there is no socket."""

    def get_write_buffer_size(self):
        """Return the size of the empty send buffer."""
        return 0

    def pause_reading(self):
        """Do nothing."""

    def resume_reading(self):
        """Do nothing."""

    def close(self):
        """Do nothing."""


async def respond(request, responder):
    """Send an empty response."""
    responder.send(200)


async def measure() -> float:
    """Return the CPU time of one request in microseconds."""
    connection = ServerConnection(HttpServer(respond))
    connection.connection_made(DiscardingTransport())
    began = time.process_time()
    for _ in range(REQUESTS):
        connection.data_received(REQUEST)
        await connection.handler_task
    return (time.process_time() - began) / REQUESTS * 1e6


if __name__ == "__main__":
    print(f"{min(asyncio.run(measure()) for _ in range(RUNS)):.1f} us")
