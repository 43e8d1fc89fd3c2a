"""Peers of the inner protocol."""

from turmericreach.rpc import Hello, PeerServer, check_protocol


def make_hello(name, protocol):
    return Hello(name, "gateway", "turku", 1, protocol=protocol)


class EchoHandler:
    """Replies to control messages with their body; `checks` also checks the protocol of peers."""

    def __init__(self, protocol, checks=True):
        self.protocol = protocol
        self.checks = checks
        self.bodies = []

    def hello(self, hello):
        if self.checks:
            check_protocol(hello, self.protocol)
        return make_hello("server", self.protocol)

    async def control(self, kind, body):
        self.bodies.append(body)
        return body


async def start_server(handler, ssl=None):
    """Return a started server and its port; call it inside ``capnp.kj_loop()``."""
    server = PeerServer(handler, "127.0.0.1", 0, ssl)
    await server.start()
    return server, server.listener.sockets[0].getsockname()[1]
