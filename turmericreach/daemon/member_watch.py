"""Log lines and gauges about the members and the relay duty."""

import asyncio
from collections import Counter

from turmericreach.daemon.node import Node
from turmericreach.telemetry import events, log_event
from turmericreach.telemetry import metric_catalogue as metrics

__all__ = ["MemberWatch"]

STEP_S = 1.0


class MemberWatch:
    """Logs changes of the member table since the last step.

    Only relays log changes of peers; otherwise the 57 processes of a data centre would write 57
    lines for one lost host.

    Parameters
    ----------
    node : Node
        Source of the members and metrics.
    is_relay : callable
        Returns whether this process is a relay of its data centre.

    Attributes
    ----------
    relay : bool
        Whether this process was a relay at the last step.
    states : dict of str to str
        States of the members at the last step.
    data_centres : dict of str to str
        Data centre of each member seen so far.
    suspect_since : dict of str to float
        Loop time in seconds of the last contact to the members that are suspected.
    unreachable : set of str
        Data centres that were unreachable at the last step.
    """

    def __init__(self, node: Node, is_relay):
        self.node = node
        self.is_relay = is_relay
        self.relay = False
        self.states: dict[str, str] = {}
        self.data_centres: dict[str, str] = {}
        self.suspect_since: dict[str, float] = {}
        self.unreachable: set[str] = set()

    async def run(self) -> None:
        """Check once a second, and report how late the event loop woke this task."""
        while True:
            due = self.node.now() + STEP_S
            await asyncio.sleep(STEP_S)
            delay_s = max(0.0, self.node.now() - due)
            self.node.metrics.timing(metrics.LOOP_DELAY, delay_s)
            self.step(self.node.now())

    def step(self, now: float) -> None:
        """Log what changed since the last step and send the gauges."""
        members = self.node.members
        members.tick(now)
        states = {name: members.member_state(name) for name in members.records}
        relay = self.is_relay()
        if relay is not self.relay:
            change = "taken" if relay else "given up"
            data_centre = self.node.settings.data_centre
            log_event(events.RELAY_DUTY, change=change, data_centre=data_centre)
        # A process that has just become a relay has no former states to compare with.
        log_peers = relay and self.relay
        self.relay = relay
        for name, state in states.items():
            self.log_state_change(name, self.states.get(name), state, now, log_peers)
        for name in self.states.keys() - states.keys():
            self.log_lost(name, now, log_peers)
        self.log_unreachable_data_centres(states, now, log_peers)
        self.states = states
        self.send_gauges(states)

    def log_state_change(
        self, name: str, former: str | None, state: str, now: float, log_peers: bool
    ) -> None:
        """Log a member that joined, became suspected or returned."""
        data_centre = self.node.members.records[name].data_centre
        self.data_centres[name] = data_centre
        if state == "suspect" and former != "suspect":
            age_s = self.node.members.age_s(name)
            self.suspect_since[name] = now - min(age_s, now)
            if log_peers:
                log_event(events.PEER_SUSPECT, peer=name, seconds=age_s)
        if state != "suspect" and former == "suspect":
            seconds = now - self.suspect_since.pop(name, now)
            if log_peers:
                log_event(events.PEER_RETURNED, peer=name, seconds=seconds)
        if former is None and log_peers:
            log_event(events.PEER_JOINED, peer=name, data_centre=data_centre)

    def log_lost(self, name: str, now: float, log_peers: bool) -> None:
        """Log a member that was removed, unless it had stopped gracefully."""
        since = self.suspect_since.pop(name, now)
        if log_peers and self.states[name] != "stopped":
            log_event(events.PEER_LOST, peer=name, seconds=now - since)

    def log_unreachable_data_centres(
        self, states: dict[str, str], now: float, log_peers: bool
    ) -> None:
        """Log data centres of which every process is suspected or gone."""
        own = self.node.settings.data_centre
        known = set(self.data_centres.values()) - {own}
        reached = {self.data_centres[name] for name, state in states.items() if state != "suspect"}
        for data_centre in sorted(known - reached - self.unreachable):
            if log_peers:
                suspected_at = [
                    since
                    for name, since in self.suspect_since.items()
                    if self.data_centres[name] == data_centre
                ]
                seconds = now - min(suspected_at, default=now)
                log_event(events.DATA_CENTRE_UNREACHABLE, data_centre=data_centre, seconds=seconds)
        self.unreachable = known - reached

    def send_gauges(self, states: dict[str, str]) -> None:
        """Send the gauges of members, generation and wanted versions."""
        sink = self.node.metrics
        for state, count in Counter(states.values()).items():
            sink.gauge(metrics.MEMBERS, count, state=state)
        for state in set(self.states.values()) - set(states.values()):
            sink.gauge(metrics.MEMBERS, 0, state=state)
        sink.gauge(metrics.GENERATION, self.node.config.generation)
        for model, row in self.node.wanted.newest.items():
            sink.gauge(metrics.WANTED_VERSION, row.version, model=model)
