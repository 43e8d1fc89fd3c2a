"""Circuit breakers by target and version."""

import attrs

from turmericreach.routing.result import AttemptResult

__all__ = ["CircuitBreaker"]

OPEN_TIME_FACTOR = 2.0
PROBE_TIMEOUT_S = 60.0
# A target keeps few old versions; older breakers of it are dropped.
VERSIONS_PER_TARGET = 4


@attrs.define
class Circuit:
    """State of one breaker; closed while `open_s` is 0."""

    consecutive: int = 0
    open_s: float = 0.0
    open_until: float = 0.0
    probe: str = ""
    probe_until: float = 0.0
    failures: dict[AttemptResult, int] = attrs.field(factory=dict)


class CircuitBreaker:
    """Breakers that open on consecutive failures and close by a single probe.

    Parameters
    ----------
    threshold : int
        Consecutive failures that open a breaker.
    open_s, max_open_s : float
        First and longest open time in seconds; it doubles after each failed probe.
    """

    def __init__(self, threshold=5, open_s=1.0, max_open_s=30.0):
        self.threshold = threshold
        self.open_s = open_s
        self.max_open_s = max_open_s
        self.circuits = {}

    def allows(self, target, version, now):
        """Return whether an attempt may be sent now."""
        return self.retry_after_s(target, version, now) <= 0.0

    def retry_after_s(self, target, version, now):
        """Return the seconds until an attempt may be sent, 0 if it may be sent now."""
        circuit = self.circuits.get(target, {}).get(version)
        if circuit is None or not circuit.open_s:
            return 0.0
        if circuit.probe:
            return max(0.0, circuit.probe_until - now)
        return max(0.0, circuit.open_until - now)

    def on_sent(self, target, version, attempt_id, now):
        """Note an attempt; the first one after the open time is the probe."""
        circuit = self.circuits.get(target, {}).get(version)
        if circuit is None or not circuit.open_s or not self.allows(target, version, now):
            return
        circuit.probe = attempt_id
        circuit.probe_until = now + PROBE_TIMEOUT_S

    def on_ended(self, target, version, attempt_id, result, now):
        """Note the `AttemptResult` of an attempt."""
        circuit = self.circuit(target, version)
        if result.is_failure:
            circuit.failures[result] = circuit.failures.get(result, 0) + 1
        if circuit.open_s:
            if circuit.probe == attempt_id:
                self.on_probe_ended(circuit, result, now)
            # Attempts sent before the breaker opened say nothing about the target now.
            return
        if result is AttemptResult.SUCCESS:
            circuit.consecutive = 0
        if not result.is_failure:
            return
        circuit.consecutive += 1
        if circuit.consecutive >= self.threshold:
            circuit.open_s = self.open_s
            circuit.open_until = now + self.open_s

    def on_probe_ended(self, circuit, result, now):
        """Close the breaker, open it for longer, or allow another probe."""
        circuit.probe = ""
        if result is AttemptResult.SUCCESS:
            circuit.open_s = 0.0
            circuit.consecutive = 0
            return
        if result.is_failure:
            circuit.open_s = min(self.max_open_s, circuit.open_s * OPEN_TIME_FACTOR)
            circuit.open_until = now + circuit.open_s
            return
        circuit.open_until = now + self.open_s

    def forget(self, target):
        """Drop the breakers of a target that is no longer configured."""
        self.circuits.pop(target, None)

    def circuit(self, target, version):
        """Return the breaker of a target's version, made if needed."""
        versions = self.circuits.setdefault(target, {})
        if version not in versions and len(versions) >= VERSIONS_PER_TARGET:
            del versions[min(versions)]
        return versions.setdefault(version, Circuit())
