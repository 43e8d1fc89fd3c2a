"""Tests of lots with frozen coordinators, handovers, cancellation and graceful stops."""

import asyncio
import types

import msgspec
import pytest

from tests.builders.lots import engines, finish, make_spec
from tests.builders.objectstore import MemoryObjectStore
from turmericreach.api import AckRequest, DeclareResponse, PullRequest
from turmericreach.daemon.lot_calls import LotCall, LotOperation
from turmericreach.daemon.lot_housekeeping import IDLE_TIMEOUT_S, RETENTION_S
from turmericreach.daemon.lot_runner import LotContext
from turmericreach.daemon.lot_service import LotService, decode_body
from turmericreach.daemon.lot_store import LotStore
from turmericreach.daemon.lot_sweep import LotSweeper
from turmericreach.daemon.pull_limit import MAX_PULL_RESULT_BYTES, limit_pull_result
from turmericreach.lots import Cursor, PullResult, encode_lot
from turmericreach.manifest.schema import Policy
from turmericreach.rpc import PeerTimeout, PeerUnreachable
from turmericreach.telemetry import Metrics
from turmericreach.verdicts import ErrorCode, Outcome, RequestError, Verdict

pytestmark = pytest.mark.looptime

SPEC = make_spec(scoring_service="")


class Members:
    """One gateway's view of the live gateways, which a test can change."""

    def __init__(self, *names):
        self.names = list(names)
        self.records = {name: types.SimpleNamespace(address=name) for name in names}

    def gateways(self, now):
        return self.names


class Peer:
    """A connection to the lot service of another gateway; None stands for a frozen one."""

    def __init__(self, service):
        self.service = service

    async def control(self, kind, body, timeout_s):
        if self.service is None:
            await asyncio.sleep(timeout_s)
            raise PeerTimeout("frozen")
        return await self.service.handle_forwarded_call(body)


class Gateways:
    """Connected lot services of several gateways, whose rollouts never end unless replaced."""

    def __init__(self, *names):
        self.store = MemoryObjectStore()
        self.views = {name: Members(*names) for name in names}
        self.services = {name: self.make(name) for name in names}
        self.frozen = set()
        self.crashed = set()

    def make(self, name):
        node = types.SimpleNamespace(
            name=name,
            members=self.views[name],
            now=asyncio.get_running_loop().time,
            settings=types.SimpleNamespace(limits=types.SimpleNamespace(max_lot_bytes=1 << 26)),
            manifest=types.SimpleNamespace(
                policy=Policy(straggler_copies=0),
                trainers=[types.SimpleNamespace(name="fitting", max_open_lots=5)],
            ),
            services={"assistant": types.SimpleNamespace(model="assistant")},
            store=self.store,
            peers=types.SimpleNamespace(get=self.get),
            record_decision=lambda *args: None,
            metrics=Metrics("", name),
        )
        return LotService(node, lambda spec: self.context())

    def context(self):
        async def run(request, on_sent=None):
            self.requests = [*getattr(self, "requests", []), request]
            return await self.run_rollout()

        runner = types.SimpleNamespace(run=run)
        view = engines(("e1", 1, 4, 10.0))
        return LotContext(runner, lambda service, held: view, lambda model: 1, lambda target: 1)

    async def run_rollout(self):
        await asyncio.Event().wait()

    async def get(self, name):
        if name in self.crashed:
            raise PeerUnreachable("connection refused")
        return Peer(None if name in self.frozen else self.services[name])

    async def end(self):
        for service in self.services.values():
            for runner in service.runners.values():
                await runner.stop()


def declare():
    return LotCall(LotOperation.DECLARE, SPEC.name, encode_lot(SPEC))


def pull(wait=0.0):
    body = msgspec.json.encode(PullRequest(Cursor(SPEC.size).encode(), 1, 9, 0.0, False))
    return LotCall(LotOperation.PULL, SPEC.name, body, wait)


def roles(gateways):
    """Return the services of the coordinator and of the other gateway."""
    first = next(iter(gateways.services.values()))
    holder = first.coordinator_of(SPEC.name)
    other = next(name for name in gateways.services if name != holder)
    return gateways.services[holder], gateways.services[other]


async def test_a_pull_forwarded_to_a_frozen_coordinator_moves_with_the_duty():
    """Guards against a pull that waits for a frozen coordinator until its own timeout."""
    gateways = Gateways("g1", "g2")
    holder, other = roles(gateways)
    await other.call(declare())
    gateways.frozen.add(holder.node.name)
    start = asyncio.get_running_loop().time()
    asyncio.get_running_loop().call_later(
        3.0, gateways.views[other.node.name].names.remove, holder.node.name
    )
    await other.call(pull(wait=10.0))
    assert asyncio.get_running_loop().time() - start < 14.0
    assert SPEC.name in other.runners
    await gateways.end()


