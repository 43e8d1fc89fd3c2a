"""Inner protocol between processes: messages, client and server."""

from turmericreach.rpc.client import ChunkHandler, PeerClient, PeerPool
from turmericreach.rpc.errors import (
    PeerDisconnected,
    PeerError,
    PeerFailed,
    PeerIncompatible,
    PeerTimeout,
    PeerUnreachable,
)
from turmericreach.rpc.messages import PROTOCOL_VERSION, Attempt, Hello, check_protocol
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
    "PeerIncompatible",
    "PeerPool",
    "PeerServer",
    "PeerTimeout",
    "PeerUnreachable",
    "check_protocol",
]
