"""The routing table of a gateway."""

import random

from turmericreach.routing.affinity import PrefixMemory
from turmericreach.routing.breaker import CircuitBreaker
from turmericreach.routing.learned import SentAttempt, TargetRecord
from turmericreach.routing.model import Choice, Refusal, RoutingPolicy, TargetState
from turmericreach.routing.result import AttemptResult, classify
from turmericreach.routing.selection import Candidate, Obstacle, draw, refusal, state_obstacle
from turmericreach.verdicts import ErrorCode, Verdict

__all__ = ["RoutingTable"]

LOCAL, REGION, REMOTE = range(3)


class RoutingTable:
    """Chooses targets from reports, marks and this gateway's own attempts.

    Parameters
    ----------
    data_centre, region : str
        Place of the gateway.
    policy : RoutingPolicy or None
    rng : random.Random or None
        Source of the random candidates; seeded by default so that runs can be repeated.
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
        self.prefixes = PrefixMemory(self.policy.prefix_ttl_s, self.policy.prefix_entries)
        self.records = {}
        self.tiers = {}
        self.regions = {}

    def configure(self, services, targets, data_centres=()):
        """Take over a manifest and keep the learned state of targets that stay.

        Parameters
        ----------
        services : iterable of ServiceSpec
        targets : iterable of TargetSpec
        data_centres : iterable of DataCentre
            Places targets in regions; a target in an unlisted data centre counts as remote.
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
            if record is None or moved(record.spec, spec):
                self.forget(spec.name)
                record = TargetRecord(spec, kinds[spec.service])
            record.spec = spec
            record.kind = kinds[spec.service]
            self.records[spec.name] = record
            self.tiers[spec.service][self.tier(spec)].append(spec.name)
        for name in old.keys() - self.records.keys():
            self.forget(name)

    def observe(self, report, now):
        """Take over a `LoadReport`; one that is older than the last is dropped."""
        record = self.records.get(report.target)
        if record is None:
            return
        version = record.version
        record.observe(report)
        if record.version != version or record.state is TargetState.GONE:
            self.prefixes.forget(report.target)

    def mark(self, target, state, now):
        """Set the state that membership, the host list or an operator gives a target.

        A later report ends the states suspect and gone, but only a mark ends leaving.
        """
        record = self.records.get(target)
        if record is None:
            return
        record.marked = TargetState(state)
        record.marked_at = now
        if record.marked is TargetState.GONE:
            self.prefixes.forget(target)

    def on_sent(self, target, attempt_id, priority, now):
        """Note an attempt that is being sent to the target."""
        record = self.records.get(target)
        if record is None:
            return
        factor = record.load_factor(priority, self.policy)
        record.sent[attempt_id] = SentAttempt(priority, record.version, now, factor)
        self.breaker.on_sent(target, record.version, attempt_id, now)

    def on_ended(self, target, attempt_id, outcome, latency_s, tokens, now):
        """Learn from the end of an attempt.

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
        result = self.result(record, outcome, latency_s)
        self.breaker.on_ended(target, attempt.version, attempt_id, result, now)
        # Only the agent knows the load; outcomes made by the gateway itself carry 0.
        if (outcome.verdict is Verdict.ANSWERED or outcome.load > 0) and now >= record.load_at:
            record.load = outcome.load
            record.load_at = now
        if result is AttemptResult.OVERLOADED:
            backoff_s = min(outcome.retry_after_s, self.policy.max_backoff_s)
            record.backoff_until[attempt.priority] = now + backoff_s
        if result is AttemptResult.SUCCESS:
            record.backoff_until.pop(attempt.priority, None)
            record.learn(attempt, latency_s, tokens, self.policy.ewma_weight)

    def choose(self, request, now):
        """Choose a target for a `ChoiceRequest`, and expect its prefix in that target's cache.

        Returns
        -------
        Choice or Refusal
        """
        if request.service not in self.tiers:
            return Refusal(ErrorCode.UNKNOWN_SERVICE, 0.0, f"unknown service {request.service}")
        preferred = self.preferred(request, now)
        if preferred is not None:
            return preferred
        candidates = self.sample(request, now)
        in_time = [item for item in candidates if self.ends_in_time(item, request, now)]
        if not in_time:
            candidates, obstacles = self.examine_all(request, now)
            in_time = [item for item in candidates if self.ends_in_time(item, request, now)]
        if not candidates:
            return refusal(request.service, obstacles)
        if not in_time:
            return self.refuse_late(request, candidates, now)
        best = min(in_time, key=lambda item: (item.completion_s, item.name))
        chosen, reason = self.prefer_cached(request, best, now)
        if request.prefix:
            self.prefixes.remember(request.prefix, chosen.name, now)
        return Choice(chosen.name, f"{reason}, expected in {chosen.completion_s:.3f} s")

    def preferred(self, request, now):
        """Choose the target that the request prefers, if it may be chosen."""
        record = self.records.get(request.prefer)
        if record is None or record.spec.service != request.service:
            return None
        if not self.eligible(request.prefer, request, now):
            return None
        if record.load_view() >= record.slots and not self.policy.queues_at_preferred:
            return None
        if request.prefix:
            self.prefixes.remember(request.prefix, request.prefer, now)
        return Choice(request.prefer, "preferred")

    def sample(self, request, now):
        """Draw candidates from each tier."""
        candidates = []
        for names in self.tiers[request.service]:
            drawn = draw(
                self.rng,
                names,
                self.policy.samples_per_tier,
                lambda name: self.eligible(name, request, now),
            )
            candidates.extend(self.candidate(name, request) for name in drawn)
        return candidates

    def examine_all(self, request, now):
        """Return every eligible target of the service, and the obstacles of the others."""
        candidates = []
        obstacles = []
        for names in self.tiers[request.service]:
            for name in names:
                if name in request.excluded:
                    continue
                obstacle = self.obstacle(name, request, now)
                if obstacle is None:
                    candidates.append(self.candidate(name, request))
                    continue
                obstacles.append(obstacle)
        return candidates, obstacles

    def prefer_cached(self, request, best, now):
        """Return the best holder of the prefix if it loses less time than the prefill saves."""
        if not request.prefix:
            return best, "shortest expected completion"
        cached = None
        for name in self.prefixes.holders(request.prefix, now):
            record = self.records[name]
            if record.spec.service != request.service or not self.eligible(name, request, now):
                continue
            item = self.candidate(name, request)
            saved_s = self.prefill_s(record, request)
            if item.completion_s - best.completion_s > saved_s:
                continue
            if not self.ends_in_time(item, request, now):
                continue
            if cached is None or item.completion_s < cached.completion_s:
                cached = item
        if cached is None:
            return best, "shortest expected completion"
        return cached, "prefix probably cached"

    def prefill_s(self, record, request):
        """Return the seconds that a cached prefix saves at a target."""
        tokens = request.prefix_tokens or self.policy.default_prefix_tokens
        return record.base_s(tokens, self.policy) / self.policy.prefill_speedup

    def candidate(self, name, request):
        """Score one target."""
        record = self.records[name]
        penalty_s = (0.0, self.policy.region_penalty_s, self.policy.remote_penalty_s)
        base_s = record.base_s(request.expected_tokens, self.policy)
        completion_s = base_s * record.load_factor(request.priority, self.policy)
        return Candidate(name, record, completion_s + penalty_s[self.tier(record.spec)])

    def ends_in_time(self, item, request, now):
        """Return whether a candidate is expected to finish by the request's latest time."""
        return now + item.completion_s <= request.latest_finish_at

    def eligible(self, name, request, now):
        """Return whether a target may be chosen."""
        return name not in request.excluded and self.obstacle(name, request, now) is None

    def obstacle(self, name, request, now):
        """Return why a target must not be chosen, or None."""
        record = self.records[name]
        obstacle = state_obstacle(record)
        if obstacle is not None:
            return obstacle
        if record.version < request.min_version:
            reason = f"version {record.version} below {request.min_version}"
            return Obstacle(ErrorCode.NOT_READY, 1.0, reason)
        wait_s = self.breaker.retry_after_s(name, record.version, now)
        if wait_s > 0.0:
            return Obstacle(ErrorCode.CIRCUIT_OPEN, wait_s, "circuit open")
        wait_s = record.backoff_until.get(request.priority, now) - now
        if wait_s > 0.0:
            return Obstacle(ErrorCode.OVERLOADED, wait_s, "overloaded")
        return None

    def refuse_late(self, request, candidates, now):
        """Build the refusal of a request that no target would finish in time."""
        late_s = min(item.completion_s for item in candidates) - (request.latest_finish_at - now)
        idle_s = min(
            item.record.base_s(request.expected_tokens, self.policy) for item in candidates
        )
        reason = f"every target would finish at least {late_s:.3f} s too late"
        if now + idle_s > request.latest_finish_at:
            return Refusal(ErrorCode.DEADLINE_EXCEEDED, 0.0, reason)
        return Refusal(ErrorCode.OVERLOADED, late_s, reason)

    def result(self, record, outcome, latency_s):
        """Classify an outcome; a deadline below the usual latency proves no fault."""
        result = classify(outcome)
        if result is AttemptResult.TIMED_OUT and latency_s < record.latency_s:
            return AttemptResult.NEUTRAL
        return result

    def tier(self, spec):
        """Return how far away a target is."""
        if spec.data_centre == self.data_centre:
            return LOCAL
        if self.regions.get(spec.data_centre) == self.region:
            return REGION
        return REMOTE

    def forget(self, target):
        """Drop what was learned of a target."""
        self.breaker.forget(target)
        self.prefixes.forget(target)


def moved(old, new):
    """Return whether a target's entry now describes another back end."""
    return (old.service, old.url, old.agent) != (new.service, new.url, new.agent)
