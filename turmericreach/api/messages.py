"""JSON bodies of requests and responses."""

import attrs

from turmericreach.lots import Sample

__all__ = [
    "AckRequest",
    "AnnounceRequest",
    "DeclareResponse",
    "DrainRequest",
    "LotList",
    "LotStatus",
    "PullRequest",
    "PullResponse",
]


@attrs.frozen
class DeclareResponse:
    """Response to the declaration of a lot.

    Attributes
    ----------
    lot : str
        Name of the lot.
    samples : int
        Number of samples in the lot.
    durable : bool
        False while the lot could not be stored in the platform. It is stored later; if its
        coordinator is lost before that, the trainer has to declare the lot again.
    cursor : str
        Encoded acknowledged cursor, from which a trainer without a checkpoint continues.
    """

    lot: str
    samples: int
    durable: bool
    cursor: str


@attrs.frozen
class PullRequest:
    """Request for finished samples.

    Attributes
    ----------
    cursor : str
        Encoded cursor of the samples that the trainer has consumed.
    trainer_version : int
        Weight version of the trainer, against which staleness is checked.
    max_samples : int
        Largest number of samples in the response.
    wait_s : float
        Longest time in seconds to wait while no sample is ready.
    whole_groups : bool
        Whether the samples of a group are returned only after all of them are finished.
    """

    cursor: str
    trainer_version: int
    max_samples: int = 256
    wait_s: float = 0.0
    whole_groups: bool = False


@attrs.frozen
class PullResponse:
    """Response to a pull: finished samples that are not in the cursor of the request.

    Attributes
    ----------
    samples : list of Sample
        Finished samples.
    remaining : int
        Number of samples of the lot that are neither in the cursor nor in this response.
    done : bool
        Whether the trainer has consumed all samples of the lot.
    trainer_version : int
        Weight version against which the staleness of the samples was checked.
    """

    samples: list[Sample]
    remaining: int
    done: bool
    trainer_version: int


@attrs.frozen
class AckRequest:
    """Confirmation that the trainer has saved the effect of the samples in an encoded cursor."""

    cursor: str


@attrs.frozen
class AnnounceRequest:
    """Announcement that a version of a model's weights is in the weight store.

    Attributes
    ----------
    version : int
        Number of the version.
    change_id : str
        Id of the change; if empty, the gateway assigns one.
    """

    version: int
    change_id: str = ""


@attrs.frozen
class DrainRequest:
    """Request to start (`drain` is True) or to end the drain of a target."""

    drain: bool = True


@attrs.frozen
class LotStatus:
    """State of a lot for operators and trainers.

    Attributes
    ----------
    lot, trainer, coordinator : str
        Names of the lot, of its trainer and of the gateway that coordinates it.
    samples : int
        Number of samples in the lot.
    counts : dict of str to int
        Number of samples by state.
    discarded : dict of str to int
        Number of failed or discarded rollouts by reason.
    stragglers : int
        Number of running straggler copies.
    tokens_useful : int
        Tokens of samples that were finished and not discarded.
    tokens_thrown_away : int
        Tokens of discarded samples, and estimated tokens of cancelled and failed rollouts.
    durable : bool
        Whether the lot is stored in the platform.
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
    """Lots of a deployment.

    Attributes
    ----------
    lots : list of LotStatus
        Lots of the gateways that responded.
    silent : list of str
        Names of live gateways that did not respond; their lots are missing.
    """

    lots: list[LotStatus]
    silent: list[str]
