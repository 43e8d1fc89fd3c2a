"""The audit trail: records, their buffered writer and their reader."""

from turmericreach.audit.log import AuditLog
from turmericreach.audit.record import GAP_ACTION, AuditRecord
from turmericreach.audit.segment import AUDIT_KIND, MAX_SEGMENTS, SEGMENT_BYTES, read_audit

__all__ = [
    "AUDIT_KIND",
    "GAP_ACTION",
    "MAX_SEGMENTS",
    "SEGMENT_BYTES",
    "AuditLog",
    "AuditRecord",
    "read_audit",
]
