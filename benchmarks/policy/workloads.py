"""The two deployments at their current size, as simulated workloads."""

import math
import random

import attrs

from turmericreach.manifest.schema import (
    DataCentre,
    Policy,
    ServiceKind,
    ServiceSpec,
    SiteSpec,
    TargetSpec,
    TrainerSpec,
)

__all__ = ["FAULTS", "WORKLOADS", "Lengths", "TrainerLoad", "Workload"]

FAULTS = ["calm", "crash", "failed_swap", "lagging_reports", "platform_outage", "coordinator_crash"]
WEIGHTS_INTERVAL_S = 120.0
SLOTS = 8
# Default of the engine stand-in: each of 8 streams runs at 1 / 1.35 of the speed of one alone.
BATCH_SLOWDOWN = 0.05


@attrs.frozen
class Lengths:
    """Log-normal distribution of sample lengths; a group shares part of the spread.

    Attributes
    ----------
    median : float
        Median length in tokens.
    sigma : float
        Standard deviation of the logarithm of the length. The group and the sample contribute
        0.7 of it each.
    longest : int
        Upper limit in tokens.
    """

    median: float
    sigma: float
    longest: int

    def group_factor(self, rng):
        """Draw the factor that the samples of one group share."""
        return math.exp(rng.gauss(0.0, self.sigma * 0.7))

    def draw_length(self, rng, factor):
        """Draw the length of one sample in tokens, given the factor of its group."""
        length = self.median * factor * math.exp(rng.gauss(0.0, self.sigma * 0.7))
        return max(4, min(self.longest, int(length)))


@attrs.frozen
class TrainerLoad:
    """The lot that one trainer declares in each step.

    Attributes
    ----------
    kind : str
        Kind of rollout.
    groups, group_size : int
        Number of groups in a lot and of samples in a group.
    staleness_bound : int
        Highest permitted staleness of a sample in weight versions.
    lengths : Lengths
    scored : bool
        Whether samples are scored by the scoring service.
    """

    name: str
    kind: str
    groups: int
    group_size: int
    staleness_bound: int
    lengths: Lengths
    scored: bool = True


@attrs.frozen
class Workload:
    """One deployment and its load.

    Attributes
    ----------
    centres : list of str
        Names of the data centres.
    link_delay_s : float
        One-way delay between two processes in seconds.
    speeds : list of float
        Tokens per second of a single stream, for each engine.
    plain_targets : int
        Number of targets of the plain service.
    plain_idempotent : bool
        Whether requests to the plain service may be repeated.
    trainers : list of TrainerLoad
    weighting : float
        Policy weighting of the manifest.
    lookups_per_s : float
        Rate of ordinary requests to the model service.
    lookup_tokens : float
        Mean length of their completions in tokens.
    plain_per_s : float
        Rate of requests to the plain service.
    steps : int
        Steps of each trainer in a run.
    """

    name: str
    centres: list[str]
    link_delay_s: float
    speeds: list[float]
    plain_targets: int
    plain_idempotent: bool
    trainers: list[TrainerLoad]
    weighting: float
    lookups_per_s: float = 8.0
    lookup_tokens: float = 20.0
    plain_per_s: float = 5.0
    steps: int = 2

    def services(self):
        """Return the services of the manifest."""
        return [
            ServiceSpec("model", ServiceKind.MODEL, "m", refusals_not_run=True, deadline_s=60.0),
            ServiceSpec("plain", ServiceKind.PLAIN, idempotent=self.plain_idempotent),
        ]

    def targets(self):
        """Return the targets of the manifest."""
        targets = []
        for number, speed in enumerate(self.speeds):
            centre = self.centres[number % len(self.centres)]
            name = f"engine-{number + 1}"
            targets.append(TargetSpec(name, "model", centre, f"http://{name}", name, SLOTS, speed))
        for number in range(self.plain_targets):
            centre = self.centres[number % len(self.centres)]
            name = f"plain-{number + 1}"
            targets.append(TargetSpec(name, "plain", centre, f"http://{name}", name, 32))
        return targets

    def data_centres(self):
        """Return the data centres of the manifest."""
        return [DataCentre(name, "region") for name in self.centres]

    def sites(self):
        """Return two sites, of which the first one is open at noon, the time of the runs."""
        return [
            SiteSpec("open", "UTC", "08:00", "20:00", reserved_share=0.125),
            SiteSpec("closed", "UTC", "20:00", "23:00", reserved_share=0.125),
        ]

    def shares(self):
        """Return the trainers of the manifest."""
        return [TrainerSpec(trainer.name) for trainer in self.trainers]

    def policy(self, weighting=None):
        """Return the policy of the manifest, optionally with another weighting."""
        return Policy(weighting=self.weighting if weighting is None else weighting)

    def total_speed(self):
        """Return the tokens per second of all engines together when every slot is in use."""
        return sum(self.speeds) * SLOTS / (1.0 + BATCH_SLOWDOWN * (SLOTS - 1))

    def draw_lengths(self, trainer, seed, step):
        """Draw the length in tokens of each sample of a trainer's step, by ordinal."""
        rng = random.Random(f"{self.name}/{trainer.name}/{seed}/{step}")
        lengths = []
        for _ in range(trainer.groups):
            factor = trainer.lengths.group_factor(rng)
            lengths += [trainer.lengths.draw_length(rng, factor) for _ in range(trainer.group_size)]
        return lengths


SHORT = Lengths(60, 0.4, 400)
LONG = Lengths(500, 0.9, 8000)
PALETTE = Lengths(250, 0.8, 3000)

WORKLOADS = {
    "silmalasi": Workload(
        name="silmalasi",
        centres=["tampere", "turku", "oulu", "kuopio"],
        link_delay_s=0.0005,
        speeds=[200.0, 150.0, 100.0, 50.0],
        plain_targets=4,
        plain_idempotent=True,
        trainers=[
            TrainerLoad("fittings", "short", 64, 8, 2, SHORT),
            TrainerLoad("notes", "long", 64, 8, 4, LONG),
        ],
        weighting=0.2,
    ),
    "qurum": Workload(
        name="qurum",
        centres=["muscat-a", "muscat-b", "muscat-c"],
        link_delay_s=0.0015,
        speeds=[200.0, 160.0, 120.0, 80.0, 50.0],
        plain_targets=3,
        plain_idempotent=False,
        trainers=[
            TrainerLoad("palettes", "medium", 48, 8, 1, PALETTE),
            TrainerLoad("cues", "long", 32, 8, 2, LONG),
            TrainerLoad("gels", "short", 64, 8, 1, SHORT),
        ],
        weighting=0.8,
    ),
}
