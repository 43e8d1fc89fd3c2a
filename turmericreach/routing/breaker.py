"""Circuit breakers for each target and weight version."""

import attrs

from turmericreach.routing.result import AttemptResult

__all__ = ["CircuitBreaker"]

OPEN_TIME_FACTOR = 2.0
PROBE_TIMEOUT_S = 60.0
# A target has few old versions. Beyond this number, the breaker of its lowest one is removed.
MAX_VERSIONS_PER_TARGET = 4


@attrs.define
class Circuit:
    """State of one breaker, which is closed while `open_s` is 0.

    Attributes
    ----------
    consecutive_failures : int
        Failures since the last success while the breaker is closed.
    open_s : float
        Current open time in seconds.
    open_until : float
        Time in seconds from which a probe may be sent.
    probe_attempt_id : str
        Attempt that probes the target, empty if none is in flight.
    probe_deadline : float
        Time in seconds from which another probe may be sent, because the result of this one may
        have been lost.
    failures : dict of AttemptResult to int
        Failures by kind since the breaker was created.
    """

    consecutive_failures: int = 0
    open_s: float = 0.0
    open_until: float = 0.0
    probe_attempt_id: str = ""
    probe_deadline: float = 0.0
    failures: dict[AttemptResult, int] = attrs.field(factory=dict)


class CircuitBreaker:
    """Circuit breakers that open on consecutive failures and close after one successful probe.

    Parameters
    ----------
    threshold : int
        Consecutive failures that open a breaker.
    open_s, max_open_s : float
        Initial and longest open time in seconds; it doubles after each failed probe.
    """

    def __init__(self, threshold=5, open_s=1.0, max_open_s=30.0):
        self.threshold = threshold
        self.open_s = open_s
        self.max_open_s = max_open_s
        self.circuits = {}

    def allows(self, target, version, now):
        """Return whether an attempt may be sent to a version of a target now."""
        return self.retry_after_s(target, version, now) <= 0.0

    def retry_after_s(self, target, version, now):
        """Return the seconds until an attempt may be sent, 0 if it may be sent now."""
        circuit = self.circuits.get(target, {}).get(version)
        if circuit is None or not circuit.open_s:
            return 0.0
        if circuit.probe_attempt_id:
            return max(0.0, circuit.probe_deadline - now)
        return max(0.0, circuit.open_until - now)

    def on_sent(self, target, version, attempt_id, now):
        """Record an attempt that is being sent; the first one after the open time is the probe."""
        circuit = self.circuits.get(target, {}).get(version)
        if circuit is None or not circuit.open_s or not self.allows(target, version, now):
            return
        circuit.probe_attempt_id = attempt_id
        circuit.probe_deadline = now + PROBE_TIMEOUT_S

    def on_ended(self, target, version, attempt_id, result, now):
        """Update the breaker from the `AttemptResult` of an attempt."""
        circuit = self.circuit(target, version)
        if result.is_failure:
            circuit.failures[result] = circuit.failures.get(result, 0) + 1
        if circuit.open_s:
            if circuit.probe_attempt_id == attempt_id:
                self.on_probe_ended(circuit, result, now)
            # Attempts sent before the breaker opened give no evidence about the target's current
            # state.
            return
        if result is AttemptResult.SUCCESS:
            circuit.consecutive_failures = 0
        if not result.is_failure:
            return
        circuit.consecutive_failures += 1
        if circuit.consecutive_failures >= self.threshold:
            circuit.open_s = self.open_s
            circuit.open_until = now + self.open_s

    def on_probe_ended(self, circuit, result, now):
        """Close the breaker on success, open it for longer on failure, else allow another probe."""
        circuit.probe_attempt_id = ""
        if result is AttemptResult.SUCCESS:
            circuit.open_s = 0.0
            circuit.consecutive_failures = 0
            return
        if result.is_failure:
            circuit.open_s = min(self.max_open_s, circuit.open_s * OPEN_TIME_FACTOR)
            circuit.open_until = now + circuit.open_s
            return
        circuit.open_until = now + self.open_s

    def remove_target(self, target):
        """Remove the breakers of a target that is no longer configured or has been replaced."""
        self.circuits.pop(target, None)

    def circuit(self, target, version):
        """Return the breaker of a target's version, creating it if needed."""
        versions = self.circuits.setdefault(target, {})
        if version not in versions and len(versions) >= MAX_VERSIONS_PER_TARGET:
            del versions[min(versions)]
        return versions.setdefault(version, Circuit())
