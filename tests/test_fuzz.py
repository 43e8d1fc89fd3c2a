"""Long runs of the state machines with random seeds, for ``make fuzz``."""

import importlib
import os
import random
import time

import pytest
from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import run_state_machine_as_test

DEFAULT_S = 30.0
EXAMPLES = 50
MACHINES = [
    ("tests.attempts.machine", "AttemptsMachine"),
    ("tests.lots.test_machine", "Delivery"),
]
FUZZ_S = float(os.environ.get("FUZZ_SECONDS", DEFAULT_S)) / len(MACHINES)


@pytest.mark.fuzz
@pytest.mark.timeout(FUZZ_S * 2 + 300)
@pytest.mark.parametrize(("module", "name"), MACHINES)
def test_machine_with_random_seeds(module, name, capsys):
    """Runs fresh seeds until the time is used up; FUZZ_SEED repeats the run of a printed seed."""
    machine = getattr(importlib.import_module(module), name)
    options = settings(
        database=None,
        deadline=None,
        max_examples=EXAMPLES,
        stateful_step_count=60,
        suppress_health_check=list(HealthCheck),
        print_blob=True,
    )
    fixed = os.environ.get("FUZZ_SEED")
    ends_at = time.monotonic() + FUZZ_S
    while True:
        number = int(fixed) if fixed else random.SystemRandom().getrandbits(32)
        with capsys.disabled():
            print(f"\n{name}: FUZZ_SEED={number}", flush=True)

        @seed(number)
        class Seeded(machine):
            pass

        run_state_machine_as_test(Seeded, settings=options)
        if fixed or time.monotonic() >= ends_at:
            return
