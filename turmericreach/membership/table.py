"""The member table of one daemon and its exchange with relays."""

import attrs

from turmericreach.membership.records import (
    Digest,
    DigestReply,
    MemberRecord,
    Notice,
    Report,
    ReportReply,
    Silence,
)
from turmericreach.membership.store import GONE_S, REFRESH_S, MemberStore
from turmericreach.membership.views import PeerView

__all__ = ["MemberTable"]

MAX_CHANGES = 256
# Members heard within this time are not listed as silent; it covers one lost report.
SILENT_FROM_S = 1.5
MAX_VIEWS = 512


@attrs.define
class SilenceCache:
    """Silent members of the own (near) and of other data centres (far), found at `at_s`."""

    at_s: float = float("-inf")
    members: int = -1
    near: list[Silence] = attrs.field(factory=list)
    far: list[Silence] = attrs.field(factory=list)
    data_centres: dict[str, float] = attrs.field(factory=dict)


class MemberTable(MemberStore):
    """Member table of one daemon.

    A record is changed only by its own daemon. Start number, incarnation and sequence order the
    records of a name, so lost, doubled, reordered and delayed messages do no harm. Each daemon
    reports to the relays of its data centre; a relay vouches for the members that it heard
    itself. A member is suspect or gone by the relay that heard it last.

    Parameters
    ----------
    own : MemberRecord
        Record of this daemon.
    now : float
        Seconds of the loop's clock.
    """

    def __init__(self, own: MemberRecord, now: float):
        super().__init__(own, now)
        self.views: dict[str, PeerView] = {}
        self.digest_views: dict[str, PeerView] = {}
        self.silence = SilenceCache()
        # Long random numbers would be a fifth of each heartbeat.
        self.process = own.incarnation % 2**32

    def view(self, name, digests=False) -> PeerView:
        """Return the progress with a peer, counted apart for its replies and its digests.

        A relay vouches in a digest only for its own data centre, in a reply for all.
        """
        views = self.digest_views if digests else self.views
        view = views.get(name)
        if view is None:
            view = views[name] = PeerView()
            while len(views) > MAX_VIEWS:
                views.pop(next(iter(views)))
        return view

    def needs_all(self, now: float) -> bool:
        """Tell whether this daemon needs the targets and the other data centres."""
        if self.own.role == "gateway":
            return True
        relays = self.relays(self.own.data_centre, now)
        return any(item.name == self.own.name for item in relays)

    def make_report(self, to: str, now: float) -> Report:
        """Return the report for a relay; to be sent once a second."""
        self.tick(now)
        self.unanswered.setdefault(to, self.clock.awake_s)
        view = self.view(to)
        changed = view.seen != self.own.sequence
        return Report(
            name=self.own.name,
            started_ms=self.own.started_ms,
            incarnation=self.own.incarnation,
            since=view.position,
            relay_process=view.process,
            whole=self.needs_all(now),
            record=self.own if changed else None,
        )

    def on_report(self, report: Report, now: float) -> ReportReply:
        """Take over a report and return the changes that its sender lacks."""
        self.clock.contact(now)
        self.tick(now)
        raise_to = 0
        known = self.records.get(report.name)
        if known is not None and known.process > (report.started_ms, report.incarnation):
            raise_to = known.started_ms
        elif report.name != self.own.name:
            self.hear(report)
        same_process = report.relay_process == self.process
        since = report.since if same_process else 0
        changes, position, more = self.collect(since, report.whole, report.name)
        return ReportReply(
            relay=self.own.name,
            relay_process=self.process,
            since=since,
            position=position,
            seen=self.sequence_held(report),
            raise_start_to=raise_to,
            more=more,
            generation=self.own.generation,
            changes=changes,
            removed=self.removed_between(since, position),
            silent=self.silent_members(report.whole, report.name),
            silent_data_centres=self.silent_data_centres() if report.whole else {},
            leaving=self.left,
        )

    def hear(self, report):
        """Note that a member reported."""
        if report.record is not None and report.record.name == report.name:
            self.merge(report.record)
        if report.name not in self.records:
            return
        self.direct_at[report.name] = self.clock.attentive_s
        self.heard_at[report.name] = self.clock.attentive_s

    def sequence_held(self, report):
        """Return the sequence of the reporter's whole record held here, 0 for none."""
        known = self.records.get(report.name)
        if known is None or known.partial:
            return 0
        if known.process != (report.started_ms, report.incarnation):
            return 0
        return known.sequence

    def collect(self, since, whole, receiver):
        """Return the changes for a reporter, the position they reach and whether more wait."""
        log = self.all_changes if whole else self.identity_changes
        changes = []
        last = since
        for name, position in log.since(since):
            if len(changes) == MAX_CHANGES:
                return changes, last, True
            last = position
            if name == receiver:
                continue
            record = self.records[name]
            changes.append(record if whole else record.without_targets())
        return changes, self.counter, False

    def removed_between(self, since, position):
        """Return the members removed within a span of positions."""
        return [name for name, at in self.removals.since(since) if at <= position]

    def silent_members(self, whole, receiver):
        """Return the members that this daemon cannot vouch for.

        A member never heard directly is listed with the age known from other relays; otherwise
        two relays could vouch for a dead member by quoting each other.
        """
        self.refresh_silence()
        silent = list(self.silence.near)
        if whole:
            silent += self.silence.far
        return [item for item in silent if item.name != receiver]

    def silent_data_centres(self):
        """Return the age of the last news of each data centre that is silent as a whole."""
        self.refresh_silence()
        return self.silence.data_centres

    def refresh_silence(self):
        """Find the silent members again if that is due."""
        now_s = self.clock.attentive_s
        cache = self.silence
        if cache.members == self.members_version and now_s - cache.at_s < REFRESH_S:
            return
        cache.members = self.members_version
        cache.at_s = now_s
        cache.data_centres = self.find_silent_data_centres(now_s)
        cache.near = []
        cache.far = []
        for name, record in self.records.items():
            if name == self.own.name or record.data_centre in cache.data_centres:
                continue
            direct_at = self.direct_at.get(name)
            if direct_at is not None and now_s - direct_at < SILENT_FROM_S:
                continue
            age_s = self.age_s(name) if direct_at is None else now_s - direct_at
            near = record.data_centre == self.own.data_centre
            rows = cache.near if near else cache.far
            rows.append(Silence(name, record.started_ms, round(age_s, 1)))

    def find_silent_data_centres(self, now_s):
        """Return the age of the last news of each other data centre without recent news."""
        latest = {}
        for name, record in self.records.items():
            if record.data_centre == self.own.data_centre:
                continue
            at = self.direct_at.get(name, self.heard_at.get(name, 0.0))
            latest[record.data_centre] = max(at, latest.get(record.data_centre, at))
        return {
            name: round(now_s - at, 1) for name, at in latest.items() if now_s - at >= SILENT_FROM_S
        }

    def on_reply(self, reply: ReportReply, now: float):
        """Take over the answer of a relay to a report."""
        self.clock.contact(now)
        self.tick(now)
        self.unanswered.pop(reply.relay, None)
        if reply.raise_start_to:
            self.raise_start(reply.raise_start_to)
        view = self.view(reply.relay)
        view.follow(reply.relay_process)
        view.seen = reply.seen
        vouched = self.apply(view, reply)
        self.vouch(view, vouched, reply.silent, reply.silent_data_centres)
        self.hear_relay(reply.relay)

    def hear_relay(self, name):
        """Count an answer as news of the relay itself."""
        if name in self.records:
            self.heard_at[name] = self.clock.attentive_s

    def apply(self, view, message):
        """Merge the changes of a reply or digest and return the members vouched for."""
        for record in message.changes:
            self.merge(record)
        for name, started_ms in message.leaving.items():
            self.mark_leaving(name, started_ms)
        names = [record.name for record in message.changes]
        if not view.accept(message.since, message.position, names, message.removed):
            return set()
        return view.known

    def vouch(self, view, names, silent, silent_data_centres):
        """Raise the time at which members were last heard.

        A member that was removed here, while the peer went on hearing it, makes the exchange
        with that peer start again from its first change.
        """
        ages = {item.name: item.age_s for item in silent}
        now_s = self.clock.attentive_s
        for name in names:
            if name == self.own.name:
                continue
            record = self.records.get(name)
            if record is None:
                if ages.get(name, 0.0) < GONE_S and name in view.known:
                    view.position = 0
                continue
            age_s = ages.get(name, silent_data_centres.get(record.data_centre, 0.0))
            self.heard_at[name] = max(self.heard_at.get(name, 0.0), now_s - age_s)

    def make_digest(self, to: str, now: float) -> Digest:
        """Return the changes of the own data centre for a relay of another one.

        Loads are left out, since they would grow the traffic with the fleet: a record goes into a
        digest when anything else in it changes.
        """
        self.tick(now)
        view = self.view(to, digests=True)
        since = min(view.confirmed, self.counter)
        changes = []
        position = self.counter
        for name, at in self.status_changes.since(since):
            if len(changes) == MAX_CHANGES:
                break
            changes.append(self.records[name])
            position = at
        else:
            position = self.counter
        return Digest(
            name=self.own.name,
            data_centre=self.own.data_centre,
            process=self.process,
            since=since,
            position=position,
            generation=self.own.generation,
            changes=changes,
            removed=self.removed_between(since, position),
            silent=self.silent_members(False, to),
            leaving=self.left,
        )

    def on_digest(self, digest: Digest, now: float) -> DigestReply:
        """Take over the digest of a relay of another data centre."""
        self.clock.contact(now)
        self.tick(now)
        view = self.view(digest.name, digests=True)
        view.follow(digest.process)
        # A digest names only members of its own data centre.
        local = self.apply(view, digest) | {digest.name}
        silent = {item.name: item.age_s for item in digest.silent}
        self.vouch(view, local, digest.silent, {})
        now_s = self.clock.attentive_s
        for name in local.intersection(self.records):
            at = now_s - silent.get(name, 0.0)
            self.direct_at[name] = max(self.direct_at.get(name, at), at)
        return DigestReply(self.own.name, digest.process, view.position, self.own.generation)

    def on_digest_reply(self, reply: DigestReply, now: float):
        """Note up to where the other relay has the changes."""
        self.clock.contact(now)
        if reply.process == self.process:
            self.view(reply.name, digests=True).confirmed = reply.position

    def make_notice(self) -> Notice:
        """Return a push of the own record, for example when this daemon starts to leave."""
        return Notice(name=self.own.name, generation=self.own.generation, record=self.own)

    def on_notice(self, notice: Notice, now: float):
        """Take over a pushed record."""
        self.tick(now)
        if notice.record is not None:
            self.merge(notice.record)
