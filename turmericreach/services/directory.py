"""Directory of the targets found through service discovery."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from turmericreach.services.health import should_suspect
from turmericreach.services.target import LoadReport, Target, TargetRecord
from turmericreach.sharing import LeavingTable, LimitTable, SoftwareHistory
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["ResponseState", "TargetDirectory"]

DEFAULT_DRAIN_S = 2.0
# Share of that time in which targets that leave are used if a service has no others. The rest is
# for requests that are on their way.
LAST_RESORT_SHARE = 0.5


class ResponseState(Protocol):
    """What the head of a response says about the state of its target.

    Attributes
    ----------
    load : tuple of int or None
        Running requests, waiting requests and slots, None if not stated.
    limit_per_s : float or None
        Requests a second that the target accepts, None if it names no limit.
    stamp : str
        Signature of the target; empty if the response may be incomplete or of another origin.
    leaving : bool
        Whether the target states that it is about to stop.
    slowdown : float or None
        Present duration of work relative to the usual one, None if not stated.
    """

    load: tuple[int, int, int] | None
    limit_per_s: float | None
    stamp: str
    leaving: bool
    slowdown: float | None


class TargetDirectory:
    """Targets by id, with the local state of each.

    Attributes
    ----------
    targets : dict of str to Target
        All listed targets by id, including those that are draining.
    limits : LimitTable
        Limits that the targets have named.
    software : SoftwareHistory
        Software of the targets, now and before.
    leaving : LeavingTable
        Targets that have announced in responses that they leave.
    drain_s : float
        Seconds for which a target still serves after it has announced that it leaves.
    has_shared_hosts : bool or None
        Whether a target has stated how much slower work is on its host; None before the first
        load report.
    on_shared_hosts : callable or None
        Called without arguments with the first such statement.
    on_change : callable or None
        Called without arguments after each change of the directory.
    on_removed : callable or None
        Called with each target that has been removed.
    """

    def __init__(
        self,
        limits: LimitTable | None = None,
        software: SoftwareHistory | None = None,
        leaving: LeavingTable | None = None,
        drain_s: float = DEFAULT_DRAIN_S,
    ):
        self.targets: dict[str, Target] = {}
        self.limits = limits or LimitTable()
        self.software = software or SoftwareHistory()
        self.leaving = leaving or LeavingTable()
        self.drain_s = drain_s
        self.has_shared_hosts: bool | None = None
        self.on_shared_hosts: Callable[[], None] | None = None
        self.on_change: Callable[[], None] | None = None
        self.on_removed: Callable[[Target], None] | None = None

    def update(self, record: TargetRecord) -> None:
        """Add or update a target; the record of another run replaces the previous target."""
        self.software.add(record.service, record.software)
        known = self.targets.get(record.id)
        if known is None or not known.record.is_same_run(record):
            if known is not None:
                self.remove(record.id, "restarted")
            self.targets[record.id] = Target(record, model_versions=dict(record.model_versions))
            log_event(
                events.TARGET_LISTED,
                target=record.id,
                service=record.service,
                address=record.address,
                draining=record.draining,
                software_version=record.software_version,
                started_ms=record.started_ms,
            )
        else:
            if record.draining and not known.record.draining:
                log_event(events.TARGET_DRAINING, target=record.id, service=record.service)
            known.record = record
            for model, version in record.model_versions.items():
                known.record_version(model, version)
        self.notify_changed()

    def remove(self, target_id: str, reason: str) -> None:
        """Remove a target, if it is listed, and log the reason."""
        target = self.targets.pop(target_id, None)
        if target is None:
            return
        self.limits.remove(target_id)
        if not target.record.started_ms:
            self.leaving.remove(target.record.run)
        log_event(
            events.TARGET_REMOVED, target=target_id, service=target.record.service, reason=reason
        )
        if self.on_removed is not None:
            self.on_removed(target)
        self.notify_changed()

    def accepting_targets(self, service: str) -> list[Target]:
        """Return the targets of a service that accept new requests.

        If all of them have announced that they leave, those that did so a short time ago are
        returned, since they still serve.
        """
        found, leaving = [], []
        for target in self.targets.values():
            if target.record.service != service or target.record.draining:
                continue
            since = self.leaving.since(target.record.run)
            if since is None:
                found.append(target)
            else:
                leaving.append((since, target))
        if found or not leaving:
            return found
        oldest = asyncio.get_running_loop().time() - LAST_RESORT_SHARE * self.drain_s
        return [target for since, target in leaving if since > oldest]

    def accepts(self, target: Target) -> bool:
        """Return whether a target accepts new requests."""
        return target in self.accepting_targets(target.record.service)

    def is_leaving(self, target: Target) -> bool:
        """Return whether a target leaves, according to its entry or its responses."""
        return target.record.draining or self.leaving.since(target.record.run) is not None

    def leaving_s(self, target: Target, now: float) -> float | None:
        """Return the seconds since a target announced that it leaves, None if it did not."""
        since = self.leaving.since(target.record.run)
        return None if since is None else round(now - since, 3)

    def record_state(
        self, target: Target, response: ResponseState, sent_at: float, now: float
    ) -> None:
        """Record what the head of a response states of its target.

        Parameters
        ----------
        sent_at : float
            Loop time in seconds at which the request was sent.
        now : float
            Loop time in seconds at which the head arrived.
        """
        if response.leaving:
            self.record_leave(target, now)
        if response.load is not None:
            self.record_shared_hosts(response.slowdown is not None)
            target.record_load(LoadReport(*response.load, now, response.slowdown))
        if response.limit_per_s is None and not response.stamp:
            return
        if self.limits.record(target.id, response.limit_per_s, sent_at, now):
            self.log_limit(target)

    def record_shared_hosts(self, shared: bool) -> None:
        """Record whether a load report states how much slower work is on its host."""
        if shared and not self.has_shared_hosts and self.on_shared_hosts is not None:
            self.on_shared_hosts()
        self.has_shared_hosts = self.has_shared_hosts or shared

    def record_leave(self, target: Target, now: float) -> None:
        """Record that a response of a target has announced that it leaves."""
        if not self.leaving.record(target.record.run, now):
            return
        log_event(
            events.TARGET_LEAVING,
            target=target.id,
            service=target.record.service,
            draining=target.record.draining,
        )
        self.notify_changed()

    def log_limit(self, target: Target) -> None:
        """Log the limit that a target has just named, changed or ended."""
        per_s = self.limits.per_s(target.id)
        service = target.record.service
        if per_s is None:
            log_event(events.TARGET_LIMIT_ENDED, target=target.id, service=service)
            return
        log_event(events.TARGET_LIMIT_NAMED, target=target.id, service=service, per_s=per_s)

    def record_success(self, target: Target, now: float) -> None:
        """Record that a request got a complete response, which may end the target's suspicion."""
        target.record_response(now)
        target.record_outcome(failed=False)
        if target.is_suspected(now) and not should_suspect(target, self.peers_of(target), now):
            target.suspected_until = now
            log_event(
                events.TARGET_TRUSTED, target=target.id, failure_share=rounded_failure_share(target)
            )

    def record_failure(self, target: Target, reason: str, seconds: float, now: float) -> None:
        """Record that a request got no complete response; suspect the target if it caused this.

        Parameters
        ----------
        target : Target
            Target of the request.
        reason : str
            Cause of the failure, for the log.
        seconds : float
            Duration of the suspicion.
        now : float
            Loop time in seconds.
        """
        target.record_outcome(failed=True)
        if should_suspect(target, self.peers_of(target), now):
            self.suspect(target, reason, seconds, now)

    def peers_of(self, target: Target) -> list[Target]:
        """Return the other targets of a target's service."""
        return [
            other for other in self.accepting_targets(target.record.service) if other is not target
        ]

    def suspect(self, target: Target, reason: str, seconds: float, now: float) -> None:
        """Suspect a target for a number of seconds, so that requests avoid it."""
        target.suspected_until = now + seconds
        log_event(
            events.TARGET_SUSPECTED,
            target=target.id,
            seconds=seconds,
            reason=reason,
            failure_share=rounded_failure_share(target),
            silent_s=round(min(now - target.last_response_at, 1e6), 3),
        )

    def notify_changed(self) -> None:
        """Call the listener for changes of the directory."""
        if self.on_change is not None:
            self.on_change()


def rounded_failure_share(target: Target) -> float:
    """Return the share of failed requests of a target, rounded for the log."""
    return round(target.failure_share, 2)
