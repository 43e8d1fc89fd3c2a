"""Another gateway that responds to forwarded requests with a prepared status, or not at all."""

import asyncio

from tests.builders.loopback import LOOPBACK
from turmericreach.coordination.peer import Peer
from turmericreach.http1 import HttpServer

__all__ = ["ABORT", "SILENCE", "ScriptedPeer", "closed_peer"]

# Behaviours in place of a status: the connection is closed, or left open without a response.
ABORT = "abort"
SILENCE = "silence"


def list_peer(gateway, host, address):
    """Let a gateway take an address for that of another gateway that reaches the store."""
    now = asyncio.get_running_loop().time()
    gateway.peers.peers[host] = Peer(host, address, f"run of {host}", now)


def closed_peer(gateway, host, port):
    """List a gateway at a port where nothing listens."""
    list_peer(gateway, host, f"{LOOPBACK}:{port}")


class ScriptedPeer:
    """Behaves in the same way on each request.

    Attributes
    ----------
    requests : list of str
        Methods and paths of the forwarded requests that arrived.
    """

    def __init__(self, host, behaviour):
        self.host = host
        self.behaviour = behaviour
        self.requests = []
        self.server = HttpServer(self.handle)

    async def start(self, gateway):
        """Listen on a free port, and list this peer at a gateway."""
        port = await self.server.start(f"{LOOPBACK}:0")
        list_peer(gateway, self.host, f"{LOOPBACK}:{port}")
        return self

    async def stop(self):
        """Stop listening."""
        await self.server.stop()

    async def handle(self, request, responder):
        """Respond to a request as the behaviour asks."""
        if request.path.startswith("/peer/"):
            responder.send(404)
            return
        self.requests.append(f"{request.method} {request.path}")
        if self.behaviour == ABORT:
            responder.abort()
        elif self.behaviour == SILENCE:
            await request.disconnected.wait()
        else:
            responder.send(self.behaviour)
