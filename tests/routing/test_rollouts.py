"""Rollouts that a lot may start at each engine."""

from tests.builders.routing import make_report, make_table, make_target
from turmericreach.routing import ChoiceRequest, RoutingPolicy, rollout_room


def rooms(table, share=0.5, outstanding=0):
    return {room.target: room.free for room in rollout_room(table, "assistant", share, outstanding)}


def test_a_lot_keeps_its_share_while_others_fill_the_engines():
    """Guards against a trainer that starves since another one has queued everywhere."""
    table = make_table(make_target("e1", speed=200.0), make_target("e2", speed=50.0))
    table.observe(make_report("e1", 1.0, running=4, waiting=20), 1.0)
    table.observe(make_report("e2", 1.0, running=4, waiting=20), 1.0)
    found = rooms(table)
    assert sum(found.values()) >= 8 * 0.5 * 3
    assert found["e1"] > 2 * found["e2"]
    assert sum(rooms(table, outstanding=12).values()) == 0


def test_rollouts_that_wait_are_bounded_at_large_engines():
    """Guards against refusals without end by agents whose queue is full."""
    table = make_table(make_target("e1", slots=256))
    assert rooms(table, share=1.0) == {"e1": 256 + 16}


def test_a_rollout_waits_at_the_engine_that_its_lot_chose():
    """Guards against queues of fast engines that grow by what was planned for slow ones."""
    wish = ChoiceRequest("assistant", "rollout", expected_tokens=100, prefer="slow")
    for queues, target in ((True, "slow"), (False, "fast")):
        policy = RoutingPolicy(queues_at_preferred=queues)
        targets = make_target("fast", speed=200.0), make_target("slow", speed=50.0)
        table = make_table(*targets, policy=policy)
        table.observe(make_report("slow", 1.0, running=4), 1.0)
        assert table.choose(wish, 1.0).target == target
