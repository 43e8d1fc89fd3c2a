"""Log events, audit records and metrics of the lots of one gateway."""

import attrs

from turmericreach.daemon.node import Node
from turmericreach.lots import LotSpec
from turmericreach.telemetry import events, log_event
from turmericreach.telemetry import metric_catalogue as metrics

__all__ = ["LotObserver"]


@attrs.define
class LotCounts:
    """Totals of one lot that are already in the metrics and the log.

    Attributes
    ----------
    opened_at : float
        Loop time in seconds when the lot was first observed.
    discarded : dict of str to int
        Discarded samples by reason.
    tokens_thrown_away : int
        Generated tokens that were not delivered.
    complete : bool
        Whether the completion was logged.
    """

    opened_at: float
    discarded: dict[str, int] = attrs.field(factory=dict)
    tokens_thrown_away: int = 0
    complete: bool = False


class LotObserver:
    """Logs and audits changes of lots, and counts delivered and discarded samples.

    Parameters
    ----------
    node : Node
        Identity, configuration, members and connections of this process.

    Attributes
    ----------
    counts_by_lot : dict of str to LotCounts
        Totals counted so far, by name of the lot.
    write_audit_record : callable
        Takes actor, action, subject, before and after of an audit record.
    """

    def __init__(self, node: Node):
        self.node = node
        self.counts_by_lot: dict[str, LotCounts] = {}
        self.write_audit_record = discard_record

    def on_declared(self, spec: LotSpec, actor: str, durable: bool) -> None:
        """Log and audit the declaration of a new lot."""
        log_event(
            events.LOT_DECLARED,
            trainer=spec.trainer,
            lot=spec.name,
            samples=spec.size,
            durable=durable,
        )
        after = f"{spec.size} samples for {spec.trainer}"
        self.write_audit_record(actor or spec.trainer, "declare", f"lot/{spec.name}", "", after)

    def on_taken_over(self, spec: LotSpec, consumed: int) -> None:
        """Log and audit that this gateway now coordinates a lot that existed before."""
        log_event(events.LOT_TAKEN_OVER, lot=spec.name, consumed=consumed, samples=spec.size)
        before = f"{consumed} of {spec.size} samples consumed"
        name = self.node.name
        self.write_audit_record(
            name, "take-over", f"lot/{spec.name}", before, f"coordinated by {name}"
        )

    def on_cancelled(self, spec: LotSpec, actor: str) -> None:
        """Log and audit the cancellation of a lot."""
        actor_name = actor or spec.trainer
        log_event(events.LOT_CANCELLED, lot=spec.name, actor=actor_name)
        self.write_audit_record(actor_name, "cancel", f"lot/{spec.name}", "", "cancelled")

    def counts_of(self, runner) -> LotCounts:
        """Return the totals of a lot, zero at first."""
        name = runner.spec.name
        return self.counts_by_lot.setdefault(name, LotCounts(self.node.now()))

    def on_pull(self, runner, result, waited_s: float) -> None:
        """Record the result of a pull: waiting time, samples, staleness, and completion."""
        trainer = runner.spec.trainer
        sink = self.node.metrics
        sink.timing(metrics.TRAINER_IDLE, waited_s, trainer=trainer)
        if result.samples:
            sink.count(metrics.SAMPLES, len(result.samples), trainer=trainer)
            lowest = min(item.version for item in result.samples[-1].segments)
            sink.gauge(metrics.STALENESS, result.trainer_version - lowest, trainer=trainer)
        lot_counts = self.counts_of(runner)
        if result.done and not lot_counts.complete:
            lot_counts.complete = True
            seconds = self.node.now() - lot_counts.opened_at
            log_event(events.LOT_COMPLETE, lot=runner.spec.name, seconds=seconds)

    def count_discarded(self, runners: dict) -> None:
        """Count samples and tokens discarded since the last call; remove totals of other lots."""
        sink = self.node.metrics
        for name in self.counts_by_lot.keys() - runners.keys():
            del self.counts_by_lot[name]
        for runner in runners.values():
            lot_counts = self.counts_of(runner)
            progress = runner.coordinator.progress()
            for reason, total in progress.discarded.items():
                increase = total - lot_counts.discarded.get(reason, 0)
                if increase > 0:
                    sink.count(metrics.SAMPLES_DISCARDED, increase, reason=reason)
                lot_counts.discarded[reason] = total
            increase = progress.tokens_thrown_away - lot_counts.tokens_thrown_away
            if increase > 0:
                sink.count(metrics.TOKENS_DISCARDED, increase, trainer=runner.spec.trainer)
            lot_counts.tokens_thrown_away = progress.tokens_thrown_away


def discard_record(actor, action, subject, before="", after="") -> None:
    """Write no audit record; default until the gateway sets its writer."""
