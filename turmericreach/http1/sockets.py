"""Options of TCP sockets."""

import fcntl
import socket
import struct
import termios

__all__ = [
    "LARGE_MESSAGE_BYTES",
    "allow_slow_reader",
    "set_socket_options",
    "unacknowledged_bytes",
]

# The kernel closes a connection whose peer acknowledges nothing for this long.
USER_TIMEOUT_MS = 2000
# The kernel counts the time for which a living peer that reads slowly has its window closed, too.
SLOW_READER_TIMEOUT_MS = 30_000
# Smaller messages fit into the windows of all peers.
LARGE_MESSAGE_BYTES = 16_384
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


def allow_slow_reader(transport, allowed: bool) -> None:
    """Set whether the peer of a connection may read what is sent to it slowly.

    While it may, the loss of the peer is detected later.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family != socket.AF_INET:
        return
    timeout_ms = SLOW_READER_TIMEOUT_MS if allowed else USER_TIMEOUT_MS
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def unacknowledged_bytes(transport) -> int:
    """Return the number of written bytes that the peer has not acknowledged."""
    unsent = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return unsent
    queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    return unsent + struct.unpack("i", queued)[0]
