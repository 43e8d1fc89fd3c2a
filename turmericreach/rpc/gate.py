"""Rejection of calls from a peer whose hello was not accepted."""

from turmericreach.rpc.errors import PeerIncompatible
from turmericreach.rpc.messages import Hello

__all__ = ["HelloGate"]


class HelloGate:
    """A `PeerHandler` for one connection, which forwards calls only after a hello was accepted.

    Parameters
    ----------
    handler : PeerHandler
        Receives the calls; its `hello` raises `PeerIncompatible` to reject the peer.
    """

    def __init__(self, handler):
        self.handler = handler
        self.accepted = False

    def hello(self, hello: Hello) -> Hello:
        """Exchange identities."""
        reply = self.handler.hello(hello)
        self.accepted = True
        return reply

    def require_hello(self):
        """Reject a call of a peer whose hello was not accepted."""
        if not self.accepted:
            raise PeerIncompatible("no hello was accepted on this connection")

    async def submit(self, *arguments):
        """Run an attempt."""
        self.require_hello()
        return await self.handler.submit(*arguments)

    async def settle(self, *arguments):
        """Settle an attempt."""
        self.require_hello()
        return await self.handler.settle(*arguments)

    async def cancel(self, *arguments):
        """Cancel an attempt."""
        self.require_hello()
        await self.handler.cancel(*arguments)

    async def control(self, *arguments):
        """Handle a control message."""
        self.require_hello()
        return await self.handler.control(*arguments)
