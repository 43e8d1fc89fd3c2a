"""Lots of one gateway: coordination of its own, forwarding of the others."""

import asyncio
import weakref

import msgspec

from turmericreach.api import (
    AckRequest,
    DeclareAnswer,
    LotStatus,
    PullAnswer,
    PullRequest,
)
from turmericreach.attempts import MAX_DEADLINE_S
from turmericreach.daemon.lot_answers import limit_answer
from turmericreach.daemon.lot_calls import LotCall, LotOperation, LotReply
from turmericreach.daemon.lot_duties import LOT
from turmericreach.daemon.lot_housekeeping import LotHousekeeping
from turmericreach.daemon.lot_runner import LotRunner
from turmericreach.daemon.node import Node
from turmericreach.lots import (
    Cursor,
    LotLimits,
    LotSpec,
    check_lot,
    decode_lot,
    is_redeclaration,
)
from turmericreach.objectstore import ObjectStoreError
from turmericreach.rpc import PeerError
from turmericreach.telemetry import events, log_event
from turmericreach.verdicts import ErrorCode, RequestError, Verdict

__all__ = ["LOT", "LotService"]

# Agents refuse deadlines beyond their limit; the margin covers the way there.
DEADLINE_MARGIN_S = 60.0
MAX_PULL_WAIT_S = 60.0


SERVED_BY_SUCCESSOR = frozenset(
    [LotOperation.DECLARE, LotOperation.PULL, LotOperation.ACK, LotOperation.TAKE_OVER]
)


