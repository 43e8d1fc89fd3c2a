"""Async client for trainers, operators and ordinary callers."""

from turmericreach.client.connection import ApiConnection, ApiError
from turmericreach.client.operator import ChangeUnknown, OperatorClient
from turmericreach.client.trainer import LotRun, TrainerClient

__all__ = [
    "ApiConnection",
    "ApiError",
    "ChangeUnknown",
    "LotRun",
    "OperatorClient",
    "TrainerClient",
]
