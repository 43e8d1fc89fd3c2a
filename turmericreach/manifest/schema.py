"""Schema of the manifest, which operators write, as attrs classes.

Durations carry their unit in the name (``_s`` seconds, ``_ms`` milliseconds). Names are 1 to 63
lower-case letters, digits and hyphens.
"""

import enum

import attrs

from turmericreach.documents import bounded

__all__ = [
    "DataCentre",
    "Manifest",
    "ModelSpec",
    "Policy",
    "ServiceKind",
    "ServiceSpec",
    "SiteSpec",
    "TargetSpec",
    "TrainerSpec",
]

NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
TIME_PATTERN = r"^([01][0-9]|2[0-3]):[0-5][0-9]$"
SCHEMA_VERSION = 1


class ServiceKind(enum.StrEnum):
    """Kind of back end behind a service: an engine with a model, or any other HTTP service."""

    MODEL = "model"
    PLAIN = "plain"


@attrs.frozen
class DataCentre:
    """A data centre.

    Attributes
    ----------
    name : str
        Unique name.
    region : str
        Name of the region that the data centre belongs to.
    """

    name: str = bounded(pattern=NAME_PATTERN)
    region: str = bounded("default", pattern=NAME_PATTERN)


@attrs.frozen
class SiteSpec:
    """A shop or other site that sends ordinary requests while it is open.

    Attributes
    ----------
    name : str
        Unique name.
    time_zone : str
        IANA name of the time zone of `opens` and `closes`.
    opens, closes : str
        Local times as ``HH:MM``; a closing time before the opening time is on the next day.
    days : list of str
        Days on which the site opens, ``mon`` to ``sun``.
    reserved_share : float
        Share of a model target's slots, 0 to 1, kept for this site's ordinary requests.
    """

    name: str = bounded(pattern=NAME_PATTERN)
    time_zone: str
    opens: str = bounded(pattern=TIME_PATTERN)
    closes: str = bounded(pattern=TIME_PATTERN)
    days: list[str] = attrs.field(factory=lambda: ["mon", "tue", "wed", "thu", "fri", "sat", "sun"])
    reserved_share: float = bounded(0.0, minimum=0, maximum=1)


@attrs.frozen
class ModelSpec:
    """A model whose weights trainers publish.

    Attributes
    ----------
    name : str
        Unique name.
    prepared_share : float
        Share of the model's targets, 0 to 1, that must hold a version before it is activated.
    activate_after_s : float
        Seconds after which a version is activated even if fewer targets hold it.
    prepare_concurrency : int
        Number of targets that may download from the weight store at the same time.
    """

    name: str = bounded(pattern=NAME_PATTERN)
    prepared_share: float = bounded(0.9, minimum=0, maximum=1)
    activate_after_s: float = bounded(30.0, above=0)
    prepare_concurrency: int = bounded(4, minimum=1)


@attrs.frozen
class ServiceSpec:
    """A service for ordinary callers or for trainers.

    Attributes
    ----------
    name : str
        Unique name, part of the request path.
    kind : ServiceKind
        Kind of the back ends.
    model : str
        Name of the model that a service of kind ``model`` serves; empty for other kinds.
    idempotent : bool
        Whether requests may be repeated, unless `non_idempotent_paths` says otherwise.
    non_idempotent_paths : list of str
        Path prefixes, optionally preceded by a method and a space, whose requests must run at most
        once.
    refusals_not_run : bool
        Whether the targets guarantee that status 429 or 503 means that the request did not run.
    retry_unknown_scores : bool
        Whether a scoring call may be repeated although it may have run already.
    deadline_s : float
        Longest time for one request in seconds.
    max_queue : int
        Number of requests that may wait at one target before new ones are rejected.
    """

    name: str = bounded(pattern=NAME_PATTERN)
    kind: ServiceKind
    model: str = ""
    idempotent: bool = True
    non_idempotent_paths: list[str] = attrs.field(factory=list)
    refusals_not_run: bool = False
    retry_unknown_scores: bool = False
    deadline_s: float = bounded(30.0, above=0)
    max_queue: int = bounded(64, minimum=0)


@attrs.frozen
class TargetSpec:
    """A target: one process of a back end.

    Attributes
    ----------
    name : str
        Unique name.
    service : str
        Name of the service that the target belongs to.
    data_centre : str
        Name of its data centre.
    url : str
        HTTP address of the back end, reachable from its own host.
    agent : str
        ``ip:port`` of the agent on the same host.
    slots : int
        Number of requests that the target serves at the same time.
    speed : float
        Expected tokens per second of one stream, 0 if unknown.
    checks_orders : bool
        Whether the target verifies who sends it an order.
    drain : bool
        Whether the target receives no new work.
    """

    name: str = bounded(pattern=NAME_PATTERN)
    service: str
    data_centre: str
    url: str = bounded(pattern=r"^https?://[^\s/]+(/\S*)?$")
    agent: str
    slots: int = bounded(8, minimum=1)
    speed: float = bounded(0.0, minimum=0)
    checks_orders: bool = False
    drain: bool = False


@attrs.frozen
class TrainerSpec:
    """A trainer and its share of the engines.

    Attributes
    ----------
    name : str
        Unique name.
    share : float
        Weight by which rollout capacity is divided among trainers.
    max_open_lots : int
        Number of lots that the trainer may have open at the same time.
    """

    name: str = bounded(pattern=NAME_PATTERN)
    share: float = bounded(1.0, above=0)
    max_open_lots: int = bounded(4, minimum=1)


@attrs.frozen
class Policy:
    """Trade-offs between the aims of the deployment.

    Attributes
    ----------
    weighting : float
        Weight of staleness against the idle time of trainers: 0 considers only idle time, 1 only
        staleness.
    rollout_floor_share : float
        Share of a target's slots, 0 to 1, that rollouts may use however slow ordinary requests are.
    straggler_copies : int
        Number of extra copies of an unfinished sample that may run at the end of a lot.
    """

    weighting: float = bounded(0.5, minimum=0, maximum=1)
    rollout_floor_share: float = bounded(0.1, minimum=0, maximum=1)
    straggler_copies: int = bounded(1, minimum=0)


@attrs.frozen
class Manifest:
    """The whole configuration of a deployment.

    Attributes
    ----------
    schema : int
        Version of the schema.
    deployment : str
        Name of the deployment.
    data_centres, services, targets, models, sites, trainers : list
        Entries with unique names; services, targets and models refer to each other by name.
    policy : Policy
        Trade-offs between the aims of the deployment.
    """

    schema: int = bounded(minimum=SCHEMA_VERSION, maximum=SCHEMA_VERSION)
    deployment: str = bounded(pattern=NAME_PATTERN)
    data_centres: list[DataCentre]
    services: list[ServiceSpec]
    targets: list[TargetSpec]
    models: list[ModelSpec] = attrs.field(factory=list)
    sites: list[SiteSpec] = attrs.field(factory=list)
    trainers: list[TrainerSpec] = attrs.field(factory=list)
    policy: Policy = attrs.field(factory=Policy)
