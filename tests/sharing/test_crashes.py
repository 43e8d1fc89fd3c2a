"""Evidence against requests under which targets have ended, as pure decisions."""

import itertools

import pytest

from turmericreach.sharing import CrashTable
from turmericreach.sharing.crashes import MAX_RECORDS, REMEMBER_S

NEVER = float("-inf")


def crashed(*targets, at=1.0, fingerprint="r"):
    """Return a table with evidence of its own against a request."""
    table = CrashTable()
    for target in targets:
        table.record_crash(fingerprint, target, at)
    return table


def exchange(source, receiver, now):
    """Apply all that one table knows to another."""
    for fingerprint, record in source.changes_after(0, observed_only=False).items():
        receiver.merge(fingerprint, record.targets, record.last_at, record.cleared_at, now)


def test_request_is_rejected_after_three_targets_have_ended_under_it():
    """Guards against a request that ends one target more, and against a ban after two."""
    table = crashed("a", "b")
    assert not table.is_rejected("r", 2.0)
    table.record_crash("r", "b", 2.0)
    assert not table.is_rejected("r", 2.0)
    table.record_crash("r", "c", 2.0)
    assert table.is_rejected("r", 2.0) and not table.is_rejected("other", 2.0)
    assert not table.is_rejected("r", 3.0 + REMEMBER_S)


@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
def test_evidence_of_several_processes_adds_up_in_any_order(order):
    """Guards against a budget that starts afresh at each process."""
    tables = [crashed(target) for target in "abc"]
    hub = CrashTable()
    for index in order:
        exchange(tables[index], hub, 2.0)
    for table in tables:
        exchange(hub, table, 2.1)
        assert table.is_rejected("r", 2.2)


def test_request_that_targets_complete_is_not_rejected_however_often_it_was_beside():
    """Guards against a ban of a frequent request that was in flight at each end of a target."""
    table = CrashTable()
    table.record_completion("r", 0.5)
    for number in range(9):
        table.record_crash("r", f"t{number}", 1.0 + number)
    assert not table.is_rejected("r", 10.0)


def test_completion_at_another_process_clears_the_evidence_everywhere():
    """Guards against a request that stays banned at one process while others serve it."""
    first, second, hub = crashed("a", "b", "c"), CrashTable(), CrashTable()
    second.record_completion("r", 0.9)
    exchange(first, hub, 1.1)
    exchange(hub, second, 1.2)
    assert not second.is_rejected("r", 1.2)
    exchange(second, hub, 1.3)
    exchange(hub, first, 1.4)
    assert not hub.is_rejected("r", 1.4) and not first.is_rejected("r", 1.4)
    exchange(first, hub, 1.5)
    assert not hub.is_rejected("r", 1.5)


def test_evidence_after_a_completion_counts_again_once_the_completion_is_old():
    """Guards against a request that may end targets for ever because it was completed once."""
    table = crashed("a", "b", "c")
    table.record_completion("r", 2.0)
    assert not table.is_rejected("r", 2.0)
    for target in "def":
        table.record_crash("r", target, 100.0)
    assert table.is_rejected("r", 100.0)


def test_exchange_of_known_evidence_changes_nothing():
    """Guards against two processes that send each other the same evidence for ever."""
    first, second = crashed("a", "b"), CrashTable()
    exchange(first, second, 2.0)
    revision = second.revisions.value
    exchange(first, second, 2.1)
    exchange(second, first, 2.2)
    assert (second.revisions.value, first.revisions.value) == (revision, 2)


def test_memory_for_evidence_is_bounded():
    """Guards against a process that is filled by requests that lose their connections."""
    table = CrashTable()
    for number in range(2 * MAX_RECORDS):
        table.record_crash(f"r{number}", "t", float(number))
        table.record_completion(f"s{number}", float(number))
    assert len(table.records) == MAX_RECORDS
    assert len(table.completed) <= 2 * MAX_RECORDS
