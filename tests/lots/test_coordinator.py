"""Unit tests of the decisions of a lot's coordinator."""

import pytest

from tests.builders.lots import engines, finish, make_coordinator, make_spec, result
from turmericreach.lots import Cancel, Cursor, Regenerate, Score
from turmericreach.verdicts import RequestError, Verdict

ONE_ENGINE = engines(("e1", 1, 8, 10.0))


def start(coordinator, now=0.0, version=1, slots=8, view=ONE_ENGINE):
    return coordinator.next_tasks(now, version, slots, view)


def started(**options):
    """Return a coordinator with four running rollouts, and its tasks."""
    coordinator = make_coordinator(**options)
    return coordinator, start(coordinator)


def sample_ids(pulled):
    return [sample.id for sample in pulled.samples]


LABELS = [
    (result((1, 10)), True),
    (result((1, 4), (2, 6), started_version=1, finished_version=2), True),
    (result((1, 10), complete=False), False),
    (result((1, 10), tokens=11), False),
    (result(tokens=10), False),
    (result((1, 10), (2, 0)), False),
    (result((-1, 10)), False),
    (result((3, 10), started_version=1, finished_version=2), False),
]


@pytest.mark.parametrize(("reported", "accepted"), LABELS)
def test_takes_labels_only_from_complete_segments(reported, accepted):
    """Guards against a sample whose version label is incomplete or contradictory (G1)."""
    coordinator, tasks = started()
    actions = coordinator.on_result(tasks[0].task_id, reported, 1.0)
    if accepted:
        assert [type(action) for action in actions] == [Score]
        assert actions[0].sample.segments == reported.segments
        return
    assert actions == [Regenerate(tasks[0].ordinal, "unknown_label")]
    assert coordinator.progress().discarded == {"unknown_label": 1}


def test_pull_checks_staleness_against_highest_version():
    """Guards against delivery of a stale sample after a pull states an older version (G2)."""
    coordinator, tasks = started()
    for task in tasks:
        finish(coordinator, task)
    empty = Cursor(4)
    assert len(coordinator.pull(empty, 2, 8, 2.0).samples) == 4
    pulled = coordinator.pull(empty, 3, 8, 3.0)
    assert (pulled.samples, pulled.remaining, pulled.trainer_version) == ([], 4, 3)
    assert coordinator.pull(empty, 1, 8, 3.5).trainer_version == 3
    late = start(coordinator, 4.0, 3, view=engines(("e1", 2, 1, 10.0)))
    finish(coordinator, late[0], 5.0, version=1)
    assert coordinator.pull(empty, 1, 8, 6.0).samples == []
    assert coordinator.progress().discarded["stale"] == 5


def test_repeated_pull_gives_the_same_samples():
    """Guards against a second result with the id of a sample that was delivered (G3)."""
    coordinator, tasks = started()
    finish(coordinator, tasks[0], text="first")
    first = coordinator.pull(Cursor(4), 1, 1, 2.0)
    finish(coordinator, tasks[1], version=0)
    coordinator.on_result(tasks[0].task_id, result((1, 10)), 3.0)
    assert coordinator.pull(Cursor(4), 1, 1, 4.0).samples == first.samples
    consumed = Cursor(4).add(0)
    assert sample_ids(coordinator.pull(consumed, 1, 8, 5.0)) == ["eyes-1/0/1"]


def test_restart_from_checkpoint_gets_unacknowledged_samples_again():
    """Guards against samples that are lost when a trainer restarts from its checkpoint (G3)."""
    coordinator, tasks = started(max_buffered_bytes=0)
    finish(coordinator, tasks[0])
    assert coordinator.pull(Cursor(4).add(0), 1, 8, 2.0).samples == []
    assert coordinator.progress().buffered_bytes == 0
    coordinator.pull(Cursor(4), 1, 8, 3.0)
    assert [task.ordinal for task in start(coordinator, 4.0) if task.copy == 0] == [0]
    coordinator.ack(Cursor(4).add(1), 5.0)
    assert coordinator.pull(Cursor(4), 1, 8, 6.0).remaining == 3
    coordinator.ack(Cursor(4).add(2), 7.0)
    assert coordinator.cursor == Cursor(4).add(1, 2)


def test_whole_groups():
    """Guards against an incomplete group in a pull for whole groups."""
    coordinator, tasks = started()
    by_ordinal = {task.ordinal: task for task in tasks}
    for ordinal in (0, 2, 3):
        finish(coordinator, by_ordinal[ordinal])
    pulled = coordinator.pull(Cursor(4), 1, 3, 2.0, whole_groups=True)
    assert sample_ids(pulled) == ["eyes-1/1/0", "eyes-1/1/1"]
    assert {sample.group_size for sample in pulled.samples} == {2}
    with pytest.raises(RequestError):
        coordinator.pull(Cursor(4), 1, 1, 2.0, whole_groups=True)


