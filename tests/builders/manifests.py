"""A manifest as text and a Hypothesis strategy for manifests."""

from hypothesis import strategies

from turmericreach.manifest import (
    DataCentre,
    Manifest,
    ModelSpec,
    Policy,
    ServiceKind,
    ServiceSpec,
    TargetSpec,
    TrainerSpec,
)

MANIFEST_TEXT = """\
schema: 1
deployment: silmalasi
data_centres:
  - {name: tampere, region: fi}
  - {name: turku, region: fi}
models:
  - name: assistant
services:
  - {name: assistant, kind: model, model: assistant}
  - name: portal
    kind: plain
    non_idempotent_paths: ["POST /orders"]
targets:
  - name: t1
    service: assistant
    data_centre: tampere
    url: http://10.0.0.5:8000
    agent: 10.0.0.5:7400
    slots: 16
sites:
  - name: shop
    time_zone: Europe/Helsinki
    opens: 09:00
    closes: 18:00
    reserved_share: 0.25
trainers:
  - name: fittings
"""

name_texts = strategies.from_regex(r"[a-z0-9]([a-z0-9-]{0,10}[a-z0-9])?", fullmatch=True)
shares = strategies.floats(0, 1)


@strategies.composite
def manifests(draw):
    """Generate a valid manifest with one model and one data centre."""
    centre, model = draw(name_texts), draw(name_texts)
    service = ServiceSpec(draw(name_texts), ServiceKind.MODEL, model)
    target_names = draw(strategies.lists(name_texts, unique=True, max_size=3))
    slots = draw(strategies.integers(1, 2**53))
    targets = [
        TargetSpec(name, service.name, centre, "http://10.0.0.1", "10.0.0.1:7400", slots)
        for name in target_names
    ]
    trainer_share = draw(strategies.floats(0.001, 1e6))
    return Manifest(
        1,
        draw(name_texts),
        [DataCentre(centre)],
        [service],
        targets,
        models=[ModelSpec(model, draw(shares))],
        trainers=[TrainerSpec("t", trainer_share)],
        policy=Policy(draw(shares)),
    )
