"""Tests of the simulation in the policy benchmark."""

import attrs
import pytest

from benchmarks.policy.clock import VirtualClock
from benchmarks.policy.engine import EngineModel, Stream
from benchmarks.policy.rows import check_goals
from benchmarks.policy.run import run_once, summarize
from benchmarks.policy.variants import VARIANTS
from benchmarks.policy.workloads import FAULTS, WORKLOADS
from benchmarks.policy.world import World


def small(name):
    """Return a workload with short steps."""
    workload = WORKLOADS[name]
    trainers = [attrs.evolve(trainer, groups=4) for trainer in workload.trainers]
    return attrs.evolve(workload, trainers=trainers, steps=1)


def start(clock, engine, tokens, ended, owner="t"):
    def record_end(segments):
        ended.append((clock.now, [(part.version, part.tokens) for part in segments]))

    stream = Stream(tokens, "p", owner, record_end)
    engine.start(stream)
    return stream


def test_streams_share_an_engine_by_its_slowdown():
    """Guards against a simulated engine that is faster or slower than its parameters say."""
    clock = VirtualClock()
    engine = EngineModel(clock, "e", 100.0, 0.5)
    ended = []
    start(clock, engine, 100, ended)
    start(clock, engine, 200, ended)
    clock.run(100.0)
    # Two streams at 100 / 1.5 until the first ends, then one at 100.
    assert [time for time, _ in ended] == pytest.approx([1.5, 2.5])
    assert engine.produced["t"] == 300


def test_labels_follow_swaps_and_crashes_lose_tokens():
    """Guards against staleness figures computed from wrong version labels."""
    clock = VirtualClock()
    engine = EngineModel(clock, "e", 100.0, 0.0)
    ended = []
    start(clock, engine, 100, ended)
    clock.at(0.25, engine.activate, 2)
    clock.run(10.0)
    assert ended == [(pytest.approx(1.0), [(1, 25), (2, 75)])]
    start(clock, engine, 100, ended)
    clock.at(clock.now + 0.5, engine.crash)
    clock.run(20.0)
    assert len(ended) == 1
    assert engine.produced["t"] == pytest.approx(150)


@pytest.mark.parametrize("fault", FAULTS)
def test_every_sample_is_delivered_once_within_its_bound(fault):
    """Guards against figures of runs that lost or repeated samples."""
    workload = small("qurum")
    world = World(workload, VARIANTS["current"], fault, 1)
    tally = world.run()
    assert world.over
    assert tally.samples == sum(load.groups * load.group_size for load in workload.trainers)
    assert tally.over_bound == 0


def test_a_seed_gives_the_same_run():
    """Guards against figures that cannot be reproduced from the seed."""
    tallies = [World(small("silmalasi"), VARIANTS["current"], "crash", 2).run() for _ in range(2)]
    assert tallies[0] == tallies[1]


def test_a_goal_beyond_its_bound_is_reported_as_missed():
    """Guards against a report that hides a missed goal."""
    figures = summarize([run_once(("qurum", "no_rollouts", "calm", 0))])
    figures |= {name: [2.0, 2.0, 2.0] for name in ("idle_s", "limit_ratio", "over_bound", "fair")}
    rows = [
        {"workload": workload, "fault": fault, "variant": variant, "figures": figures}
        for workload in WORKLOADS
        for fault in FAULTS
        for variant in ("current", "round_robin", "no_rollouts")
    ]
    met = {row["goal"]: row["met"] for row in check_goals(rows)}
    assert met["idle time / limit"] == "missed"
    assert met["idle time / round robin"] == "missed"
    assert met["samples over the bound, worst seed"] == "missed"
    assert met["least fair share"] == "met"