async def test_a_pull_waits_for_the_successor_of_a_crashed_coordinator():
    """Guards against a failed pull between the crash of a coordinator and its detection."""
    gateways = Gateways("g1", "g2")
    holder, other = roles(gateways)
    await other.call(declare())
    gateways.crashed.add(holder.node.name)
    start = asyncio.get_running_loop().time()
    asyncio.get_running_loop().call_later(
        3.0, gateways.views[other.node.name].names.remove, holder.node.name
    )
    await other.call(pull())
    assert asyncio.get_running_loop().time() - start < 4.0
    await gateways.end()


async def test_finished_samples_move_with_the_duty():
    """Guards against samples that are generated again after a graceful handover."""
    gateways = Gateways("g1", "g2")
    holder, other = roles(gateways)
    await holder.call(declare())
    coordinator = holder.runners[SPEC.name].coordinator
    for task in coordinator.next_tasks(0.0, 1, 4, engines(("e1", 1, 4, 10.0))):
        finish(coordinator, task)
    done = coordinator.progress().counts["ready"]
    assert done > 0
    await holder.leave()
    assert other.runners[SPEC.name].coordinator.progress().counts["ready"] == done
    await gateways.end()


async def test_a_leaving_gateway_opens_no_lot():
    """Guards against a lot that is opened by a gateway about to stop."""
    gateways = Gateways("g1", "g2")
    holder, other = roles(gateways)
    await holder.call(declare())
    await holder.leave()
    with pytest.raises(RequestError) as refusal:
        await holder.handle_call(pull())
    assert refusal.value.code == ErrorCode.LEAVING
    assert holder.runners == {}
    await gateways.end()


async def test_the_last_gateway_that_leaves_does_not_tell_the_trainer_that_its_lot_ended():
    """Guards against a trainer that drops its lot because the last gateway stops."""
    gateways = Gateways("g1")
    service = gateways.services["g1"]
    await service.call(declare())
    waiting = asyncio.ensure_future(service.call(pull(wait=20.0)))
    await asyncio.sleep(0.1)
    await service.leave()
    with pytest.raises(RequestError) as refusal:
        await waiting
    assert (refusal.value.code, refusal.value.status) == (ErrorCode.LEAVING, 503)


async def test_a_cancelled_lot_does_not_start_again_when_its_duty_moves():
    """Guards against rollouts of a cancelled lot at the next coordinator."""
    gateways = Gateways("g1", "g2")
    holder, other = roles(gateways)
    await holder.call(declare())
    await holder.call(LotCall(LotOperation.CANCEL, SPEC.name))
    gateways.requests = []
    await holder.leave()
    await asyncio.sleep(5.0)
    assert gateways.requests == []
    gateways.views[other.node.name].names.remove(holder.node.name)
    with pytest.raises(RequestError) as refusal:
        await other.call(pull())
    assert refusal.value.code == ErrorCode.CANCELLED


async def test_an_unexpected_error_of_a_rollout_is_a_failure_and_not_a_lost_sample():
    """Guards against a sample that is never generated because its rollout raised an error."""
    gateways = Gateways("g1")
    service = gateways.services["g1"]
    failures = 0

    async def fail_at_first():
        nonlocal failures
        failures += 1
        if failures <= SPEC.size:
            raise KeyError("unexpected")
        await asyncio.sleep(1.0)
        return Outcome(Verdict.MAY_HAVE_RUN)

    gateways.run_rollout = fail_at_first
    await service.call(declare())
    await asyncio.sleep(30.0)
    assert failures > SPEC.size
    await gateways.end()


async def test_lots_beyond_the_trainers_limit_are_rejected():
    """Guards against a limit on open lots that never applies."""
    gateways = Gateways("g1")
    service = gateways.services["g1"]
    for number in range(6):
        spec = make_spec(name=f"eyes-{number}", scoring_service="")
        call = LotCall(LotOperation.DECLARE, spec.name, encode_lot(spec))
        if number < 5:
            await service.call(call)
            continue
        with pytest.raises(RequestError) as rejection:
            await service.call(call)
        assert rejection.value.code == ErrorCode.OVERLOADED
    await gateways.end()


async def test_an_unfinished_lot_is_kept_in_the_store_while_nobody_pulls():
    """Guards against removing a lot whose trainer returns after a long pause."""
    gateways = Gateways("g1")
    service = gateways.services["g1"]
    await service.call(declare())
    await service.store.flush(service.runners)
    await asyncio.sleep(max(IDLE_TIMEOUT_S, RETENTION_S) + 1.0)
    await service.remove_idle_lots()
    assert SPEC.name not in service.runners
    assert await service.store.load(SPEC.name) is not None