class LotService(LotHousekeeping):
    """Answers lot calls, here or at the lot's coordinator.

    Parameters
    ----------
    node : Node
    context_of : callable
        Takes a lot spec and returns the `LotContext` of its runner.
    """

    def __init__(self, node: Node, context_of):
        super().__init__(node)
        self.context_of = context_of
        self.runners: dict[str, LotRunner] = {}
        # A lock lives while somebody holds or awaits it, so calls for lots that do not exist leave
        # nothing behind.
        self.opening: weakref.WeakValueDictionary[str, asyncio.Lock] = weakref.WeakValueDictionary()
        self.limits = LotLimits(
            max_bytes=node.settings.limits.max_lot_bytes,
            max_deadline_s=MAX_DEADLINE_S - DEADLINE_MARGIN_S,
        )

    # Entry points

    async def call(self, call: LotCall) -> LotReply:
        """Answer a call at the lot's coordinator, wherever that is."""
        while True:
            holder = self.coordinator_of(call.lot)
            if holder is None or holder == self.node.name:
                return await self.answer(call)
            try:
                reply = await self.forward_while_held(holder, call)
            except PeerError as error:
                if await self.duty_moves(call.lot, holder):
                    continue
                raise RequestError(
                    ErrorCode.NOT_READY,
                    f"coordinator {holder} of lot {call.lot} cannot be reached: {error}",
                    503,
                    Verdict.MAY_HAVE_RUN,
                    1.0,
                ) from error
            if reply is not None:
                return reply

    async def answer_peer(self, body: bytes) -> bytes:
        """Answer a call that another gateway forwarded."""
        try:
            reply = await self.answer(msgspec.json.decode(body, type=LotCall))
        except RequestError as error:
            reply = LotReply.from_error(error)
        return msgspec.json.encode(reply)

    async def answer(self, call: LotCall) -> LotReply:
        """Answer a call here.

        Raises
        ------
        RequestError
        """
        handlers = {
            LotOperation.DECLARE: self.declare,
            LotOperation.PULL: self.pull,
            LotOperation.ACK: self.acknowledge,
            LotOperation.CANCEL: self.cancel,
            LotOperation.STATUS: self.status,
            LotOperation.LIST: self.list_local,
            LotOperation.TAKE_OVER: self.take_over,
        }
        if self.leaving and self.has_successor() and call.operation in SERVED_BY_SUCCESSOR:
            # A lot opened here now would end with this process.
            raise RequestError(ErrorCode.LEAVING, "this gateway leaves", 503, retry_after_s=0.2)
        return LotReply(body=await handlers[call.operation](call))

    # Operations at the coordinator

    async def declare(self, call: LotCall) -> bytes:
        """Declare a lot; equal content again changes nothing."""
        spec = decode_lot(call.body)
        check_lot(spec, self.limits)
        self.check_references(spec)
        async with self.lock(spec.name):
            runner = self.runners.get(spec.name)
            if runner is None or runner.is_cancelled():
                runner = await self.open_declared(spec, call.actor)
            is_redeclaration(runner.spec, spec)
        cursor = runner.coordinator.cursor.encode()
        durable = spec.name not in self.store.pending
        return msgspec.json.encode(DeclareAnswer(spec.name, spec.size, durable, cursor))

    async def open_declared(self, spec: LotSpec, actor: str) -> LotRunner:
        """Open a lot that a trainer declares and store it."""
        try:
            stored = await self.store.load(spec.name)
            if stored is not None:
                is_redeclaration(stored.spec, spec)
                return self.open(stored.spec, stored.cursor)
            self.check_open_lots(spec)
            await self.store.save(spec)
            durable = True
        except ObjectStoreError as error:
            self.store.pending[spec.name] = spec
            log_event(events.LOT_NOT_DURABLE, lot=spec.name, error=str(error))
            durable = False
        self.observer.on_declared(spec, actor, durable)
        return self.open(spec, Cursor(spec.size))

    def check_references(self, spec: LotSpec) -> None:
        """Refuse a lot that names something the manifest does not have."""
        service = self.node.services.get(spec.service)
        if service is None or service.model != spec.model:
            raise RequestError(
                ErrorCode.UNKNOWN_SERVICE, f"no service {spec.service} with model {spec.model}", 404
            )
        if spec.scoring_service and spec.scoring_service not in self.node.services:
            raise RequestError(
                ErrorCode.UNKNOWN_SERVICE, f"no scoring service {spec.scoring_service}", 404
            )
        if spec.trainer not in {trainer.name for trainer in self.node.manifest.trainers}:
            raise RequestError(
                ErrorCode.BAD_REQUEST, f"trainer {spec.trainer} is not in the manifest", 400
            )

    def check_open_lots(self, spec: LotSpec) -> None:
        """Refuse a lot beyond the trainer's limit, as far as this gateway knows."""
        trainer = next(item for item in self.node.manifest.trainers if item.name == spec.trainer)
        held = sum(
            runner.spec.trainer == spec.trainer and not runner.is_complete()
            for runner in self.runners.values()
        )
        if held >= trainer.max_open_lots:
            raise RequestError(
                ErrorCode.OVERLOADED,
                f"{spec.trainer} has {held} open lots",
                429,
                retry_after_s=5.0,
            )

    def open(self, spec: LotSpec, cursor: Cursor) -> LotRunner:
        """Start coordinating a lot."""
        scoring = self.node.services.get(spec.scoring_service)
        runner = LotRunner(
            spec,
            self.context_of(spec),
            self.node.manifest.policy,
            cursor,
            scoring is not None and scoring.retry_unknown_scores,
        )
        self.runners[spec.name] = runner
        runner.start()
        return runner

    async def find(self, lot: str) -> LotRunner:
        """Return the runner of a lot, opened from the platform if it is stored there."""
        runner = self.runners.get(lot)
        if runner is not None:
            return runner
        async with self.lock(lot):
            if lot in self.runners:
                return self.runners[lot]
            try:
                stored = await self.store.load(lot)
            except ObjectStoreError as error:
                # The trainer holds the spec and declares the lot again on this code.
                raise unknown_lot(f"{lot}: not known here and {error}") from error
            if stored is None:
                raise unknown_lot(lot)
            self.observer.on_taken_over(stored.spec, stored.cursor.count())
            return self.open(stored.spec, stored.cursor)

    def lock(self, lot: str) -> asyncio.Lock:
        """Return the lock that keeps a lot from being opened twice."""
        lock = self.opening.get(lot)
        if lock is None:
            lock = self.opening[lot] = asyncio.Lock()
        return lock

    async def pull(self, call: LotCall) -> bytes:
        """Hand finished samples over."""
        request = decode_body(call.body, PullRequest)
        runner = await self.find(call.lot)
        cursor = Cursor.decode(request.cursor, runner.spec.size)
        started = self.node.now()
        result = await runner.pull(
            cursor,
            request.trainer_version,
            request.max_samples,
            call.wait_s(),
            request.whole_groups,
        )
        result = limit_answer(result, request.whole_groups)
        self.observer.on_pull(runner, result, self.node.now() - started)
        self.trace_hand_over(runner, result)
        answer = PullAnswer(result.samples, result.remaining, result.done, result.trainer_version)
        return msgspec.json.encode(answer)

    def trace_hand_over(self, runner: LotRunner, result) -> None:
        """Record which samples were handed over, for `explain`."""
        for sample in result.samples:
            labels = ",".join(f"v{item.version}x{item.tokens}" for item in sample.segments)
            self.node.record_decision(
                sample.id,
                sample.attempt_id,
                f"handed to {runner.spec.trainer} at version {result.trainer_version}",
                f"engine {sample.engine} reported {labels}",
            )

    async def acknowledge(self, call: LotCall) -> bytes:
        """Take over an acknowledged cursor."""
        request = decode_body(call.body, AckRequest)
        runner = await self.find(call.lot)
        runner.coordinator.raise_if_stopped()
        runner.acknowledge(Cursor.decode(request.cursor, runner.spec.size))
        self.store.note_cursor(runner.spec, runner.coordinator.cursor)
        return b"{}"

    async def cancel(self, call: LotCall) -> bytes:
        """End a lot."""
        runner = await self.find(call.lot)
        # The runner stays until it is idle, so that later pulls are told that the lot ended.
        await runner.stop()
        self.observer.on_cancelled(runner.spec, call.actor)
        await self.remove_stored(call.lot)
        return b"{}"

    async def remove_stored(self, lot: str) -> None:
        """Remove a cancelled lot from the platform."""
        try:
            await self.store.remove(lot)
        except ObjectStoreError as error:
            raise RequestError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                f"lot {lot} has stopped but is still stored: {error}",
                503,
                Verdict.MAY_HAVE_RUN,
                2.0,
            ) from error

    async def status(self, call: LotCall) -> bytes:
        """Return the state of a lot."""
        return msgspec.json.encode(self.status_of(await self.find(call.lot)))

    async def list_local(self, call: LotCall) -> bytes:
        """Return the lots coordinated here."""
        return msgspec.json.encode([self.status_of(runner) for runner in self.runners.values()])

    def status_of(self, runner: LotRunner) -> LotStatus:
        """Return the state of one lot."""
        progress = runner.coordinator.progress()
        return LotStatus(
            lot=runner.spec.name,
            trainer=runner.spec.trainer,
            coordinator=self.node.name,
            samples=runner.spec.size,
            counts=progress.counts,
            discarded=progress.discarded,
            stragglers=progress.stragglers,
            tokens_useful=progress.tokens_useful,
            tokens_thrown_away=progress.tokens_thrown_away,
            durable=runner.spec.name not in self.store.pending,
        )

    async def take_over(self, call: LotCall) -> bytes:
        """Take the finished samples that the former coordinator hands over."""
        spec = decode_lot(call.spec)
        check_lot(spec, self.limits)
        async with self.lock(spec.name):
            runner = self.runners.get(spec.name) or self.open(spec, Cursor(spec.size))
        if call.cancelled:
            await runner.stop()
            return b"{}"
        runner.apply(runner.coordinator.apply_handover(call.body, self.node.now()))
        self.observer.on_taken_over(spec, runner.coordinator.cursor.count())
        if call.pending:
            self.store.pending.setdefault(spec.name, spec)
        runner.notify()
        return b"{}"


def unknown_lot(reason: str) -> RequestError:
    """Return the error for a lot that is not known."""
    return RequestError(ErrorCode.UNKNOWN_LOT, f"unknown lot: {reason}", 404)


def decode_body(body: bytes, message_type):
    """Decode the body of a lot call."""
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RequestError(ErrorCode.BAD_REQUEST, f"malformed body: {error}") from error
