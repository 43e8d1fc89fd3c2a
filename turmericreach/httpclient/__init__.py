"""HTTP client sessions that send each request once."""

from turmericreach.httpclient.session import open_session

__all__ = ["open_session"]
