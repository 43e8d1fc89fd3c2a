"""Runs the stateful test of attempts with reproducible examples."""

from hypothesis import HealthCheck, settings

from tests.attempts.machine import AttemptsMachine

TestAttempts = AttemptsMachine.TestCase
TestAttempts.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=120,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)