SCORES = [
    (Verdict.NOT_RUN, False, Score),
    (Verdict.MAY_HAVE_RUN, False, Regenerate),
    (Verdict.ANSWERED, False, Regenerate),
    (Verdict.MAY_HAVE_RUN, True, Score),
]


@pytest.mark.parametrize(("verdict", "may_repeat", "expected"), SCORES)
def test_score_is_requested_again_only_if_allowed(verdict, may_repeat, expected):
    """Guards against a scoring call that runs twice on a service that does not allow it."""
    coordinator, tasks = started(retry_unknown_scores=may_repeat)
    task_id = tasks[0].task_id
    coordinator.on_result(task_id, result((1, 10)), 1.0)
    (action,) = coordinator.on_score_failure(task_id, verdict, 2.0)
    assert type(action) is expected
    if expected is Score:
        assert action.not_before > 2.0
        return
    assert coordinator.on_score(task_id, 1.0, 3.0) == []
    (again,) = [task for task in start(coordinator, 60.0) if task.copy == 0]
    assert (again.ordinal, again.seed != tasks[0].seed) == (tasks[0].ordinal, True)


def test_failures_back_off_and_storms_are_bounded():
    """Guards against a flood of retries when all engines are down."""
    coordinator = make_coordinator(make_spec(groups=20))
    tasks = start(coordinator, slots=20, view=engines(("e1", 1, 20, 10.0)))
    for task in tasks:
        coordinator.on_failure(task.task_id, Verdict.NOT_RUN, "target_unreachable", 1.0)
    assert len(start(coordinator, 1.0)) == 2
    assert {task.ordinal for task in tasks}.isdisjoint(
        record.ordinal for record in coordinator.state.records if record.tasks
    )
    for task_id in list(coordinator.state.tasks):
        coordinator.on_result(task_id, result((1, 10)), 2.0)
    assert len(start(coordinator, 60.0)) == 8


def test_copies_of_stragglers():
    """Guards against a training step that waits for one slow engine."""
    spec = make_spec(groups=1, scoring_service="")
    slow, fast = ("slow", 1, 2, 1.0), ("fast", 1, 4, 10.0)
    coordinator = make_coordinator(spec)
    tasks = start(coordinator, view=engines(slow))
    copies = start(coordinator, 1.0, view=engines(fast))
    assert sorted(copy.ordinal for copy in copies) == [0, 1]
    assert {copy.seed for copy in copies} == {task.seed for task in tasks}
    assert start(coordinator, 2.0, view=engines(("faster", 1, 8, 99.0))) == []
    copy = copies[0]
    original = next(task for task in tasks if task.ordinal == copy.ordinal)
    actions = coordinator.on_result(copy.task_id, result((1, 10)), 3.0)
    assert actions == [Cancel(original.task_id)]
    assert coordinator.on_result(original.task_id, result((1, 10)), 4.0) == []
    assert len(coordinator.pull(Cursor(2), 1, 8, 5.0).samples) == 1


@pytest.mark.parametrize(("copies", "speed"), [(0, 10.0), (1, 1.1)])
def test_no_copy_without_gain(copies, speed):
    """Guards against copies that waste tokens without finishing sooner."""
    coordinator = make_coordinator(make_spec(groups=1), copies=copies)
    start(coordinator, view=engines(("slow", 1, 2, 1.0)))
    assert start(coordinator, 1.0, view=engines(("other", 1, 4, speed))) == []


def test_does_not_start_what_would_end_stale():
    """Guards against starting rollouts whose samples are stale when the next version arrives."""
    coordinator = make_coordinator(make_spec(staleness_bound=0))
    for version, now in ((0, -1.0), (1, 0.0), (2, 10.0)):
        assert coordinator.cancel_unusable_work(now, version) == []
    assert start(coordinator, 17.0, 2, view=engines(("e1", 2, 8, 10.0))) == []
    assert start(coordinator, 17.0, 2, view=engines(("e1", 1, 8, 99.0))) == []
    tasks = start(coordinator, 20.0, 3, view=engines(("e1", 3, 8, 10.0)))
    assert [task.min_version for task in tasks] == [3] * 4


def test_probes_when_no_window_is_long_enough():
    """Guards against a lot that stops permanently because of an estimate that is too high."""
    coordinator = make_coordinator(make_spec(staleness_bound=0))
    for version, now in ((0, -9.0), (1, 0.0), (2, 1.0)):
        coordinator.cancel_unusable_work(now, version)
    assert len(start(coordinator, 1.0, 2, view=engines(("e1", 2, 8, 10.0)))) == 1
    assert coordinator.cancel_unusable_work(1.5, 2) == []
    assert start(coordinator, 1.5, 2, view=engines(("e1", 2, 8, 10.0))) == []


