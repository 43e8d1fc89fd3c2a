"""Logs changes of the members and of the relay duty."""

import asyncio
from collections import Counter

from turmericreach.daemon.node import Node
from turmericreach.telemetry import events, log_event
from turmericreach.telemetry import metric_catalogue as metrics

__all__ = ["MemberWatch"]

STEP_S = 1.0


class MemberWatch:
    """Compares the member table with the last look.

    Peers are logged by the relays alone: 57 daemons of a data centre would write 57 lines for one
    lost host.

    Parameters
    ----------
    node : Node
    is_relay : callable
        Returns whether this daemon is a relay of its data centre.
    """

    def __init__(self, node: Node, is_relay):
        self.node = node
        self.is_relay = is_relay
        self.relay = False
        self.states: dict[str, str] = {}
        self.places: dict[str, str] = {}
        self.suspect_since: dict[str, float] = {}
        self.unreachable: set[str] = set()

    async def run(self) -> None:
        """Look once a second; what the loop is late by is its delay."""
        while True:
            due = self.node.now() + STEP_S
            await asyncio.sleep(STEP_S)
            delay_s = max(0.0, self.node.now() - due)
            self.node.metrics.timing(metrics.LOOP_DELAY, delay_s)
            self.step(self.node.now())

    def step(self, now: float) -> None:
        """Log what changed and send the gauges."""
        members = self.node.members
        members.tick(now)
        states = {name: members.member_state(name) for name in members.records}
        relay = self.is_relay()
        if relay is not self.relay:
            change = "taken" if relay else "given up"
            place = self.node.settings.data_centre
            log_event(events.RELAY_DUTY, change=change, data_centre=place)
        # A daemon that has just become a relay knows no former states to compare with.
        report = relay and self.relay
        self.relay = relay
        for name, state in states.items():
            self.compare(name, self.states.get(name), state, now, report)
        for name in self.states.keys() - states.keys():
            self.note_lost(name, now, report)
        self.compare_places(states, now, report)
        self.states = states
        self.send_gauges(states)

    def compare(self, name: str, former: str | None, state: str, now: float, report: bool) -> None:
        """Log one member's change of state."""
        place = self.node.members.records[name].data_centre
        self.places[name] = place
        if state == "suspect" and former != "suspect":
            age_s = self.node.members.age_s(name)
            self.suspect_since[name] = now - min(age_s, now)
            if report:
                log_event(events.PEER_SUSPECT, peer=name, seconds=age_s)
        if state != "suspect" and former == "suspect":
            seconds = now - self.suspect_since.pop(name, now)
            if report:
                log_event(events.PEER_RETURNED, peer=name, seconds=seconds)
        if former is None and report:
            log_event(events.PEER_JOINED, peer=name, data_centre=place)

    def note_lost(self, name: str, now: float, report: bool) -> None:
        """Log a member that is gone; one that stopped in an orderly way is not lost."""
        since = self.suspect_since.pop(name, now)
        if report and self.states[name] != "stopped":
            log_event(events.PEER_LOST, peer=name, seconds=now - since)

    def compare_places(self, states: dict[str, str], now: float, report: bool) -> None:
        """Log data centres of which every daemon is suspect or gone."""
        own = self.node.settings.data_centre
        known = set(self.places.values()) - {own}
        reached = {self.places[name] for name, state in states.items() if state != "suspect"}
        for place in sorted(known - reached - self.unreachable):
            if report:
                began = [
                    since
                    for name, since in self.suspect_since.items()
                    if self.places[name] == place
                ]
                seconds = now - min(began, default=now)
                log_event(events.DATA_CENTRE_UNREACHABLE, data_centre=place, seconds=seconds)
        self.unreachable = known - reached

    def send_gauges(self, states: dict[str, str]) -> None:
        """Send the gauges that every daemon has."""
        sink = self.node.metrics
        for state, count in Counter(states.values()).items():
            sink.gauge(metrics.MEMBERS, count, state=state)
        for state in set(self.states.values()) - set(states.values()):
            sink.gauge(metrics.MEMBERS, 0, state=state)
        sink.gauge(metrics.GENERATION, self.node.config.generation)
        for model, row in self.node.wanted.newest.items():
            sink.gauge(metrics.WANTED_VERSION, row.version, model=model)
