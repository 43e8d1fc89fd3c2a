"""HTTP client sessions that send each request once, and bounded reading of responses."""

from turmericreach.httpclient.response import (
    ResponseLengthUnknown,
    ResponseTooLarge,
    check_length_known,
    read_response,
    retry_after_s,
)
from turmericreach.httpclient.session import open_session

__all__ = [
    "ResponseLengthUnknown",
    "ResponseTooLarge",
    "check_length_known",
    "open_session",
    "read_response",
    "retry_after_s",
]
