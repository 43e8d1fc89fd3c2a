"""HTTP client sessions that send each request once, and bounded reading of responses."""

from turmericreach.httpclient.response import (
    LIMIT_HEADER,
    LeaveObserver,
    LimitObserver,
    ResponseLengthUnknown,
    ResponseTooLarge,
    check_length_known,
    observe_state,
    read_response,
    retry_after_s,
)
from turmericreach.httpclient.session import open_session

__all__ = [
    "LIMIT_HEADER",
    "LeaveObserver",
    "LimitObserver",
    "ResponseLengthUnknown",
    "ResponseTooLarge",
    "check_length_known",
    "observe_state",
    "open_session",
    "read_response",
    "retry_after_s",
]
