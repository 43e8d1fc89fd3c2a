"""The interface of a model engine."""

import enum
from typing import Any, Protocol

import attrs

from turmericreach.verdicts import ErrorCode, Segment, TurmericreachError, Verdict

__all__ = [
    "Engine",
    "EngineError",
    "EngineLoad",
    "EngineOrder",
    "EngineVersion",
    "Generation",
    "GenerationRequest",
    "OrderKind",
    "OrderRefused",
]


class EngineError(TurmericreachError):
    """A call to an engine failed.

    Parameters
    ----------
    code : ErrorCode
    message : str
    verdict : Verdict
        Whether the call may have had an effect.
    retry_after_s : float
        Seconds after which the engine asks to be called again, 0 if unknown.
    """

    def __init__(self, code: ErrorCode, message: str, verdict: Verdict, retry_after_s: float = 0.0):
        super().__init__(message)
        self.code = code
        self.verdict = verdict
        self.retry_after_s = retry_after_s


class OrderRefused(EngineError):
    """An engine refused an order, for example because of its fencing number.

    Attributes
    ----------
    fencing : int
        Fencing number that the engine holds, 0 if it gave none.
    """

    def __init__(self, message: str, fencing: int = 0):
        super().__init__(ErrorCode.CONFLICT, message, Verdict.NOT_RUN)
        self.fencing = fencing


@attrs.frozen
class GenerationRequest:
    """A completion to generate.

    Attributes
    ----------
    priority : int
        Lower values are served first.
    """

    request_id: str
    prompt: str
    max_tokens: int
    temperature: float = 1.0
    seed: int = 0
    priority: int = 0


@attrs.frozen
class Generation:
    """A finished completion.

    Attributes
    ----------
    segments : list of Segment
        Weight versions as the engine reported them with the tokens.
    labelled : bool
        False if a chunk came without a version; the label is then unknown.
    """

    text: str
    tokens: int
    finish_reason: str
    segments: list[Segment]
    labelled: bool


class OrderKind(enum.StrEnum):
    """Orders that an engine takes."""

    PREPARE = "prepare"
    ACTIVATE = "activate"
    LOAD_ADAPTER = "load_adapter"
    ROLE = "role"


@attrs.frozen
class EngineOrder:
    """An order to an engine.

    Attributes
    ----------
    fencing : int
        Fencing number; engines that check it refuse a lower one than they have seen.
    token : str
        Proof of who gives the order, for engines that check it.
    """

    kind: OrderKind
    version: int = 0
    fencing: int = 0
    token: str = ""
    argument: str = ""


@attrs.frozen
class EngineVersion:
    """The weights that an engine serves and those it holds ready."""

    version: int
    prepared: list[int] = attrs.field(factory=list)


@attrs.frozen
class EngineLoad:
    """Load as the engine reports it, with a lag."""

    running: int
    waiting: int
    slots: int


class Engine(Protocol):
    """What the system asks of a model engine. All methods may raise `EngineError`."""

    async def generate(self, request: GenerationRequest) -> Generation:
        """Generate a completion; cancelling the call cancels it at the engine."""

    async def cancel(self, request_id: str) -> None:
        """Stop a completion and free its slot."""

    async def resume(self, request_id: str, from_token: int) -> Generation:
        """Resume an interrupted stream from a token position."""

    async def export_kv(self, cache_id: str) -> bytes:
        """Return the KV cache of a sequence."""

    async def import_kv(self, cache_id: str, data: bytes) -> None:
        """Load the KV cache of a sequence."""

    async def order(self, order: EngineOrder) -> EngineVersion:
        """Give an order; raises `OrderRefused` if the engine refuses it."""

    async def version(self) -> EngineVersion:
        """Return the weights in use."""

    async def load(self) -> EngineLoad:
        """Return the load, which lags."""

    async def cache_events(self, since: int) -> list[dict[str, Any]]:
        """Return prefix-cache events after a sequence number; late and with gaps."""
