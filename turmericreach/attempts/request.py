"""A caller's request as the gateway sees it."""

import attrs

__all__ = ["CallerRequest"]


@attrs.frozen
class CallerRequest:
    """One request to a named service.

    Attributes
    ----------
    idempotent : bool
        Whether the request may be repeated after an unknown outcome.
    key : str
        Idempotency key of the caller, empty if it gave none.
    deadline : float
        Latest end on the loop's clock, in seconds.
    min_version : int
        Lowest weight version that may serve the request, 0 for any.
    prefix : str
        Identifies the prompt prefix, empty for requests without one.
    expected_tokens : int
        Tokens that the answer is expected to have, 0 if unknown.
    site : str
        Site that the request belongs to, empty if unknown.
    prefer_target : str
        Target to use if it can serve the request, empty for none.
    """

    request_id: str
    service: str
    deadline: float
    idempotent: bool = True
    key: str = ""
    priority: str = "ordinary"
    method: str = "GET"
    path: str = "/"
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes = b""
    lot: str = ""
    trainer: str = ""
    site: str = ""
    min_version: int = 0
    prefix: str = ""
    expected_tokens: int = 0
    prefer_target: str = ""
