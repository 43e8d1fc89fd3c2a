"""Records of all members, the last contact with each, and the states derived from them."""

from collections.abc import Iterable

import attrs

from turmericreach.membership.clock import ContactClock
from turmericreach.membership.log import ChangeLog
from turmericreach.membership.records import STATE_ORDER, HostState, MemberRecord
from turmericreach.ownership import rank

__all__ = ["GONE_AFTER_S", "REFRESH_S", "SUSPECT_AFTER_S", "MemberStore"]

SUSPECT_AFTER_S = 3.0
GONE_AFTER_S = 10.0
# A relay that does not reply is not selected for this long.
UNANSWERED_RETRY_S = 10.0
# Loads change with each request; sending each change would exceed the whole budget for control
# traffic. Busy paths get fresher loads from the replies of `submit`.
LOAD_INTERVAL_S = 10.0
# States that depend on all records are computed at this interval, rather than with each of the
# 57 reports that a relay receives a second.
REFRESH_S = 0.25
# Bound on the removed members that are kept, and on the removals that are logged.
MAX_REMOVED = 512
RELAYS_PER_DATA_CENTRE = 2
# Bounds the start numbers kept of leaving processes; those of lost hosts are not removed
# otherwise.
MAX_LEAVING = 4096


class MemberStore:
    """Member records and the states derived from them; `MemberTable` adds the messages."""

    def __init__(self, own: MemberRecord, now: float):
        self.own = own
        self.clock = ContactClock(now)
        self.records: dict[str, MemberRecord] = {own.name: own}
        self.removed_members: dict[str, MemberRecord] = {}
        self.last_contact_at: dict[str, float] = {}
        self.last_direct_contact_at: dict[str, float] = {}
        self.members_by_target: dict[str, set[str]] = {}
        self.leaving_starts: dict[str, int] = {}
        self.applied_leaving: dict[str, bool] = {}
        self.unanswered_since: dict[str, float] = {}
        self.load_sent_at = float("-inf")
        self.counter = 0
        self.members_version = 0
        self.last_scan_at = float("-inf")
        self.relay_cache: dict[str, tuple] = {}
        self.all_changes = ChangeLog()
        self.identity_changes = ChangeLog()
        self.status_changes = ChangeLog()
        self.removals = ChangeLog()
        self.index_targets(own)
        self.log_change(None, own)

    def tick(self, now: float):
        """Advance the clock and remove the members without contact for `GONE_AFTER_S`."""
        self.clock.tick(now)
        if self.clock.connected_s - self.last_scan_at < REFRESH_S:
            return
        self.last_scan_at = self.clock.connected_s
        latest_gone_at = self.clock.connected_s - GONE_AFTER_S
        gone = [name for name, at in self.last_contact_at.items() if at <= latest_gone_at]
        for name in gone:
            self.remove(name)

    def log_change(self, old, new):
        """Add a changed record to the change logs whose receivers need the change."""
        self.counter += 1
        self.all_changes.record_change(new.name, self.counter)
        self.removals.remove(new.name)
        if old is None or old.identity() != new.identity():
            self.members_version += 1
        if new.data_centre != self.own.data_centre:
            return
        if old is None or old.identity() != new.identity():
            self.identity_changes.record_change(new.name, self.counter)
        if old is None or old.without_load() != new.without_load():
            self.status_changes.record_change(new.name, self.counter)

    def index_targets(self, record):
        """Add the targets of a record to the index by target."""
        for target in record.targets:
            self.members_by_target.setdefault(target.name, set()).add(record.name)

    def unindex_targets(self, record):
        """Remove the targets of a record from the index by target."""
        for target in record.targets:
            names = self.members_by_target.get(target.name, set())
            names.discard(record.name)
            if not names:
                self.members_by_target.pop(target.name, None)

    def merge(self, record: MemberRecord) -> bool:
        """Store a record if it is newer than the known one; return whether it was."""
        if record.name == self.own.name:
            if record.process > self.own.process:
                self.raise_start(record.started_ms)
            return False
        known = self.records.get(record.name)
        if known is not None and record.order <= known.order:
            return False
        if known is not None and known.process == record.process:
            record = keep_later_state(known, record)
        if known is not None:
            self.unindex_targets(known)
        self.records[record.name] = record
        self.removed_members.pop(record.name, None)
        self.last_contact_at.setdefault(record.name, self.clock.connected_s)
        self.index_targets(record)
        if self.applied_leaving.get(record.name) is False:
            self.mark_leaving(record.name, record.started_ms)
            self.applied_leaving[record.name] = True
        self.log_change(known, record)
        return True

    def remove(self, name):
        """Remove a member; its address is kept in case its whole data centre is lost."""
        record = self.records.pop(name, None)
        self.last_contact_at.pop(name, None)
        self.last_direct_contact_at.pop(name, None)
        self.unanswered_since.pop(name, None)
        for log in (self.all_changes, self.identity_changes, self.status_changes):
            log.remove(name)
        if record is None:
            return
        self.unindex_targets(record)
        self.removed_members[name] = record.without_targets()
        while len(self.removed_members) > MAX_REMOVED:
            self.removed_members.pop(next(iter(self.removed_members)))
        self.counter += 1
        self.members_version += 1
        self.removals.record_change(name, self.counter)
        self.removals.prune(MAX_REMOVED)

    def set_own(self, now: float, **changes) -> MemberRecord:
        """Change the own record.

        A change of the loads alone is applied at most every `LOAD_INTERVAL_S`.

        Parameters
        ----------
        now : float
            Seconds of the loop's clock.
        **changes
            Fields of `MemberRecord`, for example ``state``, ``generation`` or ``targets``.
        """
        self.tick(now)
        record = keep_later_state(self.own, attrs.evolve(self.own, **changes))
        if record == self.own:
            return self.own
        if record.without_load() == self.own.without_load():
            if now - self.load_sent_at < LOAD_INTERVAL_S:
                return self.own
            self.load_sent_at = now
        self.replace_own(record)
        return self.own

    def replace_own(self, record):
        """Store a new own record under the next sequence number."""
        old = self.own
        self.own = attrs.evolve(record, sequence=old.sequence + 1)
        self.unindex_targets(old)
        self.index_targets(self.own)
        self.records[self.own.name] = self.own
        self.log_change(old, self.own)

    def raise_start(self, started_ms: int):
        """Raise the own start number above that of a former process of this name.

        If the wall clock of a host steps back between two starts, the records of the new process
        would otherwise be taken for delayed ones of the former process.
        """
        if started_ms < self.own.started_ms:
            return
        self.replace_own(attrs.evolve(self.own, started_ms=started_ms + 1))

    def on_hosts(self, hosts: Iterable[HostState], now: float):
        """Apply the platform's list of hosts.

        When a host becomes ``leaving``, its current process is leaving for good. A later process
        of that name is not affected, since the list lags behind. A host that is absent from the
        list stays a member as long as there is contact with it.
        """
        self.clock.record_contact(now)
        rows = {host.name for host in hosts if host.state == "leaving"}
        self.applied_leaving = {
            name: applied for name, applied in self.applied_leaving.items() if name in rows
        }
        for name in rows:
            if self.applied_leaving.get(name):
                continue
            record = self.records.get(name)
            self.applied_leaving[name] = record is not None
            if record is not None:
                self.mark_leaving(name, record.started_ms)

    def mark_leaving(self, name, started_ms):
        """Mark the process with that start number and all former ones of the name as leaving."""
        if started_ms <= self.leaving_starts.get(name, -1):
            return
        self.leaving_starts.pop(name, None)
        self.leaving_starts[name] = started_ms
        while len(self.leaving_starts) > MAX_LEAVING:
            self.leaving_starts.pop(next(iter(self.leaving_starts)))
        if name == self.own.name and started_ms >= self.own.started_ms:
            self.replace_own(keep_later_state(attrs.evolve(self.own, state="leaving"), self.own))

    def age_s(self, name: str) -> float:
        """Return the seconds since any relay had contact with a member, by `ContactClock`."""
        if name == self.own.name:
            return 0.0
        return self.clock.connected_s - self.last_contact_at.get(name, float("-inf"))

    def member_state(self, name: str) -> str:
        """Return ``live``, ``leaving``, ``stopped``, ``suspect`` or ``gone`` for a member."""
        record = self.records.get(name)
        if record is None:
            return "gone"
        if record.state == "stopped":
            return "stopped"
        if self.age_s(name) > SUSPECT_AFTER_S:
            return "suspect"
        if self.leaving_starts.get(name, -1) >= record.started_ms:
            return "leaving"
        return record.state

    def live(self, now: float) -> list[MemberRecord]:
        """Return the live members: recent contact, neither leaving nor stopped."""
        self.tick(now)
        return [item for item in self.records.values() if self.member_state(item.name) == "live"]

    def gateways(self, now: float) -> list[str]:
        """Return the names of the live gateways, the members that duties are assigned to."""
        return sorted(item.name for item in self.live(now) if item.role == "gateway")

    def holder_of(self, target: str, now: float) -> MemberRecord | None:
        """Return the member that serves a target.

        If several members report the target, the one in the best state is returned, then the one
        started last.
        """
        self.tick(now)
        order = ["live", "leaving", "suspect", "stopped", "gone"]
        names = sorted(
            self.members_by_target.get(target, ()),
            key=lambda name: (
                order.index(self.member_state(name)),
                -self.records[name].started_ms,
                name,
            ),
        )
        return self.records[names[0]] if names else None

    def state_of(self, target: str, now: float) -> str:
        """Return the state of a target.

        Returns
        -------
        str
            ``live``, ``drained`` or ``down`` if its member is live, else the state of the member;
            ``gone`` for an unknown target.
        """
        holder = self.holder_of(target, now)
        if holder is None:
            return "gone"
        state = self.member_state(holder.name)
        if state != "live":
            return state
        status = next(item for item in holder.targets if item.name == target)
        if status.drained:
            return "drained"
        return "live" if status.state == "up" else status.state

    def relays(self, data_centre: str, now: float) -> list[MemberRecord]:
        """Return the two relays of a data centre; gateways come before agents.

        A member that does not reply to reports is excluded for `UNANSWERED_RETRY_S`. If no member
        is live, the last known ones are returned, so that contact can be restored.
        """
        self.tick(now)
        key = (self.members_version, self.clock.running_s // REFRESH_S)
        cached_key, cached = self.relay_cache.get(data_centre, (None, []))
        if cached_key != key:
            cached = self.find_relays(data_centre)
            self.relay_cache[data_centre] = (key, cached)
        return list(cached)

    def find_relays(self, data_centre):
        """Select the relays of a data centre by rendezvous rank."""
        candidates = [
            item
            for item in self.records.values()
            if item.data_centre == data_centre
            and self.member_state(item.name) == "live"
            and not self.is_unanswered(item.name)
        ]
        if not candidates:
            known = [*self.removed_members.values(), *self.records.values()]
            candidates = [item for item in known if item.data_centre == data_centre]
        by_name = {item.name: item for item in candidates}
        ranked = rank(f"relay:{data_centre}", by_name)
        ranked.sort(key=lambda name: by_name[name].role != "gateway")
        return [by_name[name] for name in ranked[:RELAYS_PER_DATA_CENTRE]]

    def is_unanswered(self, name):
        """Return whether reports to a member have had no reply for `SUSPECT_AFTER_S`."""
        since = self.unanswered_since.get(name)
        if since is None:
            return False
        waited_s = self.clock.running_s - since
        if waited_s > UNANSWERED_RETRY_S:
            del self.unanswered_since[name]
            return False
        return waited_s > SUSPECT_AFTER_S


def keep_later_state(known, record):
    """Return the record, with the known state if that is later in the order of states.

    A process never goes back from ``leaving`` or ``stopped``.
    """
    if STATE_ORDER.get(known.state, 0) <= STATE_ORDER.get(record.state, 0):
        return record
    return attrs.evolve(record, state=known.state)
