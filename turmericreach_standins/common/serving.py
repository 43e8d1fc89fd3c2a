"""Serves a stand-in with uvicorn, as a process or inside a running event loop."""

import asyncio
import contextlib
import signal
import socket

import attrs
import uvicorn

__all__ = ["Exchange", "RunningServer", "StandIn", "serve_process", "start_in_process"]

# Larger bodies are refused, so that a test cannot exhaust the memory of a stand-in.
MAX_BODY_BYTES = 64 * 1024 * 1024


class Exchange:
    """One HTTP request and its answer, at the level of ASGI.

    It reads the request body whole, cancels the handler when the client closes the
    connection (if `cancels`), and lets a handler close the connection without an answer.
    """

    def __init__(self, receive, send, cancels):
        self.receive_next = receive
        self.send_next = send
        self.cancels = cancels
        self.body = b""
        self.body_given = False
        self.dropped = False
        self.complete = False
        self.declared_extra = 0
        self.on_close = []
        self.disconnected = asyncio.Event()

    @property
    def transport(self):
        """Transport of the connection.

        ASGI has no message that closes a connection without an answer, and uvicorn
        answers 500 for a handler that sends nothing, so this uses uvicorn's own object.
        """
        return self.send_next.__self__.transport

    def drop(self):
        """Close the connection after the bytes already written; send nothing more."""
        self.dropped = True
        self.transport.close()

    def truncate(self, missing_bytes):
        """Declare `missing_bytes` more than the answer has, then close the connection."""
        self.declared_extra = missing_bytes

    async def read_body(self):
        """Read the request body; return False if it is too large or the client left."""
        parts = []
        size = 0
        while True:
            message = await self.receive_next()
            if message["type"] != "http.request":
                return False
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if size > MAX_BODY_BYTES:
                self.drop()
                return False
            if not message.get("more_body", False):
                self.body = b"".join(parts)
                return True

    async def receive(self):
        """ASGI receive for the application."""
        if not self.body_given:
            self.body_given = True
            return {"type": "http.request", "body": self.body, "more_body": False}
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message):
        """ASGI send for the application."""
        if self.dropped:
            return
        if self.declared_extra and message["type"] == "http.response.start":
            message["headers"] = [self.lengthened(*pair) for pair in message["headers"]]
        last = message["type"] == "http.response.body" and not message.get("more_body", False)
        if last and self.declared_extra:
            await self.send_next({**message, "more_body": True})
            self.drop()
            return
        self.complete = self.complete or last
        await self.send_next(message)

    def lengthened(self, name, value):
        """Return a header, with the content length raised by the missing bytes."""
        if name.lower() != b"content-length":
            return name, value
        return name, str(int(value) + self.declared_extra).encode()

    async def watch(self, task):
        """Wait for the end of the connection, then cancel the handler if it must not go on."""
        while (await self.receive_next())["type"] != "http.disconnect":
            continue
        self.disconnected.set()
        if self.cancels and not self.complete and not self.dropped:
            task.cancel()

    async def run(self, application, scope):
        """Run the application for this request."""
        if not await self.read_body():
            await self.wait_closed()
            return
        scope["turmericreach.exchange"] = self
        task = asyncio.ensure_future(application(scope, self.receive, self.send))
        watcher = asyncio.ensure_future(self.watch(task))
        try:
            await asyncio.wait([task])
            if not task.cancelled():
                task.result()
        finally:
            watcher.cancel()
            task.cancel()
            for callback in self.on_close:
                callback()
            if self.dropped:
                await self.wait_closed()

    async def wait_closed(self):
        """Wait until uvicorn has seen the end of the connection.

        Returning earlier would make it write an error answer of its own.
        """
        while not self.disconnected.is_set():
            if (await self.receive_next())["type"] == "http.disconnect":
                self.disconnected.set()


class StandIn:
    """An ASGI application around a blacksheep application.

    Parameters
    ----------
    application : blacksheep.Application
        Handles the requests.
    cancels : callable
        Takes an ASGI scope and tells whether a client that closes the connection cancels
        the handler. Other handlers go on, as those of a service that runs an order do.
    """

    def __init__(self, application, cancels=lambda scope: False):
        self.application = application
        self.cancels = cancels
        self.on_stop = []

    async def __call__(self, scope, receive, send):
        """Serve one ASGI connection scope."""
        if scope["type"] != "http":
            await self.application(scope, receive, send)
            return
        await Exchange(receive, send, self.cancels(scope)).run(self.application, scope)


class Server(uvicorn.Server):
    """A uvicorn server that leaves the signal handlers of the process alone."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Capture no signals."""
        yield


@attrs.define
class RunningServer:
    """A stand-in that serves inside the running event loop."""

    host: str
    port: int
    server: uvicorn.Server
    task: asyncio.Task
    stand_in: StandIn

    @property
    def url(self):
        """Base address, without a slash at the end."""
        return f"http://{self.host}:{self.port}"

    async def stop(self):
        """Stop accepting, give open requests a moment, then close their connections."""
        for callback in self.stand_in.on_stop:
            callback()
        self.server.should_exit = True
        await self.task
        self.abort_connections()

    async def kill(self):
        """Close all connections at once, as the end of a process would, and stop."""
        for listener in self.server.servers:
            listener.close()
        self.abort_connections()
        self.server.should_exit = True
        self.server.force_exit = True
        await self.task
        self.abort_connections()

    def abort_connections(self):
        """Close the connections that are open; uvicorn leaves those open whose time is over."""
        for connection in list(self.server.server_state.connections):
            connection.transport.abort()


def server_config(stand_in, grace_s):
    return uvicorn.Config(
        stand_in,
        interface="asgi3",
        http="httptools",
        ws="none",
        log_level="critical",
        access_log=False,
        proxy_headers=False,
        timeout_graceful_shutdown=grace_s,
    )


def bind(host, port):
    listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.setblocking(False)
    return listener


async def start_in_process(stand_in, port=0, host="127.0.0.1", grace_s=0.2):
    """Serve a stand-in inside the running event loop.

    Parameters
    ----------
    stand_in : StandIn
        What to serve.
    port : int
        TCP port; 0 picks a free one.
    host : str
        Address to listen on.
    grace_s : float
        Time that open requests get at the stop, in seconds.

    Returns
    -------
    RunningServer
        Its `host`, `port` and `url` name the address; await its `stop()` to end it.
    """
    listener = bind(host, port)
    bound = listener.getsockname()[1]
    server = Server(server_config(stand_in, grace_s))
    task = asyncio.ensure_future(server.serve(sockets=[listener]))
    while not server.started:
        if task.done():
            task.result()
        await asyncio.sleep(0.005)
    return RunningServer(host, bound, server, task, stand_in)


async def serve_process(stand_in, host, port, grace_s):
    """Serve until SIGTERM or SIGINT, then let open requests end for up to `grace_s` seconds."""
    loop = asyncio.get_running_loop()
    running = await start_in_process(stand_in, port, host, grace_s)
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    print(f"listening on {running.host}:{running.port}", flush=True)
    await stopping.wait()
    await running.stop()
