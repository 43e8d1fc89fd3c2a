"""Metrics and events of the calls to the object API."""

import asyncio

from turmericreach.objectstore import ObjectStore, ObjectStoreError, RateLimited
from turmericreach.telemetry import Metrics, events, log_event
from turmericreach.telemetry import metric_catalogue as metrics

__all__ = ["ObservedStore"]

WATCH = "watch"


class ObservedStore:
    """An `ObjectStore` that passes its calls on to another one and measures them.

    Parameters
    ----------
    store : ObjectStore
        Receives the calls.
    sink : Metrics
        Receives the number of calls by result, and their duration.
    """

    def __init__(self, store: ObjectStore, sink: Metrics):
        self.store = store
        self.sink = sink

    async def get(self, kind, name):
        """Return an object, or None if it does not exist."""
        return await self.measure("get", self.store.get(kind, name))

    async def list(self, kind):
        """Return all objects of a kind."""
        return await self.measure("list", self.store.list(kind))

    async def put(self, kind, name, value, if_version=None, if_absent=False):
        """Write an object, optionally on a condition on its version."""
        return await self.measure("put", self.store.put(kind, name, value, if_version, if_absent))

    async def delete(self, kind, name, if_version=None):
        """Delete an object and return whether it existed."""
        return await self.measure("delete", self.store.delete(kind, name, if_version))

    async def watch(self, kind, since, timeout_s):
        """Wait for changes of a kind after a revision and return them."""
        return await self.measure(WATCH, self.store.watch(kind, since, timeout_s))

    async def hosts(self):
        """Return the hosts that the platform lists."""
        return await self.measure("hosts", self.store.hosts())

    async def close(self):
        """Close the connections."""
        await self.store.close()

    async def measure(self, kind: str, call):
        """Await a call, count its result and time it, except a watch, which waits for events."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        result = "ok"
        try:
            return await call
        except RateLimited as error:
            result = type(error).__name__
            log_event(events.PLATFORM_RATE_LIMITED, seconds=error.retry_after_s)
            raise
        except ObjectStoreError as error:
            result = type(error).__name__
            raise
        finally:
            self.sink.count(metrics.PLATFORM_CALLS, kind=kind, result=result)
            if kind != WATCH:
                self.sink.timing(metrics.PLATFORM_TIME, loop.time() - started, kind=kind)
