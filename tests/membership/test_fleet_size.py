"""Traffic and convergence at the intended fleet size: 6 data centres with 57 members each."""

import random

import pytest

from tests.builders.fleet import Fleet
from turmericreach.membership import TargetStatus

BYTES_PER_SECOND = 23_000
CONFIRMED_WITHIN_S = 8
SECONDS_PER_GENERATION = 24 * 3600 / 820
SECONDS_PER_UPDATE = 120


@pytest.mark.timeout(180)
def test_target_size_converges_within_the_budget():
    """Guards against control traffic over the budget at the intended size.

    The traffic is the payload of both directions at the busiest member.
    """
    fleet = Fleet()
    fleet.step(6)
    gateways = [table for table in fleet.tables.values() if table.own.role == "gateway"]
    assert {len(table.live(fleet.now)) for table in gateways} == {342}
    generator = random.Random(1)
    quiet = run(fleet, generator, 10)
    generation = run(fleet, generator, CONFIRMED_WITHIN_S, generation=1) - quiet
    assert all(generations(table) == {1} for table in gateways)
    wanted = run(fleet, generator, CONFIRMED_WITHIN_S, generation=1, wanted=1) - quiet
    swapped = run(fleet, generator, CONFIRMED_WITHIN_S, generation=1, wanted=1, version=1) - quiet
    assert all(versions(table) == {1} for table in gateways)
    bursts = generation / SECONDS_PER_GENERATION + (wanted + swapped) / SECONDS_PER_UPDATE
    total = quiet + CONFIRMED_WITHIN_S * bursts
    print(f"quiet {quiet:.0f} B/s, generation {generation:.0f}, total {total:.0f} B/s")
    assert total < BYTES_PER_SECOND


def run(fleet, generator, seconds, **changes):
    """Return the bytes per second of the busiest member."""
    fleet.bytes.clear()
    for _ in range(seconds):
        change(fleet, generator, **changes)
        fleet.step()
    return max(fleet.bytes.values()) / seconds


def generations(table):
    return {record.generation for record in table.records.values()}


def versions(table):
    return {target.version for record in table.records.values() for target in record.targets}


def change(fleet, generator, generation=0, **versions):
    for name, table in fleet.tables.items():
        count = 4 if table.own.role == "agent" else 0
        targets = [
            TargetStatus(
                f"{name}-t{number}", "assistant", slots=8, running=generator.randrange(9),
                waiting=generator.randrange(9), **versions,
            )
            for number in range(count)
        ]  # fmt: skip
        table.set_own(fleet.now, generation=generation, targets=targets)
