"""The configuration in force at a daemon, and its confirmation by all daemons."""

from turmericreach.config.confirmation import Confirmation
from turmericreach.config.state import (
    Accepted,
    ConfigState,
    Ignored,
    Readiness,
    Revision,
    RevisionConflict,
    Source,
)

__all__ = [
    "Accepted",
    "ConfigState",
    "Confirmation",
    "Ignored",
    "Readiness",
    "Revision",
    "RevisionConflict",
    "Source",
]
