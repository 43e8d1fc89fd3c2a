"""Options of TCP sockets."""

import socket

__all__ = ["set_socket_options"]

# The kernel closes a connection whose peer acknowledges nothing for this long.
USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def set_socket_options(transport) -> None:
    """Disable Nagle's algorithm, and let the kernel detect a peer that no longer responds."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family != socket.AF_INET:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
