"""The configuration in force and its confirmation by the daemons."""

from turmericreach.config.confirmation import Confirmation
from turmericreach.config.state import (
    Accepted,
    ConfigState,
    Contradiction,
    Ignored,
    Readiness,
    Revision,
    Source,
)

__all__ = [
    "Accepted",
    "ConfigState",
    "Confirmation",
    "Contradiction",
    "Ignored",
    "Readiness",
    "Revision",
    "Source",
]
