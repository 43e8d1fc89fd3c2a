"""The targets in service discovery."""

from collections.abc import Callable

from turmericreach.services.health import speaks_against
from turmericreach.services.target import Target, TargetRecord
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["TargetDirectory"]


class TargetDirectory:
    """Targets by id, with the requests that this process has at each.

    Attributes
    ----------
    targets : dict of str to Target
        All targets listed, draining ones too.
    on_change : callable or None
        Called after each change.
    """

    def __init__(self):
        self.targets: dict[str, Target] = {}
        self.on_change: Callable[[], None] | None = None
        self.on_removed: Callable[[Target], None] | None = None

    def update(self, record: TargetRecord) -> None:
        """Take an entry; one with a newer start replaces the target's former run."""
        known = self.targets.get(record.id)
        if known is None or known.record.started_ms != record.started_ms:
            if known is not None:
                self.remove(record.id, "restarted")
            self.targets[record.id] = Target(record, model_versions=dict(record.model_versions))
            log_event(
                events.TARGET_LISTED,
                target=record.id,
                service=record.service,
                address=record.address,
                draining=record.draining,
            )
        else:
            if record.draining and not known.record.draining:
                log_event(events.TARGET_DRAINING, target=record.id, service=record.service)
            known.record = record
            for model, version in record.model_versions.items():
                known.note_version(model, version)
        self.changed()

    def remove(self, target_id: str, reason: str) -> None:
        """Forget a target."""
        target = self.targets.pop(target_id, None)
        if target is None:
            return
        log_event(
            events.TARGET_REMOVED, target=target_id, service=target.record.service, reason=reason
        )
        if self.on_removed is not None:
            self.on_removed(target)
        self.changed()

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service that take new requests."""
        found = []
        for target in self.targets.values():
            if target.record.service == service and not target.record.draining:
                found.append(target)
        return found

    def note_success(self, target: Target, now: float) -> None:
        """Record that a request got its whole answer, which may end a suspicion."""
        target.note_sign_of_life(now)
        target.note_outcome(failed=False)
        if target.is_suspect(now) and not speaks_against(target, self.peers_of(target), now):
            target.suspect_until = now
            log_event(events.TARGET_TRUSTED, target=target.id, failure_share=share_of(target))

    def note_failure(self, target: Target, reason: str, seconds: float, now: float) -> None:
        """Record that a request got no whole answer; avoid its target if that is its fault."""
        target.note_outcome(failed=True)
        if speaks_against(target, self.peers_of(target), now):
            self.suspect(target, reason, seconds, now)

    def peers_of(self, target: Target) -> list[Target]:
        """Return the other targets of a target's service."""
        return [other for other in self.of_service(target.record.service) if other is not target]

    def suspect(self, target: Target, reason: str, seconds: float, now: float) -> None:
        """Avoid a target for a while after a failure."""
        target.suspect_until = now + seconds
        log_event(
            events.TARGET_SUSPECTED,
            target=target.id,
            seconds=seconds,
            reason=reason,
            failure_share=share_of(target),
            silent_s=round(min(now - target.answered_at, 1e6), 3),
        )

    def changed(self) -> None:
        """Tell the listener."""
        if self.on_change is not None:
            self.on_change()


def share_of(target: Target) -> float:
    """Return a target's share of failures as log lines show it."""
    return round(target.failure_share, 2)
