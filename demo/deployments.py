"""The two deployments that the demo runs."""

import attrs

__all__ = ["DEPLOYMENTS", "Deployment", "ModelService", "PlainService"]


@attrs.frozen
class ModelService:
    """A model service and its engines.

    Attributes
    ----------
    speeds : list of float
        Tokens per second of a single stream, for each engine.
    """

    name: str
    model: str
    speeds: list[float]


@attrs.frozen
class PlainService:
    """A service that does not generate with a model.

    Attributes
    ----------
    workers : int
        Number of targets.
    non_idempotent_paths : list of str
        Method and path of requests that must not be repeated after they may have run.
    """

    name: str
    workers: int
    non_idempotent_paths: list[str]


@attrs.frozen
class Trainer:
    """A trainer of the demo.

    Attributes
    ----------
    kind : str
        Kind of rollout.
    max_tokens : int
        Maximum length of a rollout in tokens.
    staleness_bound : int
        Highest permitted staleness of a sample in weight versions.
    """

    name: str
    kind: str
    max_tokens: int
    staleness_bound: int


@attrs.frozen
class Deployment:
    """One deployment at its current size.

    Attributes
    ----------
    link_delay_s : float
        One-way delay between data centres in seconds.
    weighting : float
        Policy weighting of the manifest.
    """

    name: str
    region: str
    data_centres: list[str]
    link_delay_s: float
    model_service: ModelService
    plain_service: PlainService
    trainers: list[Trainer]
    weighting: float
    time_zone: str


SILMALASI = Deployment(
    name="silmalasi",
    region="suomi",
    data_centres=["tampere", "turku", "oulu", "kuopio"],
    link_delay_s=0.0005,
    model_service=ModelService("assistant", "assistant", [200.0, 150.0, 100.0, 50.0]),
    plain_service=PlainService("portal", 4, []),
    trainers=[
        Trainer("fittings", "short", 60, 2),
        Trainer("notes", "long", 400, 4),
    ],
    weighting=0.2,
    time_zone="Europe/Helsinki",
)

QURUM = Deployment(
    name="qurum",
    region="muscat",
    data_centres=["muscat-a", "muscat-b", "muscat-c"],
    link_delay_s=0.0015,
    model_service=ModelService("palette", "palette", [200.0, 160.0, 120.0, 80.0, 50.0]),
    plain_service=PlainService("ordering", 3, ["POST /orders", "POST /confirmations"]),
    trainers=[
        Trainer("palettes", "short", 80, 1),
        Trainer("cues", "long", 300, 2),
    ],
    weighting=0.8,
    time_zone="Asia/Muscat",
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (SILMALASI, QURUM)}
