"""Adapters for targets: model engines and plain HTTP services."""

from turmericreach.targets.engine import (
    Engine,
    EngineError,
    EngineLoad,
    EngineOrder,
    EngineVersion,
    Generation,
    GenerationRequest,
    OrderKind,
    OrderRefused,
)
from turmericreach.targets.openai import OpenAIEngine
from turmericreach.targets.service import HttpService, ServiceCall

__all__ = [
    "Engine",
    "EngineError",
    "EngineLoad",
    "EngineOrder",
    "EngineVersion",
    "Generation",
    "GenerationRequest",
    "HttpService",
    "OpenAIEngine",
    "OrderKind",
    "OrderRefused",
    "ServiceCall",
]
