"""Exceptions of the security package."""

from turmericreach.verdicts import TurmericreachError

__all__ = ["TlsError"]


class TlsError(TurmericreachError):
    """TLS files that cannot be used."""
