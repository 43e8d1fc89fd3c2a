"""Delivery of finished samples to the trainer and handover to another coordinator."""

import msgspec

from turmericreach.lots.cursor import Cursor
from turmericreach.lots.samples import PullResult, RolloutResult, Sample, is_label_complete
from turmericreach.lots.spec import lot_digest
from turmericreach.lots.state import Phase
from turmericreach.verdicts import ErrorCode, RequestError

__all__ = ["acknowledge", "export_samples", "import_samples", "pull_samples"]


class LotHandover(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State of a lot that a stopping coordinator sends to the next one.

    Attributes
    ----------
    lot : str
        Name of the lot.
    digest : str
        Digest of the lot spec.
    cursor : str
        Encoded cursor of the acknowledged samples.
    highest : int
        Highest weight version that the trainer has stated.
    samples : list of Sample
        Finished samples that are not acknowledged.
    handed : list of int
        Ordinals of the samples that were already delivered to the trainer.
    """

    lot: str
    digest: str
    cursor: str
    highest: int
    samples: list[Sample]
    handed: list[int]


def bad_request(message):
    """Return the error for an invalid call or handover."""
    return RequestError(ErrorCode.BAD_REQUEST, message)


def pull_samples(state, cursor, trainer_version, max_samples, now, whole_groups, max_bytes):
    """Select the samples to deliver to the trainer.

    Parameters
    ----------
    state : LotState
        State of the lot; the delivered samples are marked in it.
    cursor : Cursor
        Samples that the trainer has consumed.
    trainer_version : int
        Current weight version of the trainer.
    max_samples : int
        Maximum number of samples to return.
    now : float
        Current time in seconds.
    whole_groups : bool
        Whether to deliver a group only when all of its samples are finished.
    max_bytes : int
        Total size of the text of finished samples, in bytes, above which consumed samples are
        removed before they are acknowledged.

    Returns
    -------
    PullResult

    Raises
    ------
    RequestError
        With code ``bad_request`` for a cursor of a lot of another size or numbers out of range.
    """
    if trainer_version < 0 or max_samples < 1:
        raise bad_request("trainer_version must not be negative and max_samples must be positive")
    if whole_groups and max_samples < state.spec.samples_per_group:
        raise bad_request("max_samples is smaller than samples_per_group")
    consumed = state.acknowledged.union(cursor)
    state.last_pull_cursor = cursor
    state.highest_trainer_version = max(state.highest_trainer_version, trainer_version)
    discard_stale(state, now)
    remove_consumed_if_full(state, max_bytes)
    records = (
        select_groups(state, max_samples) if whole_groups else select_samples(state, max_samples)
    )
    for record in records:
        record.delivered = True
    remaining = state.spec.size - consumed.count() - len(records)
    return PullResult(
        samples=[record.sample for record in records],
        remaining=remaining,
        done=consumed.count() == state.spec.size,
        trainer_version=state.highest_trainer_version,
    )


def discard_stale(state, now):
    """Discard the finished, unconsumed samples that exceed the staleness bound.

    This includes samples that were already delivered: the trainer has not confirmed them, and
    they are too old for its current version.
    """
    for ordinal in sorted(state.ready):
        record = state.records[ordinal]
        if state.is_wanted(ordinal) and state.is_stale(record.sample):
            state.discard_sample(record, "stale", now)


def remove_consumed_if_full(state, max_bytes):
    """Remove consumed, unacknowledged samples until the buffer is within `max_bytes`.

    Below that size they are kept, since a trainer that restarts from a checkpoint pulls them
    again.
    """
    for ordinal in sorted(state.ready):
        if state.buffered_bytes <= max_bytes:
            return
        if not state.is_wanted(ordinal):
            remove_consumed(state, state.records[ordinal])


def remove_consumed(state, record):
    """Remove a consumed sample; a trainer that pulls it again gets a new candidate."""
    state.remove_sample(record)
    record.candidate += 1


def select_samples(state, max_samples):
    """Return the records to deliver: those delivered before, then the oldest versions."""
    records = [state.records[ordinal] for ordinal in state.ready if state.is_wanted(ordinal)]
    records.sort(key=delivery_order)
    return records[:max_samples]


def delivery_order(record):
    """Return the sort key of a ready record: delivered ones first, then by version."""
    return (not record.delivered, record.sample.lowest_version, record.ordinal)


def select_groups(state, max_samples):
    """Return the records of complete groups, at most `max_samples` in total."""
    per_group = state.spec.samples_per_group
    groups = []
    for group in sorted({ordinal // per_group for ordinal in state.ready}):
        first = state.spec.ordinal(group, 0)
        ordinals = range(first, first + per_group)
        wanted = [state.records[ordinal] for ordinal in ordinals if state.is_wanted(ordinal)]
        if wanted and all(record.phase is Phase.READY for record in wanted):
            groups.append((min(delivery_order(record) for record in wanted), wanted))
    records = []
    for _, wanted in sorted(groups, key=lambda entry: entry[0]):
        if len(records) + len(wanted) <= max_samples:
            records += wanted
    return records


def acknowledge(state, cursor, now):
    """Merge a cursor into the acknowledged one and remove its samples.

    Parameters
    ----------
    state : LotState
        State of the lot.
    cursor : Cursor
        Samples whose effect the trainer has saved.
    now : float
        Current time in seconds.

    Returns
    -------
    list of Action
        `Cancel` for rollouts of acknowledged samples.
    """
    newly_acknowledged = state.acknowledged.union(cursor).bits & ~state.acknowledged.bits
    state.acknowledged = state.acknowledged.union(cursor)
    actions = []
    while newly_acknowledged:
        ordinal = (newly_acknowledged & -newly_acknowledged).bit_length() - 1
        newly_acknowledged &= newly_acknowledged - 1
        record = state.records[ordinal]
        actions += state.cancel_tasks(record, now)
        state.remove_sample(record)
        record.phase = Phase.QUEUED
        state.queue[state.spec.group_of(ordinal)].discard(ordinal)
    return actions


def export_samples(state):
    """Return a `LotHandover` with the finished, unacknowledged samples as JSON bytes."""
    records = [state.records[ordinal] for ordinal in sorted(state.ready)]
    return msgspec.json.encode(
        LotHandover(
            lot=state.spec.name,
            digest=lot_digest(state.spec),
            cursor=state.acknowledged.encode(),
            highest=state.highest_trainer_version,
            samples=[record.sample for record in records],
            handed=[record.ordinal for record in records if record.delivered],
        )
    )


def import_samples(state, body, now):
    """Import the finished samples that another coordinator handed over.

    A sample that was delivered to the trainer replaces a local candidate that was not, so that
    a repeated pull returns the same sample.

    Parameters
    ----------
    state : LotState
        State of the lot.
    body : bytes
        Result of `export_samples`.
    now : float
        Current time in seconds.

    Returns
    -------
    list of Action
        `Cancel` for rollouts that are no longer needed.

    Raises
    ------
    RequestError
        With code ``bad_request`` for malformed data and ``conflict`` if it belongs to another
        lot or to a lot spec with other content.
    """
    try:
        handover = msgspec.json.decode(body, type=LotHandover)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise bad_request(f"handover: {error}") from error
    if handover.lot != state.spec.name or handover.digest != lot_digest(state.spec):
        raise RequestError(
            ErrorCode.CONFLICT, "handover: the data belong to another lot", status=409
        )
    cursor = Cursor.decode(handover.cursor, state.spec.size)
    samples = [(check_sample(state.spec, sample), sample) for sample in handover.samples]
    state.highest_trainer_version = max(state.highest_trainer_version, handover.highest)
    actions = acknowledge(state, cursor, now)
    delivered = set(handover.handed)
    for ordinal, sample in samples:
        actions += import_sample(state, ordinal, sample, ordinal in delivered, now)
    return actions


def check_sample(spec, sample):
    """Return the ordinal of an imported sample; raise `RequestError` if it is invalid."""
    if not 0 <= sample.group < len(spec.groups) or not 0 <= sample.index < spec.samples_per_group:
        raise bad_request(f"handover: sample {sample.id} is not in the lot")
    ordinal = spec.ordinal(sample.group, sample.index)
    result = RolloutResult(
        text=sample.text,
        tokens=sample.tokens,
        segments=sample.segments,
        started_version=sample.started_version,
        finished_version=sample.finished_version,
    )
    if sample.id != spec.sample_id(ordinal) or not is_label_complete(result):
        raise bad_request(
            f"handover: sample {sample.id} has a wrong id or an incomplete version label"
        )
    return ordinal


def import_sample(state, ordinal, sample, was_delivered, now):
    """Import one sample unless it is not needed or the local candidate has precedence."""
    record = state.records[ordinal]
    keeps_own = record.phase is Phase.READY and (record.delivered or not was_delivered)
    if keeps_own or state.acknowledged.contains(ordinal) or state.is_stale(sample):
        return []
    actions = state.cancel_tasks(record, now)
    if record.phase is Phase.READY:
        state.tokens_useful -= record.sample.tokens
    state.tokens_thrown_away += state.remove_sample(record)
    state.store_sample(record, sample)
    state.make_ready(record, sample.score)
    record.delivered = was_delivered
    return actions
