"""Records of all members, when each was heard, and what follows from it."""

from collections.abc import Iterable

import attrs

from turmericreach.membership.clock import AttentiveClock
from turmericreach.membership.log import ChangeLog
from turmericreach.membership.records import STATE_ORDER, HostState, MemberRecord
from turmericreach.ownership import rank

__all__ = ["GONE_S", "REFRESH_S", "SUSPECT_S", "MemberStore"]

SUSPECT_S = 3.0
GONE_S = 10.0
# A relay that does not answer is left out this long and then tried again.
UNANSWERED_RETRY_S = 10.0
# Loads change with each request; sending each change would cost more than the whole budget. The
# replies of `submit` carry fresher loads for the busy paths.
LOAD_INTERVAL_S = 10.0
# What follows from all records is found again this often, not with each of 57 reports a second.
REFRESH_S = 0.25
REMEMBERED = 512
RELAYS = 2
# Keeps one daemon that holds several start numbers of a lost host from growing without bound.
MAX_LEAVING = 4096


class MemberStore:
    """Holds the member records; see `MemberTable` for the messages."""

    def __init__(self, own: MemberRecord, now: float):
        self.own = own
        self.clock = AttentiveClock(now)
        self.records: dict[str, MemberRecord] = {own.name: own}
        self.former: dict[str, MemberRecord] = {}
        self.heard_at: dict[str, float] = {}
        self.direct_at: dict[str, float] = {}
        self.by_target: dict[str, set[str]] = {}
        self.left: dict[str, int] = {}
        self.listed_leaving: dict[str, bool] = {}
        self.unanswered: dict[str, float] = {}
        self.load_sent_at = float("-inf")
        self.counter = 0
        self.members_version = 0
        self.scanned_at = float("-inf")
        self.relay_cache: dict[str, tuple] = {}
        self.all_changes = ChangeLog()
        self.identity_changes = ChangeLog()
        self.status_changes = ChangeLog()
        self.removals = ChangeLog()
        self.index(own)
        self.log_change(None, own)

    def tick(self, now: float):
        """Advance the clock and remove the members that are gone."""
        self.clock.tick(now)
        if self.clock.attentive_s - self.scanned_at < REFRESH_S:
            return
        self.scanned_at = self.clock.attentive_s
        limit = self.clock.attentive_s - GONE_S
        gone = [name for name, at in self.heard_at.items() if at <= limit]
        for name in gone:
            self.remove(name)

    def log_change(self, old, new):
        """Enter a changed record into the logs of those who need the change."""
        self.counter += 1
        self.all_changes.touch(new.name, self.counter)
        self.removals.drop(new.name)
        if old is None or old.identity() != new.identity():
            self.members_version += 1
        if new.data_centre != self.own.data_centre:
            return
        if old is None or old.identity() != new.identity():
            self.identity_changes.touch(new.name, self.counter)
        if old is None or old.without_load() != new.without_load():
            self.status_changes.touch(new.name, self.counter)

    def index(self, record):
        """Note where the targets of a record are."""
        for target in record.targets:
            self.by_target.setdefault(target.name, set()).add(record.name)

    def unindex(self, record):
        """Forget the targets of a record."""
        for target in record.targets:
            names = self.by_target.get(target.name, set())
            names.discard(record.name)
            if not names:
                self.by_target.pop(target.name, None)

    def merge(self, record: MemberRecord) -> bool:
        """Take over a record that is newer than the known one; True if it was."""
        if record.name == self.own.name:
            if record.process > self.own.process:
                self.raise_start(record.started_ms)
            return False
        known = self.records.get(record.name)
        if known is not None and record.order <= known.order:
            return False
        if known is not None and known.process == record.process:
            record = keep_state(known, record)
        if known is not None:
            self.unindex(known)
        self.records[record.name] = record
        self.former.pop(record.name, None)
        self.heard_at.setdefault(record.name, self.clock.attentive_s)
        self.index(record)
        if self.listed_leaving.get(record.name) is False:
            self.mark_leaving(record.name, record.started_ms)
            self.listed_leaving[record.name] = True
        self.log_change(known, record)
        return True

    def remove(self, name):
        """Forget a member; gateways and agents of lost data centres stay known as addresses."""
        record = self.records.pop(name, None)
        self.heard_at.pop(name, None)
        self.direct_at.pop(name, None)
        self.unanswered.pop(name, None)
        for log in (self.all_changes, self.identity_changes, self.status_changes):
            log.drop(name)
        if record is None:
            return
        self.unindex(record)
        self.former[name] = record.without_targets()
        while len(self.former) > REMEMBERED:
            self.former.pop(next(iter(self.former)))
        self.counter += 1
        self.members_version += 1
        self.removals.touch(name, self.counter)
        self.removals.prune(REMEMBERED)

    def set_own(self, now: float, **changes) -> MemberRecord:
        """Change the own record; a change of the loads alone waits for `LOAD_INTERVAL_S`.

        Parameters
        ----------
        now : float
            Seconds of the loop's clock.
        **changes
            Fields of `MemberRecord`, for example ``state``, ``generation`` or ``targets``.
        """
        self.tick(now)
        record = keep_state(self.own, attrs.evolve(self.own, **changes))
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
        self.unindex(old)
        self.index(self.own)
        self.records[self.own.name] = self.own
        self.log_change(old, self.own)

    def raise_start(self, started_ms: int):
        """Raise the own start number above that of a former process of this name.

        The wall clock of a host can step back between two starts, and the record of the new
        process would then count as a delayed one of the former process.
        """
        if started_ms < self.own.started_ms:
            return
        self.replace_own(attrs.evolve(self.own, started_ms=started_ms + 1))

    def on_hosts(self, hosts: Iterable[HostState], now: float):
        """Take over the platform's list of hosts.

        A host that becomes ``leaving`` makes the present process of its daemon leaving for good.
        A later process of that name is not affected, since the list lags. A host that is absent
        from the list stays a member as long as it is heard from.
        """
        self.clock.contact(now)
        rows = {host.name for host in hosts if host.state == "leaving"}
        self.listed_leaving = {
            name: stamped for name, stamped in self.listed_leaving.items() if name in rows
        }
        for name in rows:
            if self.listed_leaving.get(name):
                continue
            record = self.records.get(name)
            self.listed_leaving[name] = record is not None
            if record is not None:
                self.mark_leaving(name, record.started_ms)

    def mark_leaving(self, name, started_ms):
        """Note that the process with that start number and all former ones are leaving."""
        if started_ms <= self.left.get(name, -1):
            return
        self.left.pop(name, None)
        self.left[name] = started_ms
        while len(self.left) > MAX_LEAVING:
            self.left.pop(next(iter(self.left)))
        if name == self.own.name and started_ms >= self.own.started_ms:
            self.replace_own(keep_state(attrs.evolve(self.own, state="leaving"), self.own))

    def age_s(self, name: str) -> float:
        """Return how long ago a member was heard by any relay, by the attentive clock."""
        if name == self.own.name:
            return 0.0
        return self.clock.attentive_s - self.heard_at.get(name, float("-inf"))

    def member_state(self, name: str) -> str:
        """Return ``live``, ``leaving``, ``stopped``, ``suspect`` or ``gone`` for a member."""
        record = self.records.get(name)
        if record is None:
            return "gone"
        if record.state == "stopped":
            return "stopped"
        if self.age_s(name) > SUSPECT_S:
            return "suspect"
        if self.left.get(name, -1) >= record.started_ms:
            return "leaving"
        return record.state

    def live(self, now: float) -> list[MemberRecord]:
        """Return the members that are live: heard from lately, neither leaving nor stopped."""
        self.tick(now)
        return [item for item in self.records.values() if self.member_state(item.name) == "live"]

    def gateways(self, now: float) -> list[str]:
        """Return the names of the live gateways, the members that duties fall to."""
        return sorted(item.name for item in self.live(now) if item.role == "gateway")

    def holder_of(self, target: str, now: float) -> MemberRecord | None:
        """Return the member that serves a target, the most usable one if several claim it."""
        self.tick(now)
        order = ["live", "leaving", "suspect", "stopped", "gone"]
        names = sorted(
            self.by_target.get(target, ()),
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

        A member that left reports unanswered is left out for a while. If nobody is live, the
        members known last are returned, so that contact can be taken up again.
        """
        self.tick(now)
        key = (self.members_version, self.clock.awake_s // REFRESH_S)
        cached_key, cached = self.relay_cache.get(data_centre, (None, []))
        if cached_key != key:
            cached = self.find_relays(data_centre)
            self.relay_cache[data_centre] = (key, cached)
        return list(cached)

    def find_relays(self, data_centre):
        """Rank the candidates of a data centre."""
        candidates = [
            item
            for item in self.records.values()
            if item.data_centre == data_centre
            and self.member_state(item.name) == "live"
            and not self.is_unanswered(item.name)
        ]
        if not candidates:
            known = [*self.former.values(), *self.records.values()]
            candidates = [item for item in known if item.data_centre == data_centre]
        by_name = {item.name: item for item in candidates}
        ranked = rank(f"relay:{data_centre}", by_name)
        ranked.sort(key=lambda name: by_name[name].role != "gateway")
        return [by_name[name] for name in ranked[:RELAYS]]

    def is_unanswered(self, name):
        """Tell whether reports to a member had no answer for a while."""
        since = self.unanswered.get(name)
        if since is None:
            return False
        waited_s = self.clock.awake_s - since
        if waited_s > UNANSWERED_RETRY_S:
            del self.unanswered[name]
            return False
        return waited_s > SUSPECT_S


def keep_state(known, record):
    """Return the record with a state that is not before the known one of the same process."""
    if STATE_ORDER.get(known.state, 0) <= STATE_ORDER.get(record.state, 0):
        return record
    return attrs.evolve(record, state=known.state)
