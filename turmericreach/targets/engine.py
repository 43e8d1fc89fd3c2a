"""Interface of a model engine."""

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
        Kind of the failure.
    message : str
        Description of the failure.
    verdict : Verdict
        Whether the call may have had an effect.
    retry_after_s : float
        Seconds after which the engine asks to be called again, 0 if it gave none.
    """

    def __init__(self, code: ErrorCode, message: str, verdict: Verdict, retry_after_s: float = 0.0):
        super().__init__(message)
        self.code = code
        self.verdict = verdict
        self.retry_after_s = retry_after_s


class OrderRefused(EngineError):
    """An engine refused an order, for example because of a stale fencing token.

    Attributes
    ----------
    fencing : int
        Fencing token that the engine holds, 0 if it gave none.
    """

    def __init__(self, message: str, fencing: int = 0):
        super().__init__(ErrorCode.CONFLICT, message, Verdict.NOT_RUN)
        self.fencing = fencing


@attrs.frozen
class GenerationRequest:
    """Parameters of a completion to generate.

    Attributes
    ----------
    request_id : str
        Identifies the completion at the engine, for cancelling and resuming it.
    prompt : str
        Text to complete.
    max_tokens : int
        Largest number of tokens to generate.
    temperature : float
        Sampling temperature.
    seed : int
        Seed of the sampling.
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
    text : str
        Generated text.
    tokens : int
        Number of generated tokens.
    finish_reason : str
        Why the generation ended, as the engine reported it, such as ``stop`` or ``length``.
    segments : list of Segment
        Weight versions as the engine reported them with the tokens, in order of generation.
    labelled : bool
        False if a chunk came without a version or token count; the label is then unknown.
    """

    text: str
    tokens: int
    finish_reason: str
    segments: list[Segment]
    labelled: bool


class OrderKind(enum.StrEnum):
    """Kinds of orders that an engine accepts."""

    PREPARE = "prepare"
    ACTIVATE = "activate"
    LOAD_ADAPTER = "load_adapter"
    ROLE = "role"


@attrs.frozen
class EngineOrder:
    """An order to an engine.

    Attributes
    ----------
    kind : OrderKind
        What the engine is to do.
    version : int
        Weight version that the order concerns, 0 for none.
    fencing : int
        Fencing token; engines that check it refuse one lower than the highest they have seen.
    token : str
        Credential of the sender, for engines that check it; empty for none.
    argument : str
        Adapter to load or role to assume, empty for other kinds.
    """

    kind: OrderKind
    version: int = 0
    fencing: int = 0
    token: str = ""
    argument: str = ""


@attrs.frozen
class EngineVersion:
    """Weight versions of an engine.

    Attributes
    ----------
    version : int
        Version that the engine serves.
    prepared : list of int
        Versions that the engine has loaded and can activate.
    """

    version: int
    prepared: list[int] = attrs.field(factory=list)


@attrs.frozen
class EngineLoad:
    """Load as the engine reports it, with a delay.

    Attributes
    ----------
    running : int
        Completions that are being generated.
    waiting : int
        Completions in the queue.
    slots : int
        Completions that the engine can generate at the same time.
    """

    running: int
    waiting: int
    slots: int


class Engine(Protocol):
    """Operations of a model engine. All methods may raise `EngineError`."""

    async def generate(self, request: GenerationRequest) -> Generation:
        """Generate a completion; cancelling the call cancels the completion at the engine."""

    async def cancel(self, request_id: str) -> None:
        """Stop a completion and release its slot."""

    async def resume(self, request_id: str, from_token: int) -> Generation:
        """Resume an interrupted completion from the token at index `from_token`."""

    async def export_kv(self, cache_id: str) -> bytes:
        """Return the KV cache of a sequence."""

    async def import_kv(self, cache_id: str, data: bytes) -> None:
        """Load the KV cache of a sequence."""

    async def order(self, order: EngineOrder) -> EngineVersion:
        """Send an order and return the versions of the engine after it.

        Raises
        ------
        OrderRefused
            If the engine refuses the order.
        """

    async def version(self) -> EngineVersion:
        """Return the weight versions of the engine."""

    async def load(self) -> EngineLoad:
        """Return the load, which is reported with a delay."""

    async def cache_events(self, since: int) -> list[dict[str, Any]]:
        """Return the prefix-cache events after sequence number `since`.

        The engine publishes events with a delay, and some may be missing.
        """
