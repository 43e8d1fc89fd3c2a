"""Heads of responses, and the errors of exchanges without a complete response."""

import attrs

from turmericreach.http1.headers import Headers
from turmericreach.verdicts import TurmericreachError

__all__ = ["ConnectFailed", "ResponseHead", "ResponseIncomplete"]


class ConnectFailed(TurmericreachError):
    """No connection could be opened, so nothing was sent.

    Attributes
    ----------
    refused : bool
        Whether the host refused the connection, since no process listens there.
    """

    def __init__(self, message: str, refused: bool = False):
        super().__init__(message)
        self.refused = refused


class ResponseIncomplete(TurmericreachError):
    """The connection was lost, or sent invalid data, before the response was complete."""


@attrs.frozen
class ResponseHead:
    """Head of a response.

    Attributes
    ----------
    status : int
        Status code.
    headers : Headers
        Header fields.
    """

    status: int
    headers: Headers
