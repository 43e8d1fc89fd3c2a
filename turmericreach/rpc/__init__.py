"""The inner protocol between daemons: messages, client and server."""

from turmericreach.rpc.client import ChunkHandler, PeerClient, PeerPool
from turmericreach.rpc.errors import (
    PeerDisconnected,
    PeerError,
    PeerFailed,
    PeerTimeout,
    PeerUnreachable,
)
from turmericreach.rpc.messages import PROTOCOL_VERSION, Attempt, Hello
from turmericreach.rpc.server import ChunkWriter, PeerHandler, PeerServer

__all__ = [
    "PROTOCOL_VERSION",
    "Attempt",
    "ChunkHandler",
    "ChunkWriter",
    "Hello",
    "PeerClient",
    "PeerDisconnected",
    "PeerError",
    "PeerFailed",
    "PeerHandler",
    "PeerPool",
    "PeerServer",
    "PeerTimeout",
    "PeerUnreachable",
]
