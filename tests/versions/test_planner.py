"""Assignment of engines to models, and the orders to load versions."""

import attrs

from turmericreach.versions.assignment import assign_models
from turmericreach.versions.engine_view import EngineView
from turmericreach.versions.planner import LoadOrder, max_concurrent_loads, plan_orders

FAST_S, SLOW_S = 0.027, 0.065


def view(name, event_s=FAST_S, loading=False, **versions):
    """Return an engine with 8 slots and the given versions, by default version 1 of two models."""
    return EngineView(name, versions or {"x": 1, "y": 1}, 8, event_s, loading)


def test_work_and_speed_determine_the_assignment():
    """Guards against assigning the slow engine to the model with more work.

    Observed on silmalasi-reach: lots of 728 events at a fast and a slow engine took 5 s, while lots
    of 396 events had two fast ones.
    """
    engines = [view("a"), view("b"), view("c"), view("slow", SLOW_S)]
    assigned = assign_models(engines, {"x": 728.0, "y": 396.0}, {})
    assert sum(assigned[name] == "x" for name in ("a", "b", "c")) == 2
    assert assigned["slow"] == "y"


def test_assignment_stays_while_it_is_good_enough():
    """Guards against loads that gain little."""
    engines = [view("a"), view("b")]
    former = {"a": "y", "b": "x"}
    assert assign_models(engines, {"x": 100.0, "y": 110.0}, former) == former


def test_assignment_follows_the_loss_of_an_engine():
    """Guards against a model without any engine."""
    assigned = assign_models([view("a"), view("b")], {"x": 1.0, "y": 1.0}, {"a": "x", "c": "y"})
    assert sorted(assigned.values()) == ["x", "y"]


def test_new_coordinator_keeps_the_assignment():
    """Guards against loads at all engines when another process becomes coordinator."""
    engines = [view("a", x=1, y=4), view("b", x=4, y=1)]
    assert assign_models(engines, {"x": 1.0, "y": 1.0}, {}) == {"a": "y", "b": "x"}


def test_half_of_the_engines_load_at_a_time():
    """Guards against a time at which no engine of a model accepts requests."""
    engines = [view("a", x=1), view("b", x=1)]
    orders = plan_orders(engines, {"x": 2}, {"a": "x", "b": "x"}, max_loading=2)
    assert orders == [LoadOrder("a", "x", 2)]
    engines = [view("a", x=1, loading=True), view("b", x=1)]
    assert plan_orders(engines, {"x": 2}, {"a": "x", "b": "x"}, max_loading=2) == []


def test_engines_too_old_for_the_lot_load_at_once():
    """Guards against engines that are idle because they wait for others to finish loading."""
    engines = [view("a", x=1), view("b", x=1)]
    assert len(plan_orders(engines, {"x": 3}, {"a": "x", "b": "x"}, max_loading=2)) == 2


def test_loads_wait_for_a_lot_that_is_about_to_start():
    """Guards against a load that makes an engine reject the first items of a lot for a second."""
    engines = [view("a", x=1), view("b", x=1)]
    assigned = {"a": "x", "b": "x"}
    assert plan_orders(engines, {"x": 2}, assigned, max_loading=2, deferred={"x"}) == []
    assert len(plan_orders(engines, {"x": 3}, assigned, max_loading=2, deferred={"x"})) == 2


def test_number_of_concurrent_loads_is_limited():
    """Guards against loads that slow each other down."""
    engines = [view(str(number), x=1) for number in range(6)]
    orders = plan_orders(engines, {"x": 3}, {str(n): "x" for n in range(6)}, max_loading=2)
    assert len(orders) == 2


def test_concurrent_loads_grow_with_the_number_of_engines():
    """Guards against a fleet that cannot load a version before the next one is requested.

    Observed on silmalasi-reach-grown: two loads at a time for 22 engines and four models left lots
    without any engine of their version for 12 s.
    """
    assert [max_concurrent_loads(engines) for engines in (1, 4, 5, 19, 22)] == [2, 2, 2, 8, 9]


def test_engine_with_a_newer_version_gets_no_order():
    """Guards against orders to load an older version."""
    assert plan_orders([view("a", x=5)], {"x": 4}, {"a": "x"}, max_loading=2) == []


def test_engine_with_a_limit_counts_as_what_its_limit_permits():
    """Guards against a model that is left with engines that accept a request a second."""
    limited = [
        attrs.evolve(view(f"limited{number}", 0.02), limit_events_per_s=16.0) for number in range(3)
    ]
    assigned = assign_models([*limited, view("free", 0.03)], {"x": 100.0, "y": 50.0}, {})
    assert assigned["free"] == "x"
    assert sorted(assigned.values()) == ["x", "y", "y", "y"]
