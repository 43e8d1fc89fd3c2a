"""Exceptions of the package security."""

from turmericreach.verdicts import TurmericreachError

__all__ = ["TlsError"]


class TlsError(TurmericreachError):
    """TLS files that cannot be read or do not belong together."""
