"""Helpers that serve stand-ins and send requests to them."""

import asyncio
import contextlib

import msgspec

from turmericreach_standins import start_in_process


@contextlib.asynccontextmanager
async def serving(stand_in):
    """Serve a stand-in for the duration of the context."""
    server = await start_in_process(stand_in)
    try:
        yield server
    finally:
        await server.stop()


async def send(server, method, path, body=None, headers=None):
    """Open a connection and send one request; return the reader and the writer."""
    data = body if isinstance(body, bytes) else b"" if body is None else msgspec.json.encode(body)
    lines = [f"{method} {path} HTTP/1.1", "Host: standin", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(data)}")
    reader, writer = await asyncio.open_connection(server.host, server.port)
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
    return reader, writer


async def read_raw(server, method, path, body=None, headers=None):
    """Send a request; return the bytes of the response, none if the connection closed without."""
    reader, writer = await send(server, method, path, body, headers)
    try:
        return await asyncio.wait_for(reader.read(), 10)
    finally:
        writer.close()


async def call(server, method, path, body=None, headers=None):
    """Send a request; return the status, the headers and the body of the response.

    Names and values of the headers are in lower case; a JSON body is decoded.
    """
    head, _, content = (await read_raw(server, method, path, body, headers)).partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    response_headers = dict(line.lower().split(": ", 1) for line in lines[1:])
    if response_headers.get("transfer-encoding") == "chunked":
        content = b"".join(content.split(b"\r\n")[1:-3:2])
    if response_headers.get("content-type") == "application/json":
        content = msgspec.json.decode(content)
    return int(lines[0].split()[1]), response_headers, content


async def set_faults(server, **faults):
    """Set faults of a stand-in; a value of None removes a fault."""
    status, _, _ = await call(server, "POST", "/standin/faults", faults)
    assert status == 200


async def wait_until(probe, *arguments):
    """Call an async probe until its result is true, for about 5 s at most; return the result."""
    for _ in range(500):
        if result := await probe(*arguments):
            return result
        await asyncio.sleep(0.01)
    raise AssertionError(f"{probe} was never true")


async def get_running_count(server):
    """Return the number of running executions in the load report."""
    return (await call(server, "GET", "/v1/load"))[2]["running"]
