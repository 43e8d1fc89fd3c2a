"""Which process runs a lot or gives orders when their holder is gone."""

from collections.abc import Iterable

import xxhash

__all__ = ["choose_successor"]


def choose_successor(subject: str, hosts: Iterable[str]) -> str | None:
    """Return the host that takes over a subject by rendezvous hashing, or None.

    All hosts that agree on who is alive agree on the successor; where they do not, a conditional
    write in the store lets only one take over.
    """
    best, best_key = None, None
    for host in hosts:
        key = (xxhash.xxh64_intdigest(f"{subject}/{host}".encode()), host)
        if best_key is None or key > best_key:
            best, best_key = host, key
    return best
