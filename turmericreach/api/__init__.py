"""Messages and headers of the HTTP API, shared by the gateway and the client."""

from turmericreach.api.headers import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    IDEMPOTENT_HEADER,
    REQUEST_ID_HEADER,
    SITE_HEADER,
    VERDICT_HEADER,
)
from turmericreach.api.messages import (
    AckRequest,
    AnnounceRequest,
    DeclareResponse,
    DrainRequest,
    LotList,
    LotStatus,
    PullRequest,
    PullResponse,
)

__all__ = [
    "DEADLINE_HEADER",
    "IDEMPOTENCY_KEY_HEADER",
    "IDEMPOTENT_HEADER",
    "REQUEST_ID_HEADER",
    "SITE_HEADER",
    "VERDICT_HEADER",
    "AckRequest",
    "AnnounceRequest",
    "DeclareResponse",
    "DrainRequest",
    "LotList",
    "LotStatus",
    "PullRequest",
    "PullResponse",
]
