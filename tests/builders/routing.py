"""Builders of routing inputs."""

import random

from turmericreach.manifest.schema import DataCentre, ServiceKind, ServiceSpec, TargetSpec
from turmericreach.routing import LoadReport, RoutingTable

CENTRES = [DataCentre("a", "north"), DataCentre("b", "north"), DataCentre("c", "south")]
SERVICE = ServiceSpec("assistant", ServiceKind.MODEL, "m")


def make_target(name, data_centre="a", slots=4, **fields):
    return TargetSpec(name, "assistant", data_centre, f"http://{name}", name, slots, **fields)


def make_report(target, at=0.0, state="live", version=5, running=0, waiting=0, slots=4):
    return LoadReport(target, state, version, running, waiting, slots, at)


def make_table(*targets, policy=None, seed=1):
    table = RoutingTable("a", "north", policy, random.Random(seed))
    table.configure([SERVICE], targets, CENTRES)
    for target in targets:
        table.apply_report(make_report(target.name, slots=target.slots), 0.0)
    return table
