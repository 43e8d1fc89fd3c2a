"""Routing table of a gateway."""

import random

from turmericreach.routing.affinity import PrefixCacheIndex
from turmericreach.routing.breaker import CircuitBreaker
from turmericreach.routing.model import Choice, Refusal, RoutingPolicy, TargetState
from turmericreach.routing.result import AttemptResult, classify
from turmericreach.routing.selection import (
    Candidate,
    Ineligibility,
    build_refusal,
    sample_eligible,
    state_ineligibility,
)
from turmericreach.routing.target_record import SentAttempt, TargetRecord
from turmericreach.verdicts import ErrorCode, Verdict

__all__ = ["RoutingTable"]

LOCAL, REGION, REMOTE = range(3)


class RoutingTable:
    """Chooses targets by load reports, assigned states and the gateway's own attempts.

    Parameters
    ----------
    data_centre, region : str
        Location of the gateway.
    policy : RoutingPolicy or None
        Parameters of the selection; the defaults if None.
    rng : random.Random or None
        Generator that samples the candidates. By default it is seeded with the data centre's name,
        so that runs are reproducible.
    """

    def __init__(self, data_centre, region, policy=None, rng=None):
        self.data_centre = data_centre
        self.region = region
        self.policy = policy or RoutingPolicy()
        self.rng = rng or random.Random(data_centre)
        self.breaker = CircuitBreaker(
            self.policy.breaker_threshold,
            self.policy.breaker_open_s,
            self.policy.breaker_max_open_s,
        )
        self.prefixes = PrefixCacheIndex(self.policy.prefix_ttl_s, self.policy.prefix_entries)
        self.records = {}
        self.tiers = {}
        self.regions = {}

    def configure(self, services, targets, data_centres=()):
        """Apply a manifest, and keep the records of targets that still name the same back end.

        Parameters
        ----------
        services : iterable of ServiceSpec
        targets : iterable of TargetSpec
        data_centres : iterable of DataCentre
            Regions of the data centres; a target in an unlisted data centre counts as remote.
        """
        self.regions = {item.name: item.region for item in data_centres}
        kinds = {service.name: service.kind for service in services}
        self.tiers = {name: ([], [], []) for name in kinds}
        old = self.records
        self.records = {}
        for spec in targets:
            if spec.service not in kinds:
                continue
            record = old.get(spec.name)
            if record is None or backend_changed(record.spec, spec):
                self.clear_learned_state(spec.name)
                record = TargetRecord(spec, kinds[spec.service])
            record.spec = spec
            record.kind = kinds[spec.service]
            self.records[spec.name] = record
            self.tiers[spec.service][self.tier(spec)].append(spec.name)
        for name in old.keys() - self.records.keys():
            self.clear_learned_state(name)

    def apply_report(self, report, now):
        """Apply a `LoadReport`; one that is older than the target's last report is ignored."""
        record = self.records.get(report.target)
        if record is None:
            return
        version = record.version
        record.apply_report(report)
        if record.version != version or record.state is TargetState.GONE:
            self.prefixes.remove_target(report.target)

    def set_state(self, target, state, now):
        """Set the state of a target as decided by membership, the host list or an operator.

        A later report ends the states suspect and gone. Only another call of this method ends the
        state leaving.
        """
        record = self.records.get(target)
        if record is None:
            return
        record.assigned_state = TargetState(state)
        record.assigned_at = now
        if record.assigned_state is TargetState.GONE:
            self.prefixes.remove_target(target)

    def on_sent(self, target, attempt_id, priority, now):
        """Record an attempt that is being sent to the target."""
        record = self.records.get(target)
        if record is None:
            return
        factor = record.load_factor(priority, self.policy)
        record.sent[attempt_id] = SentAttempt(priority, record.version, now, factor)
        self.breaker.on_sent(target, record.version, attempt_id, now)

    def on_ended(self, target, attempt_id, outcome, latency_s, tokens, now):
        """Update load, breaker, backoff and speed of a target at the end of an attempt.

        Parameters
        ----------
        outcome : Outcome
        latency_s : float
            Seconds since the attempt was sent.
        tokens : int
            Generated tokens, 0 for requests without tokens.
        """
        record = self.records.get(target)
        attempt = record.sent.pop(attempt_id, None) if record else None
        if attempt is None:
            return
        result = self.classify_outcome(record, outcome, latency_s)
        self.breaker.on_ended(target, attempt.version, attempt_id, result, now)
        # Only outcomes from the agent carry the load; those created by the gateway carry 0.
        if (outcome.verdict is Verdict.ANSWERED or outcome.load > 0) and now >= record.load_at:
            record.load = outcome.load
            record.load_at = now
        if result is AttemptResult.OVERLOADED:
            backoff_s = min(outcome.retry_after_s, self.policy.max_backoff_s)
            record.backoff_until[attempt.priority] = now + backoff_s
        if result is AttemptResult.SUCCESS:
            record.backoff_until.pop(attempt.priority, None)
            record.record_latency(attempt, latency_s, tokens, self.policy.ewma_weight)

    def choose(self, request, now):
        """Choose a target for a `ChoiceRequest`, and record its prefix as cached there.

        Returns
        -------
        Choice or Refusal
        """
        if request.service not in self.tiers:
            return Refusal(ErrorCode.UNKNOWN_SERVICE, 0.0, f"unknown service {request.service}")
        preferred = self.choose_preferred(request, now)
        if preferred is not None:
            return preferred
        candidates = self.sample_candidates(request, now)
        in_time = [item for item in candidates if self.finishes_in_time(item, request, now)]
        if not in_time:
            candidates, ineligibilities = self.evaluate_all(request, now)
            in_time = [item for item in candidates if self.finishes_in_time(item, request, now)]
        if not candidates:
            return build_refusal(request.service, ineligibilities)
        if not in_time:
            return self.deadline_refusal(request, candidates, now)
        best = min(in_time, key=lambda item: (item.completion_s, item.name))
        chosen, reason = self.prefer_cached(request, best, now)
        if request.prefix:
            self.prefixes.record_use(request.prefix, chosen.name, now)
        return Choice(chosen.name, f"{reason}, expected in {chosen.completion_s:.3f} s")

    def choose_preferred(self, request, now):
        """Return the choice of the request's preferred target, or None if it may not be chosen."""
        record = self.records.get(request.preferred_target)
        if record is None or record.spec.service != request.service:
            return None
        if not self.eligible(request.preferred_target, request, now):
            return None
        if record.estimated_load() >= record.slots and not self.policy.queues_at_preferred:
            return None
        if request.prefix:
            self.prefixes.record_use(request.prefix, request.preferred_target, now)
        return Choice(request.preferred_target, "preferred")

    def sample_candidates(self, request, now):
        """Return random eligible candidates from each locality tier."""
        candidates = []
        for names in self.tiers[request.service]:
            sampled = sample_eligible(
                self.rng,
                names,
                self.policy.samples_per_tier,
                lambda name: self.eligible(name, request, now),
            )
            candidates.extend(self.candidate(name, request) for name in sampled)
        return candidates

    def evaluate_all(self, request, now):
        """Return all eligible candidates of the service, and why the other targets are ineligible.

        Targets excluded by the request are in neither list.
        """
        candidates = []
        ineligibilities = []
        for names in self.tiers[request.service]:
            for name in names:
                if name in request.excluded:
                    continue
                ineligibility = self.ineligibility(name, request, now)
                if ineligibility is None:
                    candidates.append(self.candidate(name, request))
                    continue
                ineligibilities.append(ineligibility)
        return candidates, ineligibilities

    def prefer_cached(self, request, best, now):
        """Return a candidate with a cached prefix, or else the best one, and the reason.

        A candidate that probably has the prefix cached is used if its expected completion is later
        than that of the best candidate by no more than the prefill that the cache saves.
        """
        if not request.prefix:
            return best, "shortest expected completion"
        cached = None
        for name in self.prefixes.targets_with(request.prefix, now):
            record = self.records[name]
            if record.spec.service != request.service or not self.eligible(name, request, now):
                continue
            item = self.candidate(name, request)
            saved_s = self.prefill_s(record, request)
            if item.completion_s - best.completion_s > saved_s:
                continue
            if not self.finishes_in_time(item, request, now):
                continue
            if cached is None or item.completion_s < cached.completion_s:
                cached = item
        if cached is None:
            return best, "shortest expected completion"
        return cached, "prefix probably cached"

    def prefill_s(self, record, request):
        """Return the prefill time in seconds that a cached prefix saves at a target."""
        tokens = request.prefix_tokens or self.policy.default_prefix_tokens
        return record.idle_latency_s(tokens, self.policy) / self.policy.prefill_speedup

    def candidate(self, name, request):
        """Return a target as a candidate with its expected completion time."""
        record = self.records[name]
        penalty_s = (0.0, self.policy.region_penalty_s, self.policy.remote_penalty_s)
        idle_s = record.idle_latency_s(request.expected_tokens, self.policy)
        completion_s = idle_s * record.load_factor(request.priority, self.policy)
        return Candidate(name, record, completion_s + penalty_s[self.tier(record.spec)])

    def finishes_in_time(self, item, request, now):
        """Return whether a candidate is expected to finish by `latest_finish_at` of the request."""
        return now + item.completion_s <= request.latest_finish_at

    def eligible(self, name, request, now):
        """Return whether a target may be chosen for the request."""
        return name not in request.excluded and self.ineligibility(name, request, now) is None

    def ineligibility(self, name, request, now):
        """Return the `Ineligibility` of a target that must not be chosen, or None."""
        record = self.records[name]
        ineligibility = state_ineligibility(record)
        if ineligibility is not None:
            return ineligibility
        if record.version < request.min_version:
            reason = f"version {record.version} below {request.min_version}"
            return Ineligibility(ErrorCode.NOT_READY, 1.0, reason)
        wait_s = self.breaker.retry_after_s(name, record.version, now)
        if wait_s > 0.0:
            return Ineligibility(ErrorCode.CIRCUIT_OPEN, wait_s, "circuit open")
        wait_s = record.backoff_until.get(request.priority, now) - now
        if wait_s > 0.0:
            return Ineligibility(ErrorCode.OVERLOADED, wait_s, "overloaded")
        return None

    def deadline_refusal(self, request, candidates, now):
        """Build the `Refusal` of a request that no target is expected to finish in time.

        It is final if even an idle target would be too late; otherwise the load is the reason.
        """
        late_s = min(item.completion_s for item in candidates) - (request.latest_finish_at - now)
        idle_s = min(
            item.record.idle_latency_s(request.expected_tokens, self.policy) for item in candidates
        )
        reason = f"every target would finish at least {late_s:.3f} s too late"
        if now + idle_s > request.latest_finish_at:
            return Refusal(ErrorCode.DEADLINE_EXCEEDED, 0.0, reason)
        return Refusal(ErrorCode.OVERLOADED, late_s, reason)

    def classify_outcome(self, record, outcome, latency_s):
        """Classify an outcome as evidence about its target.

        A timeout after less than the usual latency is no evidence of a fault of the target.
        """
        result = classify(outcome)
        if result is AttemptResult.TIMED_OUT and latency_s < record.latency_s:
            return AttemptResult.NEUTRAL
        return result

    def tier(self, spec):
        """Return the locality tier of a target: `LOCAL`, `REGION` or `REMOTE`."""
        if spec.data_centre == self.data_centre:
            return LOCAL
        if self.regions.get(spec.data_centre) == self.region:
            return REGION
        return REMOTE

    def clear_learned_state(self, target):
        """Remove the breakers and cached prefixes of a target."""
        self.breaker.remove_target(target)
        self.prefixes.remove_target(target)


def backend_changed(old, new):
    """Return whether a target's entry in the manifest now names another back end."""
    return (old.service, old.url, old.agent) != (new.service, new.url, new.agent)
