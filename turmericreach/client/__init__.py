"""Asyncio client for trainers, operators and other callers."""

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
