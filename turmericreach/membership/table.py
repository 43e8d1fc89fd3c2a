"""Member table of a process and its exchange with relays."""

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
from turmericreach.membership.store import GONE_AFTER_S, REFRESH_S, MemberStore
from turmericreach.membership.views import PeerView

__all__ = ["MemberTable"]

MAX_CHANGES = 256
# Members with contact within this time are not listed as silent; it covers one lost report.
SILENT_FROM_S = 1.5
MAX_VIEWS = 512


@attrs.define
class SilenceCache:
    """Silent members at a point in time.

    Attributes
    ----------
    at_s : float
        Time at which they were found, in seconds of `ContactClock.connected_s`.
    members : int
        `MemberStore.members_version` at that time.
    local, remote : list of Silence
        Silent members of the own data centre and of the others.
    data_centres : dict of str to float
        Seconds since the last contact with each data centre that is silent as a whole.
    """

    at_s: float = float("-inf")
    members: int = -1
    local: list[Silence] = attrs.field(factory=list)
    remote: list[Silence] = attrs.field(factory=list)
    data_centres: dict[str, float] = attrs.field(factory=dict)


class MemberTable(MemberStore):
    """Member table of a process.

    A record is changed only by the process that it describes. Start number, incarnation and
    sequence order the records of a name, so lost, duplicate, reordered and delayed messages do no
    harm. Each process reports to the relays of its data centre, and a relay confirms contact only
    with the members that it heard from directly. Whether a member is suspect or gone depends on
    the relay that had contact last.

    Parameters
    ----------
    own : MemberRecord
        Record of this process.
    now : float
        Seconds of the loop's clock.
    """

    def __init__(self, own: MemberRecord, now: float):
        super().__init__(own, now)
        self.views: dict[str, PeerView] = {}
        self.digest_views: dict[str, PeerView] = {}
        self.silence = SilenceCache()
        # Shortened, since the whole random number would take up a fifth of each heartbeat.
        self.process = own.incarnation % 2**32

    def view(self, name, digests=False) -> PeerView:
        """Return the progress with a peer, which is separate for its replies and its digests.

        A digest confirms only members of the relay's own data centre, a reply those of all.
        """
        views = self.digest_views if digests else self.views
        view = views.get(name)
        if view is None:
            view = views[name] = PeerView()
            while len(views) > MAX_VIEWS:
                views.pop(next(iter(views)))
        return view

    def needs_all(self, now: float) -> bool:
        """Return whether this process needs the targets and the other data centres."""
        if self.own.role == "gateway":
            return True
        relays = self.relays(self.own.data_centre, now)
        return any(item.name == self.own.name for item in relays)

    def make_report(self, to: str, now: float) -> Report:
        """Return the report for a relay, which is sent once a second."""
        self.tick(now)
        self.unanswered_since.setdefault(to, self.clock.running_s)
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
        """Apply a report and return the changes that its sender lacks."""
        self.clock.record_contact(now)
        self.tick(now)
        raise_to = 0
        known = self.records.get(report.name)
        if known is not None and known.process > (report.started_ms, report.incarnation):
            raise_to = known.started_ms
        elif report.name != self.own.name:
            self.record_report(report)
        same_process = report.relay_process == self.process
        since = report.since if same_process else 0
        changes, position, more = self.collect_changes(since, report.whole, report.name)
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
            leaving=self.leaving_starts,
        )

    def record_report(self, report):
        """Apply the record of a report and record contact with its sender."""
        if report.record is not None and report.record.name == report.name:
            self.merge(report.record)
        if report.name not in self.records:
            return
        self.last_direct_contact_at[report.name] = self.clock.connected_s
        self.last_contact_at[report.name] = self.clock.connected_s

    def sequence_held(self, report):
        """Return the sequence of the reporter's whole record held here, 0 for none."""
        known = self.records.get(report.name)
        if known is None or known.partial:
            return 0
        if known.process != (report.started_ms, report.incarnation):
            return 0
        return known.sequence

    def collect_changes(self, since, whole, receiver):
        """Return the changes for a reporter, the position they reach and whether there are more."""
        log = self.all_changes if whole else self.identity_changes
        changes = []
        last = since
        for name, position in log.changes_after(since):
            if len(changes) == MAX_CHANGES:
                return changes, last, True
            last = position
            if name == receiver:
                continue
            record = self.records[name]
            changes.append(record if whole else record.without_targets())
        return changes, self.counter, False

    def removed_between(self, since, position):
        """Return the members removed after `since`, up to `position`."""
        return [name for name, at in self.removals.changes_after(since) if at <= position]

    def silent_members(self, whole, receiver):
        """Return the members that this process has had no recent direct contact with.

        A member without any direct contact is listed with the age known from other relays.
        Otherwise two relays could keep a dead member alive by confirming it to each other.
        """
        self.refresh_silence()
        silent = list(self.silence.local)
        if whole:
            silent += self.silence.remote
        return [item for item in silent if item.name != receiver]

    def silent_data_centres(self):
        """Return the seconds since contact with each data centre that is silent as a whole."""
        self.refresh_silence()
        return self.silence.data_centres

    def refresh_silence(self):
        """Update the silent members if `REFRESH_S` has passed or a member changed."""
        now_s = self.clock.connected_s
        cache = self.silence
        if cache.members == self.members_version and now_s - cache.at_s < REFRESH_S:
            return
        cache.members = self.members_version
        cache.at_s = now_s
        cache.data_centres = self.find_silent_data_centres(now_s)
        cache.local = []
        cache.remote = []
        for name, record in self.records.items():
            if name == self.own.name or record.data_centre in cache.data_centres:
                continue
            last_direct_contact_at = self.last_direct_contact_at.get(name)
            if (
                last_direct_contact_at is not None
                and now_s - last_direct_contact_at < SILENT_FROM_S
            ):
                continue
            age_s = (
                self.age_s(name)
                if last_direct_contact_at is None
                else now_s - last_direct_contact_at
            )
            is_local = record.data_centre == self.own.data_centre
            rows = cache.local if is_local else cache.remote
            rows.append(Silence(name, record.started_ms, round(age_s, 1)))

    def find_silent_data_centres(self, now_s):
        """Return the seconds since contact with each other data centre without recent contact."""
        latest = {}
        for name, record in self.records.items():
            if record.data_centre == self.own.data_centre:
                continue
            at = self.last_direct_contact_at.get(name, self.last_contact_at.get(name, 0.0))
            latest[record.data_centre] = max(at, latest.get(record.data_centre, at))
        return {
            name: round(now_s - at, 1) for name, at in latest.items() if now_s - at >= SILENT_FROM_S
        }

    def on_reply(self, reply: ReportReply, now: float):
        """Apply the reply of a relay to a report."""
        self.clock.record_contact(now)
        self.tick(now)
        self.unanswered_since.pop(reply.relay, None)
        if reply.raise_start_to:
            self.raise_start(reply.raise_start_to)
        view = self.view(reply.relay)
        view.reset_if_restarted(reply.relay_process)
        view.seen = reply.seen
        confirmed = self.apply(view, reply)
        self.record_confirmed_contacts(view, confirmed, reply.silent, reply.silent_data_centres)
        self.record_relay_contact(reply.relay)

    def record_relay_contact(self, name):
        """Count a reply as contact with the relay itself."""
        if name in self.records:
            self.last_contact_at[name] = self.clock.connected_s

    def apply(self, view, message):
        """Merge the changes of a reply or digest and return the members that it confirms."""
        for record in message.changes:
            self.merge(record)
        for name, started_ms in message.leaving.items():
            self.mark_leaving(name, started_ms)
        names = [record.name for record in message.changes]
        if not view.advance(message.since, message.position, names, message.removed):
            return set()
        return view.known

    def record_confirmed_contacts(self, view, names, silent, silent_data_centres):
        """Raise the time of the last contact with the members that a peer confirmed.

        If a member was removed here while the peer still had contact with it, the exchange with
        that peer starts again from its first change.
        """
        ages = {item.name: item.age_s for item in silent}
        now_s = self.clock.connected_s
        for name in names:
            if name == self.own.name:
                continue
            record = self.records.get(name)
            if record is None:
                if ages.get(name, 0.0) < GONE_AFTER_S and name in view.known:
                    view.position = 0
                continue
            age_s = ages.get(name, silent_data_centres.get(record.data_centre, 0.0))
            self.last_contact_at[name] = max(self.last_contact_at.get(name, 0.0), now_s - age_s)

    def make_digest(self, to: str, now: float) -> Digest:
        """Return the changes of the own data centre for a relay of another one.

        A change of the loads alone does not put a record into a digest; otherwise the traffic
        would grow with the fleet.
        """
        self.tick(now)
        view = self.view(to, digests=True)
        since = min(view.confirmed, self.counter)
        changes = []
        position = self.counter
        for name, at in self.status_changes.changes_after(since):
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
            leaving=self.leaving_starts,
        )

    def on_digest(self, digest: Digest, now: float) -> DigestReply:
        """Apply the digest of a relay of another data centre."""
        self.clock.record_contact(now)
        self.tick(now)
        view = self.view(digest.name, digests=True)
        view.reset_if_restarted(digest.process)
        # A digest names only members of its own data centre.
        local = self.apply(view, digest) | {digest.name}
        silent = {item.name: item.age_s for item in digest.silent}
        self.record_confirmed_contacts(view, local, digest.silent, {})
        now_s = self.clock.connected_s
        for name in local.intersection(self.records):
            at = now_s - silent.get(name, 0.0)
            self.last_direct_contact_at[name] = max(self.last_direct_contact_at.get(name, at), at)
        return DigestReply(self.own.name, digest.process, view.position, self.own.generation)

    def on_digest_reply(self, reply: DigestReply, now: float):
        """Record the position up to which the other relay has the changes."""
        self.clock.record_contact(now)
        if reply.process == self.process:
            self.view(reply.name, digests=True).confirmed = reply.position

    def make_notice(self) -> Notice:
        """Return a notification with the own record, for example when this process leaves."""
        return Notice(name=self.own.name, generation=self.own.generation, record=self.own)

    def on_notice(self, notice: Notice, now: float):
        """Apply the record of a notification."""
        self.tick(now)
        if notice.record is not None:
            self.merge(notice.record)
