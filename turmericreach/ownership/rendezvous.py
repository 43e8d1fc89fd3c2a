"""Rendezvous order of members for a duty."""

from collections.abc import Iterable

import xxhash

__all__ = ["audit_duty", "lot_duty", "moved_duties", "owner", "rank", "weights_duty"]


def lot_duty(name: str) -> str:
    """Return the duty name of the coordinator of a lot."""
    return f"lot:{name}"


def weights_duty(model: str) -> str:
    """Return the duty name of the weight rollout of a model."""
    return f"weights:{model}"


def audit_duty(data_centre: str) -> str:
    """Return the duty name of the audit writer of a data centre."""
    return f"audit:{data_centre}"


def rank(duty: str, members: Iterable[str]) -> list[str]:
    """Return the distinct member names in the rendezvous order of a duty."""
    prefix = duty.encode()

    def score(member):
        # The separator keeps ("ab", "c") apart from ("a", "bc"); the name breaks equal hashes.
        return xxhash.xxh3_64_intdigest(prefix + b"\0" + member.encode()), member

    return sorted(set(members), key=score, reverse=True)


def owner(duty: str, members: Iterable[str]) -> str | None:
    """Return the first member in the rendezvous order, None if there are no members."""
    return next(iter(rank(duty, members)), None)


def moved_duties(
    old_members: Iterable[str], new_members: Iterable[str], duties: Iterable[str]
) -> list[str]:
    """Return the duties that have another owner after a change of the members."""
    old = list(old_members)
    new = list(new_members)
    return [duty for duty in duties if owner(duty, old) != owner(duty, new)]
