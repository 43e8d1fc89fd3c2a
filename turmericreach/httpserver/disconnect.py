"""Cancellation of requests whose caller has disconnected."""

import asyncio

__all__ = ["CancelOnDisconnect", "on_request_end"]

CALLBACKS = "turmericreach.on_end"


def on_request_end(scope: dict, callback) -> None:
    """Register a function that is called when a request has ended in any way.

    If the caller disconnects before a streamed response has started, no ``finally`` clause of
    its generator runs.
    """
    scope.setdefault(CALLBACKS, []).append(callback)


class CancelOnDisconnect:
    """ASGI wrapper that cancels the application when the caller closes the connection.

    uvicorn ignores writes to a closed connection. Without this wrapper, the stream of a
    disconnected caller would occupy its slot at the target until its end.

    Parameters
    ----------
    app : callable
        ASGI application.
    """

    def __init__(self, app):
        self.app = app

    async def __call__(self, scope, receive, send):
        """Run the application, then the functions registered with `on_request_end`."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        body_read = asyncio.Event()

        async def receive_body():
            message = await receive()
            if message["type"] == "http.disconnect" or not message.get("more_body", False):
                body_read.set()
            return message

        try:
            await self.run(scope, receive, receive_body, send, body_read)
        finally:
            for callback in scope.pop(CALLBACKS, []):
                callback()

    async def run(self, scope, receive, receive_body, send, body_read):
        """Run the application until it ends or its caller disconnects."""
        run = asyncio.ensure_future(self.app(scope, receive_body, send))
        watch = asyncio.ensure_future(wait_for_disconnect(body_read, receive))
        try:
            await asyncio.wait([run, watch], return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            run.cancel()
            raise
        finally:
            watch.cancel()
        if not run.done():
            run.cancel()
        try:
            await run
        except asyncio.CancelledError:
            return


async def wait_for_disconnect(body_read: asyncio.Event, receive) -> None:
    """Return when the caller has disconnected after its body was read."""
    await body_read.wait()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
