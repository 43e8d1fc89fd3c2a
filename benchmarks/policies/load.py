"""Load of the comparison: trainers, the lengths of their items, and uneven engines.

The figures are those of a day of the smaller deployment, as far as they were measured there.
"""

import random

import attrs

from tests.builders.engine_replay import TOKENS_PER_EVENT, EngineModel
from turmericreach.batches.model import BatchItem

__all__ = ["EVENT_S", "STEP_INTERVAL_S", "TRAINERS", "TrainerModel", "make_engines", "make_group"]

EVENT_S = 0.046
STEP_INTERVAL_S = 4.0
SLOTS = 6
PROMPT_TOKENS = 1000
# 8% of the items are five times as long as the others, up to a limit on the output.
LONG_SHARE = 0.08
LONG_FACTOR = 5.0
MAX_EVENTS = (143, 152)
LENGTH_SIGMA = 0.45
# An estimate is right in the median; one in three is off by more than a factor of two.
ESTIMATE_SIGMA = 0.7
# Engines differ in speed by this factor at most, in both directions.
UNEVENNESS = 0.15
# At any time this share of the engines is slower, each for a short time. Together with the engines'
# differences this gives the 48 to 66 ms an event that were measured, after 46 ms undisturbed.
SHORT_SLOW_SHARE, SHORT_SLOW_S, SHORT_SLOW_FACTOR = 0.15, 0.6, 2.5
# Once, this share of the engines is slower for a longer time.
LONG_SLOW_SHARE, LONG_SLOW_S, LONG_SLOW_FACTOR = 0.2, 8.0, 3.5


@attrs.frozen
class TrainerModel:
    """A trainer, which is the only one of its model.

    Attributes
    ----------
    model : str
        Name of the model.
    groups, items : int
        Groups of a lot, and items of a group.
    median_events : float
        Median of the number of events of its shorter items.
    """

    model: str
    groups: int
    items: int
    median_events: float

    def mean_events(self) -> float:
        """Return the mean number of events of an item, before the limit on the output."""
        mean = self.median_events * (1.0 + LENGTH_SIGMA**2 / 2)
        return mean * (1.0 - LONG_SHARE + LONG_SHARE * LONG_FACTOR)


@attrs.define(eq=False)
class DisturbedEngine(EngineModel):
    """An engine that is also slower for short times.

    Attributes
    ----------
    disturbed : set of int
        Numbers of the intervals of `SHORT_SLOW_S` seconds in which it is slower.
    """

    disturbed: set[int] = attrs.field(factory=set)

    def current_event_s(self, now: float) -> float:
        """Return the present seconds per event."""
        usual = super().current_event_s(now)
        return usual * (SHORT_SLOW_FACTOR if int(now / SHORT_SLOW_S) in self.disturbed else 1.0)


TRAINERS = (
    TrainerModel("long-a", 4, 16, 24.0),
    TrainerModel("long-b", 8, 8, 24.0),
    TrainerModel("short", 8, 8, 9.0),
)


def make_group(
    rng: random.Random, trainer: TrainerModel, name: str, exact: bool
) -> tuple[list[BatchItem], dict[str, int]]:
    """Return the items of a group and the true number of events of each.

    Parameters
    ----------
    exact : bool
        Whether the estimates are the true lengths.
    """
    batch, events = [], {}
    for number in range(trainer.items):
        item = f"{name}i{number}"
        length = trainer.median_events * rng.lognormvariate(0.0, LENGTH_SIGMA)
        if rng.random() < LONG_SHARE:
            length *= LONG_FACTOR
        length = max(2, min(round(length), rng.randint(*MAX_EVENTS)))
        error = rng.lognormvariate(0.0, ESTIMATE_SIGMA)
        estimate = min(length * (1.0 if exact else error), MAX_EVENTS[1])
        expected = estimate * TOKENS_PER_EVENT
        batch.append(BatchItem(item, "/x", [], b"", PROMPT_TOKENS, name, expected, scorer=None))
        events[item] = length
    return batch, events


def make_engines(load: float, seed: int, duration_s: float) -> list[EngineModel]:
    """Return the engines for a load factor: the offered work divided by the usual capacity."""
    event_s = EVENT_S * (1.0 + SHORT_SLOW_SHARE * (SHORT_SLOW_FACTOR - 1.0))
    offered = sum(
        trainer.groups * trainer.items * trainer.mean_events() * event_s / STEP_INTERVAL_S
        for trainer in TRAINERS
    )
    count = max(round(offered / load / SLOTS), len(TRAINERS))
    rng = random.Random(f"engines {seed}")
    engines = []
    for number in range(count):
        event_s = EVENT_S * rng.uniform(1.0 - UNEVENNESS, 1.0 + UNEVENNESS)
        engine = DisturbedEngine(f"e{number}", event_s, SLOTS)
        for interval in range(int(duration_s / SHORT_SLOW_S) + 1):
            if rng.random() < SHORT_SLOW_SHARE:
                engine.disturbed.add(interval)
        engines.append(engine)
    at = duration_s / 4
    for engine in rng.sample(engines, max(round(LONG_SLOW_SHARE * count), 1)):
        engine.slow.append((at, at + LONG_SLOW_S, LONG_SLOW_FACTOR))
    return engines
