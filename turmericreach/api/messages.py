"""JSON bodies of requests and answers."""

import attrs

from turmericreach.lots import Sample

__all__ = [
    "AckRequest",
    "AnnounceRequest",
    "DeclareAnswer",
    "DrainRequest",
    "LotList",
    "LotStatus",
    "PullAnswer",
    "PullRequest",
]


@attrs.frozen
class DeclareAnswer:
    """Answer to the declaration of a lot.

    Attributes
    ----------
    durable : bool
        False while the lot could not be stored in the platform; it is stored later, and the
        trainer declares it again if its coordinator is lost before that.
    cursor : str
        Acknowledged cursor, for a trainer without a checkpoint.
    """

    lot: str
    samples: int
    durable: bool
    cursor: str


@attrs.frozen
class PullRequest:
    """Asks for finished samples.

    Attributes
    ----------
    cursor : str
        Encoded cursor of the samples that the trainer has consumed.
    trainer_version : int
        Weight version of the trainer; staleness is checked against it.
    max_samples : int
        Largest number of samples in the answer.
    wait_s : float
        Seconds to wait while no sample is ready.
    whole_groups : bool
        Whether a group is handed over only when all of it is finished.
    """

    cursor: str
    trainer_version: int
    max_samples: int = 256
    wait_s: float = 0.0
    whole_groups: bool = False


@attrs.frozen
class PullAnswer:
    """Finished samples that are not in the cursor of the request."""

    samples: list[Sample]
    remaining: int
    done: bool
    trainer_version: int


@attrs.frozen
class AckRequest:
    """Confirms that the effect of the samples in a cursor is saved."""

    cursor: str


@attrs.frozen
class AnnounceRequest:
    """Announces that a version of a model's weights is in the weight store."""

    version: int
    change_id: str = ""


@attrs.frozen
class DrainRequest:
    """Starts or lifts the drain of a target."""

    drain: bool = True


@attrs.frozen
class LotStatus:
    """State of a lot for operators and trainers.

    Attributes
    ----------
    counts : dict
        Samples by state.
    discarded : dict
        Discarded candidates by reason.
    """

    lot: str
    trainer: str
    coordinator: str
    samples: int
    counts: dict[str, int]
    discarded: dict[str, int]
    stragglers: int
    tokens_useful: int
    tokens_thrown_away: int
    durable: bool


@attrs.frozen
class LotList:
    """The lots of a deployment.

    Attributes
    ----------
    lots : list of LotStatus
        Lots of the gateways that answered.
    silent : list of str
        Live gateways that did not answer; their lots are missing.
    """

    lots: list[LotStatus]
    silent: list[str]
