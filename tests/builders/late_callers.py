"""Callers that go on sending requests to a gateway while it stops."""

import asyncio

from tests.builders.fleet_world import HOST, MODEL
from turmericreach.http1 import ConnectFailed, ConnectionPool, ResponseIncomplete

__all__ = ["LateCallers", "SentRequest"]

NO_RESPONSE = 0
REFUSED_CONNECTION = -1


class SentRequest:
    """A request and what became of it.

    Attributes
    ----------
    attempt : str
        Id of the request.
    status : int
        Status of the response, or one of the constants of this module.
    """

    def __init__(self, attempt, status):
        self.attempt = attempt
        self.status = status


class LateCallers:
    """Sends requests at a steady rate, each on a new connection or on kept ones.

    Attributes
    ----------
    sent : list of SentRequest
        Requests that have ended, in the order of their ends.
    """

    def __init__(self, address, path, timeout_s, keep=0):
        self.address = address
        self.path = path
        self.timeout_s = timeout_s
        self.pool = ConnectionPool(1.0, max_idle=keep)
        self.sent = []
        self.tasks = []

    async def run(self, interval_s, seconds):
        """Send requests for some seconds and wait for all of their ends."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + seconds
        while loop.time() < end_at:
            attempt = f"{self.path.strip('/').replace('/', '-')}-{len(self.tasks)}"
            self.tasks.append(loop.create_task(self.send(attempt)))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*self.tasks)
        self.pool.close()

    async def send(self, attempt):
        """Send one request and record what became of it."""
        fields = [
            ("Host", HOST),
            ("X-Attempt-Id", attempt),
            ("X-Model", MODEL),
            ("X-Deadline-Ms", str(int(self.timeout_s * 1000))),
        ]
        try:
            async with asyncio.timeout(self.timeout_s + 1.0):
                head, _ = await self.pool.fetch(self.address, "POST", self.path, fields, b"x")
            status = head.status
        except ConnectFailed:
            status = REFUSED_CONNECTION
        except (ResponseIncomplete, TimeoutError):
            status = NO_RESPONSE
        self.sent.append(SentRequest(attempt, status))

    def count(self, status):
        """Return how many requests ended with a status."""
        return sum(request.status == status for request in self.sent)

    def without_response(self, runs):
        """Return the ids of requests that ran and got no response."""
        return [
            request.attempt
            for request in self.sent
            if request.status == NO_RESPONSE and request.attempt in runs
        ]

    def wrongly_refused(self, runs):
        """Return the ids of requests that ran and were answered "not run"."""
        return [
            request.attempt
            for request in self.sent
            if request.status in (408, 421, 429, 503) and request.attempt in runs
        ]
