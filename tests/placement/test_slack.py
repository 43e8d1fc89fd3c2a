"""Scheduling of waiting items by the time that each can still wait."""

import attrs

from tests.builders.item_tables import fixed_table
from turmericreach.batches.items import ItemPhase
from turmericreach.batches.model import BatchItem, BatchSpec
from turmericreach.placement import EngineState, LeastSlack, WaitingItem
from turmericreach.placement.slack import plan_starts_by_slack
from turmericreach.services import Route, RouteKind
from turmericreach.services.configuration import WeightedService


def waiting(name, lot, events, due_in_s, **fields):
    """Return an item of a lot that is due in a number of seconds."""
    return WaitingItem(
        lot, name, "m", 1, "g", False, events, events, due_in_s, fields.pop("priority", 0), **fields
    )


def started(items, slots):
    """Return the names of the items that start at one engine of 50 ms per event."""
    engine = EngineState("e", slots, (), {"m": 1}, 0.05)
    return [start.item.item for start in plan_starts_by_slack(items, [engine])]


def test_long_item_of_the_next_lot_starts_before_short_ones_of_the_present_lot():
    """Guards against a trainer whose next lot is late, since its long items start last."""
    items = [waiting(f"short{n}", "first", 10, 6.0) for n in range(4)]
    items.append(waiting("long", "second", 140, 7.5))
    assert started(items, 1) == ["long"]


def test_item_that_cannot_be_in_time_still_starts_first():
    """Guards against a step that ends even later because its longest item waits for all others."""
    items = [waiting("short", "lot", 10, 7.5), waiting("late", "lot", 200, 7.5)]
    assert started(items, 1) == ["late"]


def test_groups_that_the_trainer_does_not_need_start_last():
    """Guards against slots spent on groups without which the trainer goes on."""
    items = [waiting("extra", "lot", 140, 7.5, surplus=True), waiting("short", "next", 5, 9.0)]
    assert started(items, 1) == ["short"]


def table(events_by_item, target_groups, carried=()):
    """Return the items of a lot, named by their group and a number."""
    items = tuple(
        BatchItem(name, "/", [], b"", 0, name[0], events, None)
        for name, events in events_by_item.items()
    )
    spec = BatchSpec("lot", "h", "/", 0, "m", 0, items, target_groups)
    route = Route("r", "h", "/", RouteKind.BATCH, (WeightedService("s", 1.0),))
    return fixed_table(spec, route, 0.0, carried=frozenset(carried))


def test_surplus_groups_are_those_with_the_longest_items_left():
    """Guards against complete groups, and groups that are always waited for, taken as surplus."""
    lot = table({"a1": 5.0, "a2": 90.0, "b1": 80.0, "c1": 70.0}, target_groups=2)
    assert lot.surplus_groups() == {"a"}
    lot.states["a2"].phase = ItemPhase.LISTED
    assert lot.surplus_groups() == {"b"}
    assert table({"a1": 90.0, "b1": 80.0}, 1, carried=["a1"]).surplus_groups() == {"b"}
    assert table({"a1": 90.0, "b1": 80.0}, 0).surplus_groups() == frozenset()


def grouped(group, lot, events, due_in_s, **fields):
    """Return items of a whole group, each as long as given."""
    total = sum(events)
    return [
        attrs.evolve(
            waiting(f"{group}{number}", lot, length, due_in_s, **fields),
            group=group,
            group_events=total,
        )
        for number, length in enumerate(events)
    ]


def test_whole_groups_are_completed_if_not_all_can_be_in_time():
    """Guards against the longest items of all groups at once, with which no group is in time.

    Load: 20 s of work for each of two slots within 7.5 s, then 5 s of it.
    """
    items = []
    for number in range(4):
        items += grouped(f"g{number}", "lot", [100 + number, 50, 50], 7.5)
    assert started(items, 2) == ["g00", "g01"]
    few = [item for item in items if item.group in ("g0", "g1")][1:4]
    assert started(few, 2)[0] == "g10"


def test_late_lot_yields_to_one_that_can_be_in_time():
    """Guards against two late lots, since the lost one is served before the other."""
    items = grouped("a", "late", [140] * 6, 0.5) + grouped("b", "early", [100], 7.5)
    assert started(items, 1) == ["b0"]


def test_group_that_cannot_be_in_time_yields_to_one_of_its_lot_that_can():
    """Guards against a second late group, since slots are spent on one that is late in any case."""
    items = grouped("a", "lot", [160], 7.5) + grouped("b", "lot", [120, 120, 120], 7.5)
    assert started(items, 1) == ["b0"]


def test_use_counts_each_model_with_its_own_engines():
    """Guards against a model served in the order of overload since another one is overloaded."""
    policy = LeastSlack()
    items = grouped("a", "one", [10], 7.5) + grouped("b", "two", [900] * 3, 7.5)
    items[1:] = [attrs.evolve(item, model="other") for item in items[1:]]
    engines = [
        EngineState("e", 1, (), {"m": 1}, 0.05),
        EngineState("f", 1, (), {"other": 1}, 0.05),
    ]
    policy.starts(items, engines, {})
    assert policy.oversubscribed_models() == {"other"}
