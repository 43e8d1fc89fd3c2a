"""Placement among a thousand engines."""

import statistics

from tests.builders.engine_replay import EngineModel, Replay, make_lots
from tests.placement.test_engines import engine, waiting
from turmericreach.placement import RunningItem, engines, moves, plan_moves, plan_starts

ENGINES = 1000
ITEMS = 256


def count_calls(monkeypatch, owner, name):
    """Count the calls of a function or method; return a list with one entry for each."""
    original = getattr(owner, name)
    calls = []

    def counted(*arguments):
        calls.append(name)
        return original(*arguments)

    monkeypatch.setattr(owner, name, counted)
    return calls


def test_starts_compare_few_engines_for_each_item(monkeypatch):
    """Guards against a plan whose cost is the product of all items and all engines.

    With 1,001 targets the owner of a lot was busy with planning, and a third of the steps were
    late.
    """
    calls = count_calls(monkeypatch, engines.EnginePlan, "can_place")
    states = [engine(f"e{n}", slots=6, event_s=0.02 + n * 1e-5) for n in range(ENGINES)]
    starts = plan_starts([waiting(f"i{n}", group=f"g{n}") for n in range(ITEMS)], states)
    assert len(starts) == ITEMS
    assert len(calls) <= ITEMS * ITEMS


def test_engines_that_can_run_a_model_are_compared_however_many_others_are_faster():
    """Guards against items that wait although a slower engine has the version that they need."""
    others = [engine(f"e{n}", event_s=0.01) for n in range(ENGINES)]
    newer = engines.EngineState("newer", 6, (), {"m": 2}, 0.05)
    starts = plan_starts([waiting("i", min_version=2)], [*others, newer])
    assert [start.engine for start in starts] == ["newer"]


def test_moves_compare_few_engines_for_each_item(monkeypatch):
    """Guards against the same for items that run."""
    calls = count_calls(monkeypatch, moves, "event_s")
    states = [engine(f"e{n}", slots=6, event_s=0.02) for n in range(ENGINES)]
    slow = [engine(f"s{n}", slots=6, busy=(9.0,), event_s=0.09) for n in range(ITEMS)]
    running = [
        RunningItem("l", f"i{n}", "m", 1, f"s{n}", remaining_events=60.0) for n in range(ITEMS)
    ]
    assert len(plan_moves(running, [*states, *slow])) == ITEMS
    assert len(calls) <= ITEMS * ITEMS


def test_lots_end_as_soon_as_with_all_engines_compared(monkeypatch):
    """Guards against a shortlist that leaves out the engines that a lot needs."""

    def mean_end_s():
        fleet = [EngineModel(f"e{n}", 0.036 * (0.7, 0.7, 1.7)[n % 3]) for n in range(150)]
        replay = Replay(fleet, make_lots(1, 3, 12, trainers=2)).run()
        return statistics.mean(replay.ended_s.values())

    shortlisted_s = mean_end_s()
    monkeypatch.setattr(engines, "MAX_ENGINES_COMPARED", 10_000)
    monkeypatch.setattr(moves, "MAX_ENGINES_COMPARED", 10_000)
    assert shortlisted_s <= 1.02 * mean_end_s()
