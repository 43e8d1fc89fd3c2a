"""Names of the HTTP headers that the service defines or interprets."""

__all__ = [
    "DEADLINE_HEADER",
    "IDEMPOTENCY_KEY_HEADER",
    "IDEMPOTENT_HEADER",
    "REQUEST_ID_HEADER",
    "SITE_HEADER",
    "VERDICT_HEADER",
]

REQUEST_ID_HEADER = "Turmericreach-Request-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
IDEMPOTENT_HEADER = "Turmericreach-Idempotent"
DEADLINE_HEADER = "Turmericreach-Deadline-Ms"
SITE_HEADER = "Turmericreach-Site"
VERDICT_HEADER = "Turmericreach-Verdict"
