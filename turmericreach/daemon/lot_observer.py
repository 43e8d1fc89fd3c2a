"""Events and metrics of the lots of one gateway."""

import attrs

from turmericreach.daemon.node import Node
from turmericreach.lots import LotSpec
from turmericreach.telemetry import events, log_event
from turmericreach.telemetry import metric_catalogue as metrics

__all__ = ["LotObserver"]


@attrs.define
class Counted:
    """What was already counted of one lot."""

    opened_at: float
    discarded: dict[str, int] = attrs.field(factory=dict)
    tokens_thrown_away: int = 0
    complete: bool = False


class LotObserver:
    """Logs and audits changes of lots, and counts what they hand over and throw away.

    Parameters
    ----------
    node : Node

    Attributes
    ----------
    record : callable
        Takes actor, action, subject, before and after of an audit record.
    """

    def __init__(self, node: Node):
        self.node = node
        self.lots: dict[str, Counted] = {}
        self.record = ignore_record

    def on_declared(self, spec: LotSpec, actor: str, durable: bool) -> None:
        """Note a new lot."""
        log_event(
            events.LOT_DECLARED,
            trainer=spec.trainer,
            lot=spec.name,
            samples=spec.size,
            durable=durable,
        )
        after = f"{spec.size} samples for {spec.trainer}"
        self.record(actor or spec.trainer, "declare", f"lot/{spec.name}", "", after)

    def on_taken_over(self, spec: LotSpec, consumed: int) -> None:
        """Note that this gateway coordinates a lot that another one had."""
        log_event(events.LOT_TAKEN_OVER, lot=spec.name, consumed=consumed, samples=spec.size)
        before = f"{consumed} of {spec.size} samples consumed"
        own = self.node.name
        self.record(own, "take-over", f"lot/{spec.name}", before, f"coordinated by {own}")

    def on_cancelled(self, spec: LotSpec, actor: str) -> None:
        """Note the end of a lot."""
        who = actor or spec.trainer
        log_event(events.LOT_CANCELLED, lot=spec.name, actor=who)
        self.record(who, "cancel", f"lot/{spec.name}", "", "cancelled")

    def counted(self, runner) -> Counted:
        """Return what was counted of a lot."""
        name = runner.spec.name
        return self.lots.setdefault(name, Counted(self.node.now()))

    def on_pull(self, runner, result, waited_s: float) -> None:
        """Count the answer to a pull."""
        trainer = runner.spec.trainer
        sink = self.node.metrics
        sink.timing(metrics.TRAINER_IDLE, waited_s, trainer=trainer)
        if result.samples:
            sink.count(metrics.SAMPLES, len(result.samples), trainer=trainer)
            lowest = min(item.version for item in result.samples[-1].segments)
            sink.gauge(metrics.STALENESS, result.trainer_version - lowest, trainer=trainer)
        counted = self.counted(runner)
        if result.done and not counted.complete:
            counted.complete = True
            seconds = self.node.now() - counted.opened_at
            log_event(events.LOT_COMPLETE, lot=runner.spec.name, seconds=seconds)

    def count_waste(self, runners: dict) -> None:
        """Count what was thrown away since the last call; forget lots that left."""
        sink = self.node.metrics
        for name in self.lots.keys() - runners.keys():
            del self.lots[name]
        for runner in runners.values():
            counted = self.counted(runner)
            progress = runner.coordinator.progress()
            for reason, total in progress.discarded.items():
                fresh = total - counted.discarded.get(reason, 0)
                if fresh > 0:
                    sink.count(metrics.SAMPLES_DISCARDED, fresh, reason=reason)
                counted.discarded[reason] = total
            fresh = progress.tokens_thrown_away - counted.tokens_thrown_away
            if fresh > 0:
                sink.count(metrics.TOKENS_DISCARDED, fresh, trainer=runner.spec.trainer)
            counted.tokens_thrown_away = progress.tokens_thrown_away


def ignore_record(actor, action, subject, before="", after="") -> None:
    """Write no audit record; the gateway sets its own writer."""
