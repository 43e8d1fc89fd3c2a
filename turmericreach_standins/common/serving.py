"""Serving of a stand-in with uvicorn, as a process or inside a running event loop."""

import asyncio
import contextlib
import signal
import socket

import attrs
import uvicorn

__all__ = ["Exchange", "RunningServer", "StandIn", "serve_process", "start_in_process"]

# The connection of a request with a larger body is closed, so that a test cannot exhaust the
# memory of a stand-in.
MAX_BODY_BYTES = 64 * 1024 * 1024


class Exchange:
    """One HTTP request and its response, at the level of ASGI.

    It reads the whole request body before the handler runs, and lets the handler truncate
    the response or close the connection without one.

    Parameters
    ----------
    receive, send : callable
        The ASGI functions of the server.
    cancels : bool
        Whether the handler is cancelled when the client closes the connection.

    Attributes
    ----------
    dropped : bool
        Whether the connection was closed on purpose; nothing more is sent then.
    complete : bool
        Whether the whole response was sent.
    missing_bytes : int
        Bytes by which the declared length of the response exceeds its body.
    on_end : list of callable
        Called when the handler has ended.
    disconnected : asyncio.Event
        Set when the server has reported the end of the connection.
    """

    def __init__(self, receive, send, cancels):
        self.asgi_receive = receive
        self.asgi_send = send
        self.cancels = cancels
        self.body = b""
        self.body_delivered = False
        self.dropped = False
        self.complete = False
        self.missing_bytes = 0
        self.on_end = []
        self.disconnected = asyncio.Event()

    @property
    def transport(self):
        """Transport of the connection.

        ASGI has no message that closes a connection without a response, and uvicorn
        sends status 500 for a handler that sends nothing, so this uses uvicorn's own object.
        """
        return self.asgi_send.__self__.transport

    def drop(self):
        """Close the connection after the bytes already written, and send nothing more."""
        self.dropped = True
        self.transport.close()

    def truncate(self, missing_bytes):
        """Declare a body longer by `missing_bytes` than the one sent, then close the connection."""
        self.missing_bytes = missing_bytes

    async def read_body(self):
        """Read the request body; return False if it is too large or the client disconnected."""
        chunks = []
        size = 0
        while True:
            message = await self.asgi_receive()
            if message["type"] != "http.request":
                return False
            chunks.append(message.get("body", b""))
            size += len(chunks[-1])
            if size > MAX_BODY_BYTES:
                self.drop()
                return False
            if not message.get("more_body", False):
                self.body = b"".join(chunks)
                return True

    async def receive(self):
        """Receive an ASGI message; passed to the application."""
        if not self.body_delivered:
            self.body_delivered = True
            return {"type": "http.request", "body": self.body, "more_body": False}
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message):
        """Send an ASGI message; passed to the application."""
        if self.dropped:
            return
        if self.missing_bytes and message["type"] == "http.response.start":
            message["headers"] = [self.with_declared_length(*pair) for pair in message["headers"]]
        last = message["type"] == "http.response.body" and not message.get("more_body", False)
        if last and self.missing_bytes:
            await self.asgi_send({**message, "more_body": True})
            self.drop()
            return
        self.complete = self.complete or last
        await self.asgi_send(message)

    def with_declared_length(self, name, value):
        """Return a header, with `missing_bytes` added if it is the content length."""
        if name.lower() != b"content-length":
            return name, value
        return name, str(int(value) + self.missing_bytes).encode()

    async def cancel_on_disconnect(self, task):
        """Wait for the end of the connection, then cancel an unfinished handler if `cancels`."""
        while (await self.asgi_receive())["type"] != "http.disconnect":
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
        watcher = asyncio.ensure_future(self.cancel_on_disconnect(task))
        try:
            await asyncio.wait([task])
            if not task.cancelled():
                task.result()
        finally:
            watcher.cancel()
            task.cancel()
            for callback in self.on_end:
                callback()
            if self.dropped:
                await self.wait_closed()

    async def wait_closed(self):
        """Wait until uvicorn has reported the end of the connection.

        If the application returned earlier, uvicorn would send an error response of its own.
        """
        while not self.disconnected.is_set():
            if (await self.asgi_receive())["type"] == "http.disconnect":
                self.disconnected.set()


class StandIn:
    """An ASGI application around a blacksheep application.

    Parameters
    ----------
    application : blacksheep.Application
        Handles the requests.
    cancels : callable
        Takes an ASGI scope and returns whether the handler is cancelled when the client
        closes the connection. Other handlers run to their end, as those of a service that
        executes an order do.

    Attributes
    ----------
    on_stop : list of callable
        Called before the server stops.
    """

    def __init__(self, application, cancels=lambda scope: False):
        self.application = application
        self.cancels = cancels
        self.on_stop = []

    async def __call__(self, scope, receive, send):
        """Handle one ASGI scope."""
        if scope["type"] != "http":
            await self.application(scope, receive, send)
            return
        await Exchange(receive, send, self.cancels(scope)).run(self.application, scope)


class Server(uvicorn.Server):
    """A uvicorn server that does not replace the signal handlers of the process."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Do nothing, where uvicorn would install its signal handlers."""
        yield


@attrs.define
class RunningServer:
    """A stand-in that is served inside the running event loop.

    Attributes
    ----------
    host : str
        Address that it listens on.
    port : int
        TCP port that it listens on.
    server : uvicorn.Server
        The server of the stand-in.
    task : asyncio.Task
        Task that runs the server.
    stand_in : StandIn
        The application that is served.
    """

    host: str
    port: int
    server: uvicorn.Server
    task: asyncio.Task
    stand_in: StandIn

    @property
    def url(self):
        """Base URL, without a trailing slash."""
        return f"http://{self.host}:{self.port}"

    async def stop(self):
        """Stop accepting, give open requests the grace time to end, then close connections."""
        for callback in self.stand_in.on_stop:
            callback()
        self.server.should_exit = True
        await self.task
        self.abort_connections()

    async def kill(self):
        """Close all connections at once, as the death of the process would, and stop."""
        for listener in self.server.servers:
            listener.close()
        self.abort_connections()
        self.server.should_exit = True
        self.server.force_exit = True
        await self.task
        self.abort_connections()

    def abort_connections(self):
        """Close open connections; uvicorn leaves those open that outlast the grace time."""
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


def open_listener(host, port):
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
        Application to serve.
    port : int
        TCP port; 0 selects a free one.
    host : str
        Address to listen on.
    grace_s : float
        Seconds that open requests have to end when the server stops.

    Returns
    -------
    RunningServer
        The server; its caller must await `RunningServer.stop` or `RunningServer.kill`.
    """
    listener = open_listener(host, port)
    bound_port = listener.getsockname()[1]
    server = Server(server_config(stand_in, grace_s))
    task = asyncio.ensure_future(server.serve(sockets=[listener]))
    while not server.started:
        if task.done():
            task.result()
        await asyncio.sleep(0.005)
    return RunningServer(host, bound_port, server, task, stand_in)


async def serve_process(stand_in, host, port, grace_s):
    """Serve until SIGTERM or SIGINT, then give open requests up to `grace_s` seconds to end."""
    loop = asyncio.get_running_loop()
    running = await start_in_process(stand_in, port, host, grace_s)
    stopping = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    print(f"listening on {running.host}:{running.port}", flush=True)
    await stopping.wait()
    await running.stop()
