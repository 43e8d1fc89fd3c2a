"""Admission control of a target: priority classes, site hours, fair and bounded queues."""

from turmericreach.limits.admission import Admission
from turmericreach.limits.calendar import SiteCalendar
from turmericreach.limits.fairness import FairQueue
from turmericreach.limits.model import (
    AdmissionSnapshot,
    Admitted,
    Priority,
    Queued,
    Refused,
    Ticket,
)
from turmericreach.limits.window import RolloutWindow, WindowPolicy

__all__ = [
    "Admission",
    "AdmissionSnapshot",
    "Admitted",
    "FairQueue",
    "Priority",
    "Queued",
    "Refused",
    "RolloutWindow",
    "SiteCalendar",
    "Ticket",
    "WindowPolicy",
]