def test_cancel_hopeless():
    """Guards against rollouts that occupy engines although they are stale, consumed or overdue."""
    coordinator, tasks = started()
    assert coordinator.cancel_unusable_work(1.0, 2) == []
    actions = coordinator.cancel_unusable_work(91.0, 3)
    assert {a.task_id for a in actions if isinstance(a, Cancel)} == {t.task_id for t in tasks}
    assert len(start(coordinator, 92.0, 3, view=engines(("e1", 3, 4, 50.0)))) == 4
    coordinator.pull(Cursor(4).add(0), 3, 8, 93.0)
    assert len(coordinator.cancel_unusable_work(93.0, 3)) == 1
    assert len(coordinator.cancel_unusable_work(700.0, 3)) == 6


def test_rollout_whose_end_is_never_reported_is_given_up():
    """Guards against a sample that is never generated because the end of its rollout is lost."""
    coordinator, tasks = started()
    coordinator.on_started(tasks[0].task_id, "e2", 1, 10.0)
    assert coordinator.cancel_unusable_work(600.0, 1) == []
    actions = coordinator.cancel_unusable_work(605.0, 1)
    overdue = {action.task_id for action in actions if isinstance(action, Cancel)}
    assert overdue == {task.task_id for task in tasks[1:]}
    assert {task.ordinal for task in start(coordinator, 606.0) if task.copy == 0} == {1, 2, 3}


def test_begun_groups_come_first():
    """Guards against many incomplete groups, which a pull for whole groups cannot deliver."""
    coordinator = make_coordinator(weighting=0.0)
    (begun,) = start(coordinator, slots=1)
    for _ in range(2):
        coordinator.state.lengths.observe("short", coordinator.state.prefix(2), 99)
        coordinator.state.lengths.observe("short", coordinator.state.prefix(0), 1)
    assert (begun.ordinal, start(coordinator, 1.0, slots=1)[0].ordinal) == (0, 1)


def test_unanswered_score_is_given_up_after_the_deadline():
    """Guards against a sample that is never delivered because its scoring response is lost."""
    coordinator, tasks = started()
    coordinator.on_result(tasks[0].task_id, result((1, 10)), 1.0)
    actions = coordinator.cancel_unusable_work(602.0, 1)
    assert Regenerate(tasks[0].ordinal, "unscored") in actions


def test_long_groups_start_first_on_fast_engines_and_stay_there():
    """Guards against long samples that run last and on slow engines, which delays a step."""
    coordinator = make_coordinator(make_spec(groups=3), weighting=0.0)
    lengths, state = coordinator.state.lengths, coordinator.state
    for group, tokens in enumerate((10, 90, 40)):
        for _ in range(2):
            lengths.observe("short", state.prefix(group * 2), tokens)
    view = engines(("slow", 1, 4, 10.0), ("fast", 1, 2, 40.0))
    tasks = start(coordinator, view=view)
    assert [task.ordinal for task in tasks] == [2, 3, 4, 5, 0, 1]
    assert [task.prefer_target for task in tasks] == ["fast"] * 2 + ["slow"] * 4
    assert tasks[0].prefix == tasks[1].prefix != tasks[2].prefix
    coordinator.on_failure(tasks[2].task_id, Verdict.NOT_RUN, "leaving", 1.0)
    (again,) = [task for task in start(coordinator, 9.0, view=view) if task.copy == 0]
    assert again.prefer_target == "slow"


@pytest.mark.parametrize(("weighting", "started"), [(0.0, 1), (1.0, 0)])
def test_staleness_waits_for_an_announced_version(weighting, started):
    """Guards against rollouts that start on a version older than the one the trainer has."""
    coordinator = make_coordinator(weighting=weighting)
    coordinator.next_tasks(0.0, 1, 0, ONE_ENGINE)
    coordinator.pull(coordinator.cursor, 2, 8, 1.0)
    assert len(coordinator.next_tasks(1.0, 1, 1, ONE_ENGINE)) == started
    assert len(coordinator.next_tasks(2.0, 2, 1, ONE_ENGINE)) == 1


def test_a_version_that_never_comes_does_not_stop_a_lot():
    """Guards against a lot that waits forever after a weight update has failed."""
    coordinator = make_coordinator(weighting=1.0)
    coordinator.next_tasks(0.0, 1, 0, ONE_ENGINE)
    coordinator.pull(coordinator.cursor, 2, 8, 1.0)
    assert coordinator.next_tasks(1.0, 1, 1, ONE_ENGINE) == []
    assert len(coordinator.next_tasks(30.0, 1, 1, ONE_ENGINE)) == 1


