"""A caller's request in the gateway."""

import attrs

from turmericreach.attempts.fingerprint import attempt_fingerprint

__all__ = ["CallerRequest"]


@attrs.frozen
class CallerRequest:
    """One request to a named service.

    Attributes
    ----------
    request_id : str
        Identifies the request across its attempts.
    service : str
        Name of the service.
    deadline : float
        Instant on the event loop's clock by which the request must end, in seconds.
    idempotent : bool
        Whether the request may be repeated after an unknown outcome.
    key : str
        Idempotency key of the caller, empty if it gave none.
    priority : str
        Priority class; only requests of the class ``ordinary`` wait for a target.
    method, path : str
        HTTP method and path at the target.
    headers : list of (str, str)
        HTTP headers for the target.
    body : bytes
        HTTP body for the target.
    lot : str
        Lot that the request belongs to, empty for none.
    trainer : str
        Trainer that owns the lot, empty for none.
    site : str
        Site that the request belongs to, empty if unknown.
    min_version : int
        Lowest weight version that may serve the request, 0 for any.
    prefix : str
        Identifies the prompt prefix, empty for requests without one.
    expected_tokens : int
        Expected length of the response in tokens, 0 if unknown.
    preferred_target : str
        Target to select if it can serve the request, empty for none.
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
    preferred_target: str = ""

    def ordinary_fingerprint(self) -> str:
        """Return the digest of an ordinary request, empty for work that is owed in any case."""
        if self.lot or self.priority != "ordinary":
            return ""
        return attempt_fingerprint(self.service, self.method, self.path, self.headers, self.body)
