"""Duties of the coordinator towards the platform: usage reports and sizes of services.

The modules decide; they perform no input or output, and times are arguments.
"""

from turmericreach.duties.fencing import FencedTokens
from turmericreach.duties.report_log import ReportLog, ReportTimings
from turmericreach.duties.request_usage import RequestUsage
from turmericreach.duties.true_time import TrueTime
from turmericreach.duties.usage import UsageBook, UsageShare

__all__ = [
    "FencedTokens",
    "ReportLog",
    "ReportTimings",
    "RequestUsage",
    "TrueTime",
    "UsageBook",
    "UsageShare",
]
