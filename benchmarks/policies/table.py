"""Figures of the replays and the table that compares the policies."""

import attrs

from benchmarks.policies.load import STEP_INTERVAL_S, make_engines
from benchmarks.policies.orders import ORACLE, ORDERS
from benchmarks.policies.replay import PressureReplay

__all__ = ["LOADS", "Figures", "compare", "replay_once", "table_rows"]

# The first one is what the smaller deployment has: more slots than work, but uneven lengths.
LOADS = (0.54, 0.7, 1.0, 1.3, 2.0)
# A group that is complete after it was due is worth half.
LATE_WORTH = 0.5


@attrs.frozen
class Figures:
    """Results of one or several replays with the same policy and load.

    Attributes
    ----------
    in_time, late, failed : int
        Groups.
    asked, owed : int
        Steps that the trainers asked for, and would have without any wait.
    least_share : float
        Worth of the groups of the worst trainer, as a share of what it would be without any wait.
    worth : float
        The same for all trainers together.
    """

    in_time: int
    late: int
    failed: int
    asked: int
    owed: int
    least_share: float
    worth: float


def figures(replay: PressureReplay, duration_s: float) -> Figures:
    """Return the figures of a replay."""
    owed = round(duration_s / STEP_INTERVAL_S)
    shares, worth, all_groups = [], 0.0, 0
    for trainer in replay.trainers:
        gained = trainer.in_time + LATE_WORTH * trainer.late
        groups = owed * trainer.model.groups
        shares.append(gained / groups)
        worth += gained
        all_groups += groups
    return Figures(
        sum(trainer.in_time for trainer in replay.trainers),
        sum(trainer.late for trainer in replay.trainers),
        sum(trainer.failed for trainer in replay.trainers),
        sum(trainer.step for trainer in replay.trainers),
        owed * len(replay.trainers),
        min(shares),
        worth / all_groups,
    )


def replay_once(name: str, load: float, seed: int, duration_s: float, **options) -> Figures:
    """Replay a load under a policy; all gateways are killed in the middle."""
    replay = PressureReplay(
        make_engines(load, seed, duration_s),
        [],
        ORDERS[name](),
        seed=seed,
        exact=name == ORACLE,
        lost_at_s=duration_s / 2,
        **options,
    )
    return figures(replay.run(duration_s), duration_s)


def merge(found: list[Figures]) -> Figures:
    """Return the sums of the counts and the means of the shares."""
    count = len(found)
    return Figures(
        sum(one.in_time for one in found),
        sum(one.late for one in found),
        sum(one.failed for one in found),
        sum(one.asked for one in found),
        sum(one.owed for one in found),
        sum(one.least_share for one in found) / count,
        sum(one.worth for one in found) / count,
    )


def compare(
    names: list[str], loads: list[float], seeds: list[int], duration_s: float, **options
) -> dict[tuple[float, str], Figures]:
    """Return the figures of each load and policy, over all seeds."""
    found = {}
    for load in loads:
        for name in names:
            runs = [replay_once(name, load, seed, duration_s, **options) for seed in seeds]
            found[load, name] = merge(runs)
    return found


def table_rows(found: dict[tuple[float, str], Figures]) -> list[dict]:
    """Return the rows of the table, with the distance of each policy from the oracle."""
    rows = []
    for (load, name), one in found.items():
        best = found.get((load, ORACLE))
        rows.append(
            {
                "load": load,
                "policy": name,
                "in time": one.in_time,
                "late": one.late,
                "failed": one.failed,
                "steps": f"{one.asked} of {one.owed}",
                "least share": round(one.least_share, 3),
                "worth": round(one.worth, 3),
                "to oracle": round(one.worth - best.worth, 3) if best else float("nan"),
            }
        )
    return rows