@pytest.mark.parametrize(("deadline_s", "accepted"), [(3000.0, True), (7200.0, False)])
async def test_a_lot_whose_deadline_agents_refuse_is_refused_at_once(deadline_s, accepted):
    """Guards against an accepted lot none of whose rollouts an agent would accept."""
    gateways = Gateways("g1")
    spec = make_spec(scoring_service="", deadline_s=deadline_s)
    call = LotCall(LotOperation.DECLARE, spec.name, encode_lot(spec))
    if accepted:
        await gateways.services["g1"].call(call)
        await gateways.end()
        return
    with pytest.raises(RequestError):
        await gateways.services["g1"].call(call)


@pytest.mark.parametrize(("whole", "count"), [(False, 5), (True, 8)])
async def test_a_pull_answer_stays_under_the_message_limit(whole, count):
    """Guards against a pull that fails for ever because its result is too large for a message."""
    text = "x" * (MAX_PULL_RESULT_BYTES // 5)
    samples = [types.SimpleNamespace(text=text, group=number // 4) for number in range(12)]
    answer = limit_pull_result(PullResult(samples, 0, False, 1), whole)
    assert len(answer.samples) == count
    assert answer.remaining == 12 - len(answer.samples)


def test_a_malformed_body_is_refused():
    """Guards against an unexpected error on a body that cannot be decoded."""
    with pytest.raises(RequestError):
        decode_body(b"\xff", LotCall)


def acknowledge_all():
    body = msgspec.json.encode(AckRequest(Cursor(SPEC.size).add(*range(SPEC.size)).encode()))
    return LotCall(LotOperation.ACK, SPEC.name, body)


async def test_a_late_acknowledgement_does_not_outlive_a_cancelled_lot():
    """Guards against a late acknowledgement of a cancelled lot that marks new samples consumed."""
    gateways = Gateways("g1")
    service = gateways.services["g1"]
    await service.call(declare())
    await service.call(LotCall(LotOperation.CANCEL, SPEC.name))
    with pytest.raises(RequestError) as refusal:
        await service.call(acknowledge_all())
    assert refusal.value.code == ErrorCode.CANCELLED
    await asyncio.sleep(3.0)
    reply = await service.call(declare())
    answer = msgspec.json.decode(reply.body, type=DeclareResponse)
    assert Cursor.decode(answer.cursor, SPEC.size).count() == 0
    await gateways.end()


async def test_a_cancelled_lot_can_be_declared_again():
    """Guards against a declared lot whose pulls fail because an earlier one was cancelled."""
    gateways = Gateways("g1")
    service = gateways.services["g1"]
    await service.call(declare())
    await service.call(LotCall(LotOperation.CANCEL, SPEC.name))
    await service.call(declare())
    await service.call(pull())
    await gateways.end()


async def test_a_cursor_belongs_to_the_content_of_its_lot():
    """Guards against a different lot of the same name that starts with the stored cursor."""
    store = LotStore(MemoryObjectStore())
    other = make_spec(scoring_service="", seed=99)
    await store.save(SPEC)
    await store.save_cursor(SPEC, Cursor(SPEC.size).add(0, 1))
    await store.store.delete("lots", SPEC.name)
    await store.save(other)
    assert (await store.load(SPEC.name)).cursor.count() == 0


async def test_a_complete_lot_leaves_nothing_in_the_platform():
    """Guards against complete lots that accumulate in the object API."""
    gateways = Gateways("g1")
    service = gateways.services["g1"]
    housekeeping = asyncio.ensure_future(service.run())
    await service.call(declare())
    await service.call(acknowledge_all())
    await asyncio.sleep(RETENTION_S + IDLE_TIMEOUT_S + 10.0)
    assert (await gateways.store.list("lots")).items == []
    assert (await gateways.store.list("lot-cursors")).items == []
    housekeeping.cancel()
    await gateways.end()


async def test_lots_left_by_lost_coordinators_are_swept():
    """Guards against complete lots that stay stored because their coordinator stopped."""
    store = LotStore(MemoryObjectStore())
    await store.save(SPEC)
    await store.save_cursor(SPEC, Cursor(SPEC.size).add(*range(SPEC.size)))
    open_spec = make_spec(name="open", scoring_service="")
    await store.save(open_spec)
    await store.save_cursor(open_spec, Cursor(open_spec.size).add(0))
    sweeper = LotSweeper(store)
    await sweeper.sweep()
    assert await store.load(SPEC.name) is not None
    await sweeper.sweep()
    assert await store.load(SPEC.name) is None
    assert await store.load("open") is not None
