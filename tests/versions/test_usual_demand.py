"""Division of the engines by the usual work of lots whose estimates vary."""

import random

from turmericreach.batches.arrivals import next_arrival
from turmericreach.versions.assignment import assign_models
from turmericreach.versions.engine_view import EngineView

MODELS = {"long-a": 28.0, "long-b": 28.0, "short": 11.0}
ENGINES = [EngineView(f"e{number}", {}, slots=6, event_s=0.05) for number in range(18)]


def changed_engines(usual):
    """Return how often an engine gets another model in 100 steps of three trainers."""
    rng = random.Random(1)
    arrivals, division, changes = {}, {}, 0
    for step in range(100):
        for model, mean in MODELS.items():
            tokens = mean * rng.lognormvariate(0.0, 0.3)
            arrivals[model] = next_arrival(arrivals.get(model), float(step), tokens, 64)
        demand = {
            model: arrival.usual_tokens if usual else arrival.expected_tokens
            for model, arrival in arrivals.items()
        }
        former, division = division, assign_models(ENGINES, demand, division)
        changes += sum(former.get(name, model) != model for name, model in division.items())
    return changes


def test_engines_change_models_seldom_although_estimates_vary():
    """Guards against engines that load another model for each lot with a larger estimate.

    Load: lots of three models every step, with expected work that varies by a third.
    """
    newest = changed_engines(usual=False)
    assert newest > 0
    assert changed_engines(usual=True) < newest / 4


def test_usual_work_follows_a_lasting_change():
    """Guards against engines divided by work that trainers no longer ask for."""
    arrival = next_arrival(None, 0.0, 100.0, 8)
    assert arrival.usual_tokens == 100.0
    for step in range(10):
        arrival = next_arrival(arrival, float(step), 300.0, 8)
    assert arrival.usual_tokens > 290.0
