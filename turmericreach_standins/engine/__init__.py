"""Stand-in of a model engine with continuous batching."""

from turmericreach_standins.engine.app import create_engine
from turmericreach_standins.engine.batch import Batch, QueueFull, Sequence
from turmericreach_standins.engine.cache import PrefixCache
from turmericreach_standins.engine.orders import OrderError, WeightState
from turmericreach_standins.engine.settings import EngineSettings
from turmericreach_standins.engine.text import draw_length, token_text, versions_of_text

__all__ = [
    "Batch",
    "EngineSettings",
    "OrderError",
    "PrefixCache",
    "QueueFull",
    "Sequence",
    "WeightState",
    "create_engine",
    "draw_length",
    "token_text",
    "versions_of_text",
]
