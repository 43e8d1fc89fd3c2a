"""One entry of the audit trail."""

import attrs

from turmericreach.telemetry.redaction import redact

__all__ = ["GAP_ACTION", "AuditRecord", "bound_record"]

GAP_ACTION = "gap"
# A record with every text at its limit has to fit into an empty segment, even if JSON escapes
# make each character six bytes long.
MAX_NAME = 256
MAX_STATE = 8_000


@attrs.frozen
class AuditRecord:
    """A change that somebody made.

    Attributes
    ----------
    at : float
        Unix time in seconds.
    daemon : str
        Daemon that made or accepted the change.
    actor : str
        Who asked for it.
    action : str
        What was done; `GAP_ACTION` stands for records that were lost.
    subject : str
        What it was done to.
    before, after : str
        State before and after; of a gap, the reason and the number of records lost.
    generation : int
        Generation in force.
    change_id : str
        Id of the change.
    record_id : str
        Unique id, assigned by `AuditLog` if empty.
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
    """Return a record with an id, without secrets and with bounded texts."""
    changes = {}
    for field in attrs.fields(AuditRecord):
        value = getattr(record, field.name)
        if not isinstance(value, str):
            continue
        limit = MAX_STATE if field.name in ("before", "after") else MAX_NAME
        # Cutting first bounds the work; a secret cut in half is still recognized by its start.
        changes[field.name] = redact(value[:limit])[:limit]
    changes["record_id"] = changes["record_id"] or record_id
    return attrs.evolve(record, **changes)
