"""Builders of lots, coordinators, engines and results."""

import random

from turmericreach.lots import (
    Cursor,
    EngineState,
    EngineView,
    GroupSpec,
    LotCoordinator,
    LotSpec,
    RolloutResult,
)
from turmericreach.manifest.schema import Policy
from turmericreach.verdicts import Segment


def make_spec(groups=2, **changes):
    """Build a spec; `groups` is a number of groups or their list."""
    if isinstance(groups, int):
        groups = [GroupSpec(f"prompt {n}") for n in range(groups)]
    values = {
        "name": "eyes-1",
        "trainer": "fitting",
        "service": "assistant",
        "model": "assistant",
        "groups": groups,
        "samples_per_group": 2,
        "staleness_bound": 1,
        "max_tokens": 100,
        "scoring_service": "scorer",
        "deadline_s": 600.0,
    }
    return LotSpec(**(values | changes))


def make_coordinator(spec=None, cursor=None, seed=1, weighting=0.5, copies=1, **options):
    spec = spec or make_spec()
    policy = Policy(weighting=weighting, straggler_copies=copies)
    cursor = cursor or Cursor(spec.size)
    return LotCoordinator(spec, policy, cursor, random.Random(seed), **options)


def engines(*states):
    """Build a view from (target, version, free slots, speed) tuples."""
    return EngineView([EngineState(*state) for state in states])


def result(*segments, engine="e1", tokens=None, **changes):
    """Build a result from (version, tokens) pairs."""
    parts = [Segment(version, count) for version, count in segments]
    total = sum(part.tokens for part in parts) if tokens is None else tokens
    return RolloutResult(text="text", tokens=total, segments=parts, engine=engine, **changes)


def finish(coordinator, task, now=1.0, version=1, score=0.5, text="text"):
    """Report the result of a rollout, whose segments cover all its tokens, and its score."""
    segments = [Segment(version, 10)]
    done = RolloutResult(text=text, tokens=10, segments=segments, engine="e1", attempt_id=text)
    coordinator.on_result(task.task_id, done, now)
    return coordinator.on_score(task.task_id, score, now)
