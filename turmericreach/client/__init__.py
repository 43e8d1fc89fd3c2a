"""Async client for trainers, operators and ordinary callers."""

from turmericreach.client.connection import ApiConnection, ApiError
from turmericreach.client.operator import OperatorClient
from turmericreach.client.trainer import LotRun, TrainerClient

__all__ = ["ApiConnection", "ApiError", "LotRun", "OperatorClient", "TrainerClient"]
