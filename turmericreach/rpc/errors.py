"""Errors of calls to other processes, distinguished by whether the call may have arrived."""

from turmericreach.verdicts import TurmericreachError

__all__ = [
    "PeerDisconnected",
    "PeerError",
    "PeerFailed",
    "PeerIncompatible",
    "PeerTimeout",
    "PeerUnreachable",
]


class PeerError(TurmericreachError):
    """A call to another process failed."""


class PeerUnreachable(PeerError):
    """No connection could be made, so nothing was sent."""


class PeerIncompatible(PeerUnreachable):
    """The peer speaks a protocol version that is not adjacent; nothing but the hello was sent."""


class PeerDisconnected(PeerError):
    """The connection ended after the call was sent; the peer may have acted on it."""


class PeerTimeout(PeerError):
    """No reply within the timeout; the peer may have acted on the call."""


class PeerFailed(PeerError):
    """The peer raised an exception while it handled the call; it may have acted on it."""
