"""Order of members for a duty by rendezvous hashing.

All processes with the same members agree on the owner of each duty, and the loss of a member moves
only the duties that it owned.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["audit_duty", "lot_duty", "moved_duties", "owner", "rank", "weights_duty"]


def lot_duty(name: str) -> str:
    """Return the name of the duty to coordinate a lot."""
    return f"lot:{name}"


def weights_duty(model: str) -> str:
    """Return the name of the duty to roll out the weights of a model."""
    return f"weights:{model}"


def audit_duty(data_centre: str) -> str:
    """Return the name of the duty to write the audit log of a data centre."""
    return f"audit:{data_centre}"


def rank(duty: str, members: Iterable[str]) -> list[str]:
    """Return the distinct members in the rendezvous order of a duty, the owner first."""
    prefix = duty.encode()

    def score(member):
        # The separator distinguishes ("ab", "c") from ("a", "bc"); the name breaks ties of hashes.
        return xxhash.xxh3_64_intdigest(prefix + b"\0" + member.encode()), member

    return sorted(set(members), key=score, reverse=True)


def owner(duty: str, members: Iterable[str]) -> str | None:
    """Return the owner of a duty: its first member in rendezvous order, None without members."""
    return next(iter(rank(duty, members)), None)


def moved_duties(
    old_members: Iterable[str], new_members: Iterable[str], duties: Iterable[str]
) -> list[str]:
    """Return the duties whose owner changes with a change of the members."""
    old = list(old_members)
    new = list(new_members)
    return [duty for duty in duties if owner(duty, old) != owner(duty, new)]
