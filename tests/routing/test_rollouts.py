"""Tests of the number of rollouts that a lot may start on each engine."""

from tests.builders.routing import make_report, make_table, make_target
from turmericreach.routing import ChoiceRequest, RoutingPolicy, rollout_capacity


def free_by_target(table, share=0.5, outstanding=0):
    return {
        capacity.target: capacity.free
        for capacity in rollout_capacity(table, "assistant", share, outstanding)
    }


def test_a_lot_keeps_its_share_while_others_fill_the_engines():
    """Guards against starving a trainer while another one has queued rollouts at every engine."""
    table = make_table(make_target("e1", speed=200.0), make_target("e2", speed=50.0))
    table.apply_report(make_report("e1", 1.0, running=4, waiting=20), 1.0)
    table.apply_report(make_report("e2", 1.0, running=4, waiting=20), 1.0)
    found = free_by_target(table)
    assert sum(found.values()) >= 8 * 0.5 * 3
    assert found["e1"] > 2 * found["e2"]
    assert sum(free_by_target(table, outstanding=12).values()) == 0


def test_rollouts_that_wait_are_bounded_at_large_engines():
    """Guards against endless rejections by agents whose queue is full."""
    table = make_table(make_target("e1", slots=256))
    assert free_by_target(table, share=1.0) == {"e1": 256 + 16}


def test_a_rollout_waits_at_the_engine_that_its_lot_chose():
    """Guards against rollouts planned for slow engines that queue up at fast ones."""
    request = ChoiceRequest("assistant", "rollout", expected_tokens=100, preferred_target="slow")
    for queues, target in ((True, "slow"), (False, "fast")):
        policy = RoutingPolicy(queues_at_preferred=queues)
        targets = make_target("fast", speed=200.0), make_target("slow", speed=50.0)
        table = make_table(*targets, policy=policy)
        table.apply_report(make_report("slow", 1.0, running=4), 1.0)
        assert table.choose(request, 1.0).target == target
