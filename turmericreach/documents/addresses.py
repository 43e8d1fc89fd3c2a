"""Checks of IP addresses and of ``ip:port`` addresses."""

import ipaddress

__all__ = ["MAX_PORT", "is_address", "is_ip"]

MAX_PORT = 65535


def is_ip(text: str) -> bool:
    """Return whether a text is an IPv4 or IPv6 address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def is_address(text: str) -> bool:
    """Return whether a text is ``ip:port``; an IPv6 address may stand in brackets."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit() or len(port) > 5:
        return False
    return 1 <= int(port) <= MAX_PORT and is_ip(host.removeprefix("[").removesuffix("]"))
