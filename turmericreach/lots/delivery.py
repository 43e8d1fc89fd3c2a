"""Hand-over of finished samples to the trainer and to another coordinator."""

import msgspec

from turmericreach.lots.cursor import Cursor
from turmericreach.lots.samples import PullResult, RolloutResult, Sample, is_label_complete
from turmericreach.lots.spec import lot_digest
from turmericreach.lots.state import Phase
from turmericreach.verdicts import ErrorCode, RequestError

__all__ = ["acknowledge", "export_samples", "import_samples", "pull_samples"]


class HandOver(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a stopping coordinator gives to the next one.

    Attributes
    ----------
    digest : str
        Digest of the lot spec.
    handed : list of int
        Ordinals that were part of a pull answer.
    """

    lot: str
    digest: str
    cursor: str
    highest: int
    samples: list[Sample]
    handed: list[int]


def bad_request(message):
    """Return the error for a call that is refused."""
    return RequestError(ErrorCode.BAD_REQUEST, message)


def pull_samples(state, cursor, trainer_version, max_samples, now, whole_groups, max_bytes):
    """Choose the samples to hand over.

    Parameters
    ----------
    state : LotState
    cursor : Cursor
        Samples that the trainer has consumed.
    trainer_version : int
        Weight version of the trainer.
    max_samples : int
        Most samples in the answer.
    now : float
        Time in seconds.
    whole_groups : bool
        Whether a group is handed over only when all of it is finished.
    max_bytes : int
        Size of finished samples above which the consumed ones are freed before their
        acknowledgement.

    Returns
    -------
    PullResult

    Raises
    ------
    RequestError
        With code ``bad_request`` for a cursor of another lot or numbers out of range.
    """
    if trainer_version < 0 or max_samples < 1:
        raise bad_request("trainer_version must not be negative and max_samples must be positive")
    if whole_groups and max_samples < state.spec.samples_per_group:
        raise bad_request("max_samples is smaller than a group")
    consumed = state.acked.union(cursor)
    state.stated = cursor
    state.highest = max(state.highest, trainer_version)
    drop_stale(state, now)
    free_consumed(state, max_bytes)
    records = choose_groups(state, max_samples) if whole_groups else choose(state, max_samples)
    for record in records:
        record.handed = True
    remaining = state.spec.size - consumed.count() - len(records)
    return PullResult(
        samples=[record.sample for record in records],
        remaining=remaining,
        done=consumed.count() == state.spec.size,
        trainer_version=state.highest,
    )


def drop_stale(state, now):
    """Drop the finished samples that are over their bound and not yet consumed.

    This includes samples that an earlier answer held: the trainer has not confirmed them, and
    by its present version they are too old to be used.
    """
    for ordinal in sorted(state.ready):
        record = state.records[ordinal]
        if state.is_wanted(ordinal) and state.is_stale(record.sample):
            state.discard_sample(record, "stale", now)


def free_consumed(state, max_bytes):
    """Free consumed samples that are not acknowledged, if memory is short.

    They are kept otherwise, for a trainer that restarts from a checkpoint.
    """
    for ordinal in sorted(state.ready):
        if state.buffered_bytes <= max_bytes:
            return
        if not state.is_wanted(ordinal):
            release_consumed(state, state.records[ordinal])


def release_consumed(state, record):
    """Free a consumed sample; if the trainer goes back, a new candidate is generated."""
    state.release(record)
    record.candidate += 1


def choose(state, max_samples):
    """Return the records to hand over: those handed before, then the oldest versions."""
    records = [state.records[ordinal] for ordinal in state.ready if state.is_wanted(ordinal)]
    records.sort(key=hand_over_order)
    return records[:max_samples]


def hand_over_order(record):
    """Return the sort key of a ready record."""
    return (not record.handed, record.sample.lowest_version, record.ordinal)


def choose_groups(state, max_samples):
    """Return the records of complete groups, as many groups as fit."""
    per_group = state.spec.samples_per_group
    groups = []
    for group in sorted({ordinal // per_group for ordinal in state.ready}):
        first = state.spec.ordinal(group, 0)
        ordinals = range(first, first + per_group)
        wanted = [state.records[ordinal] for ordinal in ordinals if state.is_wanted(ordinal)]
        if wanted and all(record.phase is Phase.READY for record in wanted):
            groups.append((min(hand_over_order(record) for record in wanted), wanted))
    records = []
    for _, wanted in sorted(groups, key=lambda entry: entry[0]):
        if len(records) + len(wanted) <= max_samples:
            records += wanted
    return records


def acknowledge(state, cursor, now):
    """Merge an acknowledged cursor and free its samples.

    Parameters
    ----------
    state : LotState
    cursor : Cursor
        Samples whose effect the trainer has saved.
    now : float
        Time in seconds.

    Returns
    -------
    list of Action
        `Cancel` for rollouts of acknowledged samples.
    """
    fresh = state.acked.union(cursor).bits & ~state.acked.bits
    state.acked = state.acked.union(cursor)
    actions = []
    while fresh:
        ordinal = (fresh & -fresh).bit_length() - 1
        fresh &= fresh - 1
        record = state.records[ordinal]
        actions += state.cancel_tasks(record, now)
        state.release(record)
        record.phase = Phase.QUEUED
        state.queue[state.spec.group_of(ordinal)].discard(ordinal)
    return actions


def export_samples(state):
    """Return the finished samples that are not acknowledged, as JSON bytes."""
    records = [state.records[ordinal] for ordinal in sorted(state.ready)]
    return msgspec.json.encode(
        HandOver(
            lot=state.spec.name,
            digest=lot_digest(state.spec),
            cursor=state.acked.encode(),
            highest=state.highest,
            samples=[record.sample for record in records],
            handed=[record.ordinal for record in records if record.handed],
        )
    )


def import_samples(state, body, now):
    """Take the finished samples of another coordinator.

    A sample that was handed over replaces a candidate that was not, so that a repeated pull
    gives the same sample.

    Returns
    -------
    list of Action
        `Cancel` for rollouts that are not needed any more.

    Raises
    ------
    RequestError
        With code ``bad_request`` for malformed bytes and ``conflict`` for another lot.
    """
    try:
        taken = msgspec.json.decode(body, type=HandOver)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise bad_request(f"hand-over: {error}") from error
    if taken.lot != state.spec.name or taken.digest != lot_digest(state.spec):
        raise RequestError(ErrorCode.CONFLICT, "hand-over of another lot", status=409)
    cursor = Cursor.decode(taken.cursor, state.spec.size)
    samples = [(check_sample(state.spec, sample), sample) for sample in taken.samples]
    state.highest = max(state.highest, taken.highest)
    actions = acknowledge(state, cursor, now)
    handed = set(taken.handed)
    for ordinal, sample in samples:
        actions += import_one(state, ordinal, sample, ordinal in handed, now)
    return actions


def check_sample(spec, sample):
    """Return the ordinal of a sample from another coordinator, or refuse it."""
    if not 0 <= sample.group < len(spec.groups) or not 0 <= sample.index < spec.samples_per_group:
        raise bad_request(f"hand-over: sample {sample.id} is outside the lot")
    ordinal = spec.ordinal(sample.group, sample.index)
    result = RolloutResult(
        text=sample.text,
        tokens=sample.tokens,
        segments=sample.segments,
        started_version=sample.started_version,
        finished_version=sample.finished_version,
    )
    if sample.id != spec.sample_id(ordinal) or not is_label_complete(result):
        raise bad_request(f"hand-over: sample {sample.id} has a wrong id or label")
    return ordinal


def import_one(state, ordinal, sample, was_handed, now):
    """Take one sample of another coordinator unless the own candidate has precedence."""
    record = state.records[ordinal]
    keeps_own = record.phase is Phase.READY and (record.handed or not was_handed)
    if keeps_own or state.acked.contains(ordinal) or state.is_stale(sample):
        return []
    actions = state.cancel_tasks(record, now)
    if record.phase is Phase.READY:
        state.tokens_useful -= record.sample.tokens
    state.tokens_thrown_away += state.release(record)
    state.hold(record, sample)
    state.make_ready(record, sample.score)
    record.handed = was_handed
    return actions
