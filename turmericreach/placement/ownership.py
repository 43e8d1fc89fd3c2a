"""Selection of the process that runs a piece of work, and of its successor after a failure."""

from collections.abc import Iterable, Mapping

import xxhash

__all__ = ["choose_owner", "choose_successor"]

# Hosts with fewer processor cores than this fraction of the largest host's are not selected as
# owners.
MIN_CORES_SHARE = 0.6


def choose_successor(subject: str, hosts: Iterable[str]) -> str | None:
    """Return the host that takes over a subject, by rendezvous hashing; None without hosts.

    All processes with the same view of the live hosts select the same successor. If their views
    differ, a conditional write in the metadata store ensures that only one of them takes over.

    Parameters
    ----------
    subject : str
        Name of the piece of work, for example of a lot.
    hosts : iterable of str
        Names of the live hosts.
    """
    best, best_key = None, None
    for host in hosts:
        key = (xxhash.xxh64_intdigest(f"{subject}/{host}".encode()), host)
        if best_key is None or key > best_key:
            best, best_key = host, key
    return best


def choose_owner(subject: str, cores: Mapping[str, float]) -> str | None:
    """Return the host that runs a subject: one of the largest hosts, by rendezvous hashing.

    Parameters
    ----------
    subject : str
        Name of the piece of work.
    cores : dict of str to float
        Processor cores of each live host.
    """
    if not cores:
        return None
    min_cores = MIN_CORES_SHARE * max(cores.values())
    return choose_successor(subject, [host for host, value in cores.items() if value >= min_cores])
