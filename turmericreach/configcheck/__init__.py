"""Checks of a configuration of the platform before it is sent, without input or output."""

from turmericreach.configcheck.differences import Difference, compare
from turmericreach.configcheck.findings import Finding, Severity, check_configuration

__all__ = ["Difference", "Finding", "Severity", "check_configuration", "compare"]
