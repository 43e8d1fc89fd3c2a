"""Decisions on what several processes share about a target or a request, without I/O."""

from turmericreach.sharing.limits import Limit, LimitTable

__all__ = ["Limit", "LimitTable"]
