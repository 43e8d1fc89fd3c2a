"""Tests of connections between processes over real sockets."""

import asyncio

import capnp
import pytest

from demo.layout import IP, free_ports
from turmericreach.rpc import Hello, PeerPool, PeerServer

LIMIT_S = 5.0


class Handler:
    """A peer that only exchanges identities."""

    def __init__(self, incarnation: int):
        self.incarnation = incarnation

    def hello(self, hello: Hello) -> Hello:
        return Hello("agent-1", "agent", "local", self.incarnation)


def own_hello() -> Hello:
    return Hello("gateway-1", "gateway", "local", 1)


@pytest.mark.parametrize("restarts", [1, 2])
async def test_a_restarted_peer_gets_a_new_connection(restarts):
    """Guards against attempts sent to the former incarnation after a planned restart (G8)."""
    (port,) = free_ports(1)
    async with capnp.kj_loop(), asyncio.timeout(LIMIT_S):
        pool = PeerPool(own_hello)
        for incarnation in range(1, 2 + restarts):
            server = PeerServer(Handler(incarnation), IP, port)
            await server.start()
            client = await pool.get(f"{IP}:{port}")
            assert client.peer.incarnation == incarnation
            await server.stop()
            await asyncio.wait([client.watch])
        pool.close()
