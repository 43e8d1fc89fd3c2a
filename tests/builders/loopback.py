"""A loopback address that only this test process uses.

Ports of 127.0.0.1 are shared with other programs of the host: another test run could bind a port
between its choice and its use here, or poll a port at which a server of this run listens by then.
Linux routes all of 127.0.0.0/8 to the loopback interface.
"""

import ipaddress
import os
import socket

__all__ = ["LOOPBACK", "free_port"]

# Process ids have at most 22 bits, so that each process has an address of its own.
LOOPBACK = str(ipaddress.IPv4Address("127.64.0.0") + os.getpid())
chosen_ports: set[int] = set()


def free_port() -> int:
    """Return a port of `LOOPBACK` at which nothing listens, a new one at each call."""
    while True:
        with socket.socket() as probe:
            probe.bind((LOOPBACK, 0))
            port = probe.getsockname()[1]
        if port in chosen_ports:
            continue
        chosen_ports.add(port)
        return port
