"""Records of the audit trail."""

import attrs

from turmericreach.telemetry.redaction import redact

__all__ = ["GAP_ACTION", "AuditRecord", "bound_record"]

GAP_ACTION = "gap"
# Limits in characters. A record with all texts at their limits must fit into an empty segment, even
# if JSON escapes make each character six bytes long.
MAX_NAME = 256
MAX_STATE = 8_000


@attrs.frozen
class AuditRecord:
    """A change that an operator, a trainer or a daemon made.

    Attributes
    ----------
    at : float
        Unix time of the change in seconds.
    daemon : str
        Name of the daemon that made or accepted the change.
    actor : str
        Who requested the change.
    action : str
        Kind of change; `GAP_ACTION` marks a gap, that is, records that were lost.
    subject : str
        What was changed.
    before, after : str
        State before and after; for a gap, the reason and the number of records lost.
    generation : int
        Generation of the manifest in force.
    change_id : str
        Id of the change, empty if it has none.
    record_id : str
        Unique id of the record, assigned by `AuditLog` if empty.
    """

    at: float
    daemon: str
    actor: str
    action: str
    subject: str
    before: str = ""
    after: str = ""
    generation: int = 0
    change_id: str = ""
    record_id: str = ""


def bound_record(record: AuditRecord, record_id: str) -> AuditRecord:
    """Return a copy of a record with an id, with secrets redacted and texts cut to their limits."""
    changes = {}
    for field in attrs.fields(AuditRecord):
        value = getattr(record, field.name)
        if not isinstance(value, str):
            continue
        limit = MAX_STATE if field.name in ("before", "after") else MAX_NAME
        # Cutting before redaction bounds its cost; a secret that was cut is still recognized by its
        # start.
        changes[field.name] = redact(value[:limit])[:limit]
    changes["record_id"] = changes["record_id"] or record_id
    return attrs.evolve(record, **changes)
