"""Checks of IP addresses and of ``ip:port`` addresses."""

import ipaddress

from turmericreach.http1.numbers import read_number

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
    number = read_number(port, max_digits=5)
    if not colon or number is None:
        return False
    return 1 <= number <= MAX_PORT and is_ip(host.removeprefix("[").removesuffix("]"))
