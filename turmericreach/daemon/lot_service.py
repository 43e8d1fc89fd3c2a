"""Lots of one gateway: runs those that it coordinates and forwards calls for the others."""

import asyncio
import weakref

import msgspec

from turmericreach.api import (
    AckRequest,
    DeclareResponse,
    LotStatus,
    PullRequest,
    PullResponse,
)
from turmericreach.attempts import MAX_DEADLINE_S
from turmericreach.daemon.lot_calls import LotCall, LotOperation, LotReply
from turmericreach.daemon.lot_duties import LOT
from turmericreach.daemon.lot_housekeeping import LotHousekeeping
from turmericreach.daemon.lot_runner import LotRunner
from turmericreach.daemon.node import Node
from turmericreach.daemon.pull_limit import limit_pull_result
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

# Agents reject deadlines beyond their limit; the margin covers the time until a request arrives.
DEADLINE_MARGIN_S = 60.0
MAX_PULL_WAIT_S = 60.0
# Operations that a gateway which is about to stop rejects if another gateway can serve them.
SERVED_BY_SUCCESSOR = frozenset(
    [LotOperation.DECLARE, LotOperation.PULL, LotOperation.ACK, LotOperation.TAKE_OVER]
)


class LotService(LotHousekeeping):
    """Handles lot calls in this process or forwards them to the coordinator of the lot.

    Parameters
    ----------
    node : Node
        Identity, configuration, members and connections of this process.
    context_of : callable
        Takes a `LotSpec` and returns the `LotContext` of its runner.

    Attributes
    ----------
    runners : dict of str to LotRunner
        Lots that this gateway coordinates, by name.
    lot_locks : weakref.WeakValueDictionary of str to asyncio.Lock
        Locks that keep a lot from being opened twice at the same time, by name of the lot.
    limits : LotLimits
        Limits on the size and deadline of a declared lot.
    """

    def __init__(self, node: Node, context_of):
        super().__init__(node)
        self.context_of = context_of
        self.runners: dict[str, LotRunner] = {}
        # Weak references keep a lock only while a call holds or awaits it, so that calls for lots
        # that do not exist leave no locks behind.
        self.lot_locks: weakref.WeakValueDictionary[str, asyncio.Lock] = (
            weakref.WeakValueDictionary()
        )
        self.limits = LotLimits(
            max_bytes=node.settings.limits.max_lot_bytes,
            max_deadline_s=MAX_DEADLINE_S - DEADLINE_MARGIN_S,
        )

    # Entry points

    async def call(self, call: LotCall) -> LotReply:
        """Handle a call here if this gateway coordinates the lot, else forward it."""
        while True:
            coordinator_name = self.coordinator_of(call.lot)
            if coordinator_name is None or coordinator_name == self.node.name:
                return await self.handle_call(call)
            try:
                reply = await self.forward_while_assigned(coordinator_name, call)
            except PeerError as error:
                if await self.wait_for_duty_move(call.lot, coordinator_name):
                    continue
                raise RequestError(
                    ErrorCode.NOT_READY,
                    f"coordinator {coordinator_name} of lot {call.lot} cannot be reached: {error}",
                    503,
                    Verdict.MAY_HAVE_RUN,
                    1.0,
                ) from error
            if reply is not None:
                return reply

    async def handle_forwarded_call(self, body: bytes) -> bytes:
        """Handle a call that another gateway forwarded and return the encoded reply."""
        try:
            reply = await self.handle_call(msgspec.json.decode(body, type=LotCall))
        except RequestError as error:
            reply = LotReply.from_error(error)
        return msgspec.json.encode(reply)

    async def handle_call(self, call: LotCall) -> LotReply:
        """Handle a call in this process.

        Raises
        ------
        RequestError
            If the call is rejected or fails, or with code ``leaving`` if this gateway is about to
            stop and another gateway can serve the call.
        """
        handlers = {
            LotOperation.DECLARE: self.declare,
            LotOperation.PULL: self.pull,
            LotOperation.ACK: self.acknowledge,
            LotOperation.CANCEL: self.cancel,
            LotOperation.STATUS: self.status,
            LotOperation.LIST: self.list_local,
            LotOperation.TAKE_OVER: self.accept_handover,
        }
        if self.leaving and self.has_successor() and call.operation in SERVED_BY_SUCCESSOR:
            # A lot opened here now would stop with this process.
            raise RequestError(ErrorCode.LEAVING, "this gateway is leaving", 503, retry_after_s=0.2)
        return LotReply(body=await handlers[call.operation](call))

    # Operations at the coordinator

    async def declare(self, call: LotCall) -> bytes:
        """Declare a lot; a repeated declaration with the same content changes nothing."""
        spec = decode_lot(call.body)
        check_lot(spec, self.limits)
        self.check_references(spec)
        async with self.lot_lock(spec.name):
            runner = self.runners.get(spec.name)
            if runner is None or runner.is_cancelled():
                runner = await self.open_declared_lot(spec, call.actor)
            is_redeclaration(runner.spec, spec)
        cursor = runner.coordinator.cursor.encode()
        durable = spec.name not in self.store.pending
        return msgspec.json.encode(DeclareResponse(spec.name, spec.size, durable, cursor))

    async def open_declared_lot(self, spec: LotSpec, actor: str) -> LotRunner:
        """Store and start a declared lot, or start the stored one if it has the same content."""
        try:
            stored = await self.store.load(spec.name)
            if stored is not None:
                is_redeclaration(stored.spec, spec)
                return self.start_runner(stored.spec, stored.cursor)
            self.check_open_lots(spec)
            await self.store.save(spec)
            durable = True
        except ObjectStoreError as error:
            self.store.pending[spec.name] = spec
            log_event(events.LOT_NOT_DURABLE, lot=spec.name, error=str(error))
            durable = False
        self.observer.on_declared(spec, actor, durable)
        return self.start_runner(spec, Cursor(spec.size))

    def check_references(self, spec: LotSpec) -> None:
        """Reject a lot whose services, model or trainer are not in the manifest."""
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
        """Reject a lot beyond the trainer's limit on open lots, counting those of this gateway."""
        trainer = next(item for item in self.node.manifest.trainers if item.name == spec.trainer)
        open_lots = sum(
            runner.spec.trainer == spec.trainer and not runner.is_complete()
            for runner in self.runners.values()
        )
        if open_lots >= trainer.max_open_lots:
            raise RequestError(
                ErrorCode.OVERLOADED,
                f"{spec.trainer} has {open_lots} open lots",
                429,
                retry_after_s=5.0,
            )

    def start_runner(self, spec: LotSpec, cursor: Cursor) -> LotRunner:
        """Create and start the runner of a lot."""
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

    async def open_lot(self, lot: str) -> LotRunner:
        """Return the runner of a lot; load the lot from the platform if it is not running here."""
        runner = self.runners.get(lot)
        if runner is not None:
            return runner
        async with self.lot_lock(lot):
            if lot in self.runners:
                return self.runners[lot]
            try:
                stored = await self.store.load(lot)
            except ObjectStoreError as error:
                # On this error code, the trainer declares the lot again from its own copy of the
                # spec.
                raise unknown_lot_error(
                    f"{lot} is not coordinated here and could not be loaded: {error}"
                ) from error
            if stored is None:
                raise unknown_lot_error(lot)
            self.observer.on_taken_over(stored.spec, stored.cursor.count())
            return self.start_runner(stored.spec, stored.cursor)

    def lot_lock(self, lot: str) -> asyncio.Lock:
        """Return the lock that keeps a lot from being opened twice at the same time."""
        lock = self.lot_locks.get(lot)
        if lock is None:
            lock = self.lot_locks[lot] = asyncio.Lock()
        return lock

    async def pull(self, call: LotCall) -> bytes:
        """Deliver finished samples."""
        request = decode_body(call.body, PullRequest)
        runner = await self.open_lot(call.lot)
        cursor = Cursor.decode(request.cursor, runner.spec.size)
        started = self.node.now()
        result = await runner.pull(
            cursor,
            request.trainer_version,
            request.max_samples,
            call.wait_s(),
            request.whole_groups,
        )
        result = limit_pull_result(result, request.whole_groups)
        self.observer.on_pull(runner, result, self.node.now() - started)
        self.record_delivery(runner, result)
        response = PullResponse(
            result.samples, result.remaining, result.done, result.trainer_version
        )
        return msgspec.json.encode(response)

    def record_delivery(self, runner: LotRunner, result) -> None:
        """Record the delivered samples for `explain`."""
        for sample in result.samples:
            labels = ",".join(f"v{item.version}x{item.tokens}" for item in sample.segments)
            self.node.record_decision(
                sample.id,
                sample.attempt_id,
                f"handed to {runner.spec.trainer} at version {result.trainer_version}",
                f"engine {sample.engine} reported {labels}",
            )

    async def acknowledge(self, call: LotCall) -> bytes:
        """Apply an acknowledged cursor."""
        request = decode_body(call.body, AckRequest)
        runner = await self.open_lot(call.lot)
        runner.coordinator.raise_if_stopped()
        runner.acknowledge(Cursor.decode(request.cursor, runner.spec.size))
        self.store.queue_cursor(runner.spec, runner.coordinator.cursor)
        return b"{}"

    async def cancel(self, call: LotCall) -> bytes:
        """Cancel a lot and remove it from the platform."""
        runner = await self.open_lot(call.lot)
        # The runner stays until it is idle, so that later pulls get the error that the lot was
        # cancelled.
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
        """Return the encoded `LotStatus` of a lot."""
        return msgspec.json.encode(self.status_of(await self.open_lot(call.lot)))

    async def list_local(self, call: LotCall) -> bytes:
        """Return the encoded `LotStatus` of each lot that this gateway coordinates."""
        return msgspec.json.encode([self.status_of(runner) for runner in self.runners.values()])

    def status_of(self, runner: LotRunner) -> LotStatus:
        """Return the status of a lot."""
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

    async def accept_handover(self, call: LotCall) -> bytes:
        """Accept a lot and its finished samples from the previous coordinator."""
        spec = decode_lot(call.spec)
        check_lot(spec, self.limits)
        async with self.lot_lock(spec.name):
            runner = self.runners.get(spec.name) or self.start_runner(spec, Cursor(spec.size))
        if call.cancelled:
            await runner.stop()
            return b"{}"
        runner.apply(runner.coordinator.apply_handover(call.body, self.node.now()))
        self.observer.on_taken_over(spec, runner.coordinator.cursor.count())
        if call.pending:
            self.store.pending.setdefault(spec.name, spec)
        runner.wake()
        return b"{}"


def unknown_lot_error(reason: str) -> RequestError:
    """Build the error for a lot that is not known."""
    return RequestError(ErrorCode.UNKNOWN_LOT, f"unknown lot: {reason}", 404)


def decode_body(body: bytes, message_type):
    """Decode the body of a lot call.

    Raises
    ------
    RequestError
        If the body is malformed.
    """
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RequestError(ErrorCode.BAD_REQUEST, f"malformed body: {error}") from error
