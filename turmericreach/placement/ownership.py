"""Which process runs something, and which one follows when it is gone."""

from collections.abc import Iterable, Mapping

import xxhash

__all__ = ["choose_owner", "choose_successor"]

# Hosts with less of the largest host's processor time run nothing for others.
CORES_SHARE = 0.6


def choose_successor(subject: str, hosts: Iterable[str]) -> str | None:
    """Return the host that takes a subject by rendezvous hashing, or None.

    All hosts that agree on who is alive agree on the successor; where they do not, a conditional
    write in the store lets only one take over.
    """
    best, best_key = None, None
    for host in hosts:
        key = (xxhash.xxh64_intdigest(f"{subject}/{host}".encode()), host)
        if best_key is None or key > best_key:
            best, best_key = host, key
    return best


def choose_owner(subject: str, cores: Mapping[str, float]) -> str | None:
    """Return the host that runs a subject: one of the largest, by rendezvous hashing."""
    if not cores:
        return None
    least = CORES_SHARE * max(cores.values())
    return choose_successor(subject, [host for host, value in cores.items() if value >= least])
