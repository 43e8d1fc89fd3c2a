"""Calls that the tests make to stand-ins."""

import asyncio
import contextlib

import msgspec

from turmericreach_standins import start_in_process


@contextlib.asynccontextmanager
async def serving(stand_in):
    server = await start_in_process(stand_in)
    try:
        yield server
    finally:
        await server.stop()


async def send(server, method, path, body=None, headers=None):
    """Open a connection and send one request; returns the reader and the writer."""
    data = body if isinstance(body, bytes) else b"" if body is None else msgspec.json.encode(body)
    lines = [f"{method} {path} HTTP/1.1", "Host: standin", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(data)}")
    reader, writer = await asyncio.open_connection(server.host, server.port)
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
    return reader, writer


async def raw(server, method, path, body=None, headers=None):
    """Return all bytes of the answer; empty when the connection closed without one."""
    reader, writer = await send(server, method, path, body, headers)
    try:
        return await asyncio.wait_for(reader.read(), 10)
    finally:
        writer.close()


async def call(server, method, path, body=None, headers=None):
    """Return the status, the headers and the body (JSON decoded) of an answer."""
    head, _, content = (await raw(server, method, path, body, headers)).partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    found = dict(line.lower().split(": ", 1) for line in lines[1:])
    if found.get("transfer-encoding") == "chunked":
        content = b"".join(content.split(b"\r\n")[1:-3:2])
    if found.get("content-type") == "application/json":
        content = msgspec.json.decode(content)
    return int(lines[0].split()[1]), found, content


async def set_faults(server, **faults):
    status, _, _ = await call(server, "POST", "/standin/faults", faults)
    assert status == 200


async def until(probe, *arguments):
    """Call an async probe until it returns something true."""
    for _ in range(500):
        if found := await probe(*arguments):
            return found
        await asyncio.sleep(0.01)
    raise AssertionError(f"{probe} stayed false")


async def running_of(server):
    """Return how many executions the load report shows."""
    return (await call(server, "GET", "/v1/load"))[2]["running"]
