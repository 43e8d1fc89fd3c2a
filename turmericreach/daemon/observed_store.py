"""The object API with metrics and events."""

import asyncio

from turmericreach.objectstore import ObjectStore, ObjectStoreError, RateLimited
from turmericreach.telemetry import Metrics, events, log_event
from turmericreach.telemetry import metric_catalogue as metrics

__all__ = ["ObservedStore"]

WATCH = "watch"


class ObservedStore:
    """An `ObjectStore` that counts and times the calls of another one.

    Parameters
    ----------
    store : ObjectStore
    sink : Metrics
    """

    def __init__(self, store: ObjectStore, sink: Metrics):
        self.store = store
        self.sink = sink

    async def get(self, kind, name):
        """Return an object, or None if there is none."""
        return await self.observe("get", self.store.get(kind, name))

    async def list(self, kind):
        """Return all objects of a kind."""
        return await self.observe("list", self.store.list(kind))

    async def put(self, kind, name, value, if_version=None, if_absent=False):
        """Write an object."""
        return await self.observe("put", self.store.put(kind, name, value, if_version, if_absent))

    async def delete(self, kind, name, if_version=None):
        """Remove an object and return whether there was one."""
        return await self.observe("delete", self.store.delete(kind, name, if_version))

    async def watch(self, kind, since, timeout_s):
        """Wait for changes after a revision."""
        return await self.observe(WATCH, self.store.watch(kind, since, timeout_s))

    async def hosts(self):
        """Return the platform's hosts."""
        return await self.observe("hosts", self.store.hosts())

    async def close(self):
        """Close the connections."""
        await self.store.close()

    async def observe(self, kind: str, call):
        """Wait for a call, count its result and time it; a watch waits on purpose."""
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
