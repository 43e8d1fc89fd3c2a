"""Fleet membership: the member table of a process, its messages and failure detection."""

from turmericreach.membership.records import (
    CrashedRequest,
    Digest,
    DigestReply,
    HostState,
    MemberRecord,
    Notice,
    Report,
    ReportReply,
    Silence,
    TargetStatus,
    decode,
    encode,
)
from turmericreach.membership.table import MemberTable

__all__ = [
    "CrashedRequest",
    "Digest",
    "DigestReply",
    "HostState",
    "MemberRecord",
    "MemberTable",
    "Notice",
    "Report",
    "ReportReply",
    "Silence",
    "TargetStatus",
    "decode",
    "encode",
]
