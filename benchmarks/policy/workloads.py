"""The two deployments at today's size, as workloads in virtual time."""

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
# Default of the engine stand-in: 8 streams run at 1 / 1.35 of the speed of one.
BATCH_SLOWDOWN = 0.05


@attrs.frozen
class Lengths:
    """Log-normal lengths in tokens; a part of the spread is shared by a group."""

    median: float
    sigma: float
    longest: int

    def group_factor(self, rng):
        """Return the factor that the samples of one group share."""
        return math.exp(rng.gauss(0.0, self.sigma * 0.7))

    def draw(self, rng, factor):
        """Return the length of one sample."""
        length = self.median * factor * math.exp(rng.gauss(0.0, self.sigma * 0.7))
        return max(4, min(self.longest, int(length)))


@attrs.frozen
class TrainerLoad:
    """What one trainer asks for in each step."""

    name: str
    kind: str
    groups: int
    group_size: int
    staleness_bound: int
    lengths: Lengths
    scored: bool = True


@attrs.frozen
class Workload:
    """One deployment.

    Attributes
    ----------
    link_delay_s : float
        One-way delay between two processes in seconds.
    lookups_per_s, lookup_tokens
        Ordinary requests to the model service and their mean length.
    plain_per_s : float
        Requests to the plain service; `plain_idempotent` tells whether they may be repeated.
    """

    name: str
    centres: list[str]
    link_delay_s: float
    speeds: list[float]
    plain_workers: int
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
        found = []
        for number, speed in enumerate(self.speeds):
            centre = self.centres[number % len(self.centres)]
            name = f"engine-{number + 1}"
            found.append(TargetSpec(name, "model", centre, f"http://{name}", name, SLOTS, speed))
        for number in range(self.plain_workers):
            centre = self.centres[number % len(self.centres)]
            name = f"plain-{number + 1}"
            found.append(TargetSpec(name, "plain", centre, f"http://{name}", name, 32))
        return found

    def data_centres(self):
        """Return the data centres of the manifest."""
        return [DataCentre(name, "region") for name in self.centres]

    def sites(self):
        """Return two sites, of which the first one is open at the time of the runs."""
        return [
            SiteSpec("open", "UTC", "08:00", "20:00", reserved_share=0.125),
            SiteSpec("closed", "UTC", "20:00", "23:00", reserved_share=0.125),
        ]

    def shares(self):
        """Return the trainers of the manifest."""
        return [TrainerSpec(trainer.name) for trainer in self.trainers]

    def policy(self, weighting=None):
        """Return the policy of the manifest."""
        return Policy(weighting=self.weighting if weighting is None else weighting)

    def total_speed(self):
        """Return the tokens a second of all engines with full batches."""
        return sum(self.speeds) * SLOTS / (1.0 + BATCH_SLOWDOWN * (SLOTS - 1))

    def draw_lot(self, trainer, seed, step):
        """Return the length of each sample of a step, by ordinal."""
        rng = random.Random(f"{self.name}/{trainer.name}/{seed}/{step}")
        lengths = []
        for _ in range(trainer.groups):
            factor = trainer.lengths.group_factor(rng)
            lengths += [trainer.lengths.draw(rng, factor) for _ in range(trainer.group_size)]
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
        plain_workers=4,
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
        plain_workers=3,
        plain_idempotent=False,
        trainers=[
            TrainerLoad("palettes", "medium", 48, 8, 1, PALETTE),
            TrainerLoad("cues", "long", 32, 8, 2, LONG),
            TrainerLoad("gels", "short", 64, 8, 1, SHORT),
        ],
        weighting=0.8,
    ),
}
