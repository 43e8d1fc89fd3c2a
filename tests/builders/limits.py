"""Builders of admission inputs."""

from tests.builders.routing import make_target
from turmericreach.limits import Admission, Ticket
from turmericreach.manifest.schema import Policy, ServiceKind, ServiceSpec, SiteSpec


def make_admission(slots=4, max_queue=8, floor=0.1, shares=None):
    service = ServiceSpec("assistant", ServiceKind.MODEL, "m", max_queue=max_queue)
    policy = Policy(rollout_floor_share=floor)
    return Admission(make_target("x", slots=slots), service, policy, shares)


def make_ticket(name, priority="ordinary", trainer="", cost=1.0, expires_at=1e9):
    return Ticket(name, priority, trainer, "", expires_at, cost)


def make_site(opens="09:00", closes="17:00", zone="Europe/Helsinki", share=0.5, **fields):
    return SiteSpec("tampere", zone, opens, closes, reserved_share=share, **fields)
