"""HTTP client sessions that send each request once, and bounded reading of answers."""

from turmericreach.httpclient.answer import (
    AnswerCutOff,
    AnswerTooLarge,
    check_length_known,
    read_answer,
    retry_after_s,
)
from turmericreach.httpclient.session import open_session

__all__ = [
    "AnswerCutOff",
    "AnswerTooLarge",
    "check_length_known",
    "open_session",
    "read_answer",
    "retry_after_s",
]
