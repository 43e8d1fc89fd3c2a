"""Callers that read streams of a gateway event by event."""

from tests.builders.fleet_world import HOST, MODEL
from turmericreach.batches.event_stream import EventParser
from turmericreach.http1 import ConnectFailed, ResponseIncomplete

__all__ = ["StreamCaller"]


class StreamCaller:
    """One stream of a caller, over all of its attempts.

    Attributes
    ----------
    name : str
        Name of the stream; its attempts are numbered.
    attempts : int
        Number of attempts so far.
    event_ids : list of int
        Ids of the events received so far.
    event_data : list of str
        Data of these events.
    first : str
        Id of the attempt that brought the first event, empty if there is none.
    complete : bool
        Whether the last attempt ended as a whole response.
    prefix : str
        Path prefix of the route.
    retry_after : str or None
        When the last attempt may be repeated, as its response says.
    """

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.attempts = 0
        self.event_ids = []
        self.event_data = []
        self.first = ""
        self.complete = False
        self.retry_after = None
        self.connection = None
        self.prefix = "/chat/"

    async def open(self, gateway):
        """Send the next attempt, which resumes after the last event, and return its status.

        The status is 0 if there is no response.
        """
        self.attempts += 1
        self.attempt = f"{self.name}-{self.attempts}"
        fields = [("Host", HOST), ("X-Attempt-Id", self.attempt), ("X-Model", MODEL)]
        fields.append(("X-Deadline-Ms", "3000"))
        if self.event_ids:
            fields.append(("Last-Event-Id", str(self.event_ids[-1])))
            fields.append(("Resumes", self.first))
        self.complete = False
        try:
            self.connection = await self.world.pool.acquire(
                gateway.settings.caller_address, fresh=True
            )
            head = await self.connection.request("POST", f"{self.prefix}{self.name}", fields, b"p")
        except (ConnectFailed, ResponseIncomplete):
            return 0
        self.retry_after = head.headers.get("retry-after")
        return head.status

    async def read(self, number=1000):
        """Read until the response ends or a number of further events has arrived."""
        parser = EventParser()
        wanted = len(self.event_ids) + number
        try:
            async for chunk in self.connection.body_chunks():
                for event in parser.feed(chunk):
                    self.first = self.first or self.attempt
                    self.event_ids.append(event.id)
                    self.event_data.append(event.data)
                if wanted <= len(self.event_ids):
                    return
        except ResponseIncomplete:
            return
        self.complete = True

    async def finish(self, gateway):
        """Send one more attempt, read it to its end, and return its status."""
        status = await self.open(gateway)
        if status == 200:
            await self.read()
        return status

    def close(self):
        """Close the connection of the last attempt."""
        if self.connection is not None:
            self.connection.close()