def test_versions_in_quick_succession_do_not_stop_a_lot():
    """Guards against a wait that each further version extends while the engines lag behind."""
    coordinator = make_coordinator(weighting=1.0)
    coordinator.next_tasks(0.0, 1, 0, ONE_ENGINE)
    for version in (2, 3, 4):
        coordinator.pull(coordinator.cursor, version, 8, 10.0 * (version - 2))
    assert len(coordinator.next_tasks(21.0, 1, 1, ONE_ENGINE)) == 1


@pytest.mark.parametrize(("weighting", "first"), [(0.0, 0), (1.0, 1)])
def test_weighting_trades_length_against_age(weighting, first):
    """Guards against a weighting without effect on the order of groups."""
    coordinator = make_coordinator(weighting=weighting)
    tasks = {task.ordinal: task for task in start(coordinator)}
    state = coordinator.state
    for group, tokens in enumerate((90, 10)):
        for _ in range(2):
            state.lengths.observe("short", state.prefix(group * 2), tokens)
    finish(coordinator, tasks[2], version=1)
    for ordinal in (0, 1, 3):
        coordinator.on_failure(tasks[ordinal].task_id, Verdict.NOT_RUN, "leaving", 1.0)
    (task,) = start(coordinator, 60.0, 2, 1, engines(("e1", 2, 8, 50.0)))
    assert task.ordinal // 2 == first


def test_full_buffer_stops_new_groups_but_not_begun_ones():
    """Guards against unbounded memory use, and against a lot that stops with incomplete groups."""
    coordinator = make_coordinator(max_buffered_bytes=1)
    (task,) = start(coordinator, slots=1)
    finish(coordinator, task)
    (second,) = start(coordinator, 2.0)
    assert second.ordinal == 1
    finish(coordinator, second)
    assert start(coordinator, 3.0) == []
    coordinator.ack(Cursor(4).add(0, 1), 4.0)
    assert len(start(coordinator, 5.0)) == 2


def test_graceful_move():
    """Guards against a handover that loses finished samples or replaces delivered ones."""
    old, tasks = started()
    finish(old, tasks[0], text="old")
    finish(old, tasks[1])
    old.pull(Cursor(4), 2, 1, 2.0)
    old.ack(Cursor(4).add(3), 2.0)
    new = make_coordinator(seed=2)
    own_tasks = start(new)
    finish(new, own_tasks[0], text="own")
    body = old.hand_over()
    with pytest.raises(RequestError) as caught:
        old.pull(Cursor(4), 1, 8, 3.0)
    assert caught.value.code == "leaving"
    cancelled = {action.task_id for action in new.apply_handover(body, 3.0)}
    assert cancelled == {own_tasks[1].task_id, own_tasks[3].task_id}
    pulled = new.pull(Cursor(4), 1, 1, 4.0)
    assert (pulled.samples[0].text, pulled.trainer_version) == ("old", 2)
    assert new.cursor == Cursor(4).add(3)
    assert new.progress().counts["ready"] == 2
    for spec, data in ((make_spec(seed=9), body), (make_spec(), b"{}")):
        with pytest.raises(RequestError):
            make_coordinator(spec).apply_handover(data)


def test_cancel_ends_everything():
    """Guards against engines that continue to run rollouts of a cancelled lot."""
    coordinator, tasks = started()
    finish(coordinator, tasks[0])
    assert len(coordinator.cancel(2.0)) == 3
    assert start(coordinator, 3.0) == []
    with pytest.raises(RequestError) as caught:
        coordinator.pull(Cursor(4), 1, 8, 3.0)
    assert caught.value.code == "cancelled"


@pytest.mark.parametrize(("cursor", "version", "count"), [(3, 1, 1), (4, -1, 1), (4, 1, 0)])
def test_pull_refuses_bad_arguments(cursor, version, count):
    """Guards against a malformed pull that changes the state of the lot."""
    coordinator, _ = started()
    with pytest.raises(RequestError) as caught:
        coordinator.pull(Cursor(cursor), version, count, 1.0)
    assert caught.value.code == "bad_request"
    assert coordinator.state.highest_trainer_version == 0


def test_versions_that_came_in_a_burst_do_not_stop_a_lot_for_ever():
    """Guards against a forecast that stays at the interval of a burst of versions."""
    coordinator = make_coordinator(make_spec(staleness_bound=0, max_tokens=1000))
    view = engines(("e1", 4, 4, 10.0))
    for version in (1, 2, 3, 4):
        assert coordinator.next_tasks(version * 0.1, version, 0, view) == []
    early = coordinator.next_tasks(0.5, 4, 4, view)
    assert len(early) < 4
    assert coordinator.cancel_unusable_work(5.0, 4) == []
    assert len(early) + len(coordinator.next_tasks(5.0, 4, 4, view)) == 4
