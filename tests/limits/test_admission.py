"""Tests of admission: slots, queues, deadlines, leaving and fairness."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.builders.limits import make_admission, make_ticket
from turmericreach.limits import Admitted, Queued, Refused
from turmericreach.verdicts import ErrorCode

PRIORITIES = ["ordinary", "scoring", "rollout"]


class AdmissionMachine(RuleBasedStateMachine):
    """Checks that every offered ticket ends exactly once."""

    def __init__(self):
        super().__init__()
        self.admission = make_admission(slots=3, max_queue=3, shares={"a": 1.0, "b": 3.0})
        self.now = 0.0
        self.count = 0
        self.tickets = {}
        self.waiting = set()
        self.running = set()
        self.ended = set()
        self.overflow = 0

    def record_started(self, names):
        for name in names:
            assert name in self.waiting
            assert self.tickets[name].expires_at > self.now
            self.waiting.remove(name)
            self.running.add(name)

    def record_removed(self, names):
        for name in names:
            assert name in self.waiting
            self.waiting.remove(name)
            self.ended.add(name)

    # Each step offers several tickets. With single offers the slots would rarely be full and the
    # queues would stay empty.
    @rule(
        offers=st.lists(
            st.tuples(
                st.sampled_from(PRIORITIES),
                st.sampled_from("abc"),
                st.integers(1, 50),
                st.sampled_from([1000.0, 5.0, 1.0, 0.0]),
            ),
            min_size=3,
            max_size=12,
        )
    )
    def offer(self, offers):
        for priority, trainer, cost, lifetime in offers:
            self.count += 1
            name = f"t{self.count}"
            ticket = make_ticket(name, priority, trainer, cost, self.now + lifetime)
            self.tickets[name] = ticket
            decision = self.admission.offer(ticket, self.now)
            if isinstance(decision, Refused):
                assert decision.code is not ErrorCode.CONFLICT
                self.ended.add(name)
                continue
            assert lifetime > 0
            (self.running if isinstance(decision, Admitted) else self.waiting).add(name)

    @rule(data=st.data(), tokens=st.sampled_from([None, 0, 10, 200]))
    def release(self, data, tokens):
        if not self.running:
            return
        name = data.draw(st.sampled_from(sorted(self.running)))
        self.running.remove(name)
        self.ended.add(name)
        self.record_started(self.admission.release(name, self.now, tokens))
        assert self.admission.release(name, self.now) == []

    @rule(step=st.sampled_from([0.5, 2.0, 10.0]), expire=st.booleans())
    def wait(self, step, expire):
        self.now += step
        if not expire:
            return
        names = self.admission.expire(self.now)
        assert all(self.tickets[name].expires_at <= self.now for name in names)
        self.record_removed(names)
        assert all(self.tickets[name].expires_at > self.now for name in self.waiting)

    @rule(data=st.data())
    def withdraw(self, data):
        if not self.waiting | self.running:
            return
        name = data.draw(st.sampled_from(sorted(self.waiting | self.running)))
        if self.admission.withdraw(name):
            self.record_removed([name])

    @rule(reserved=st.integers(0, 6), limit=st.integers(0, 6))
    def set_limits(self, reserved, limit):
        self.record_started(self.admission.set_reserved(reserved, self.now))
        self.record_started(self.admission.set_rollout_limit(limit, self.now))

    @rule(slots=st.integers(1, 6))
    def resize(self, slots):
        self.record_started(self.admission.resize(slots, self.now))
        self.overflow = len(self.running)

    @rule(chance=st.integers(0, 19))
    def leave(self, chance):
        if chance == 13:
            self.record_removed(self.admission.start_leaving())

    @invariant()
    def slots_are_respected(self):
        # Tickets that ran before a reduction keep their slots.
        self.overflow = min(self.overflow, len(self.running))
        assert len(self.running) <= max(self.admission.slots, self.overflow)

    @invariant()
    def no_ticket_is_lost(self):
        ends = [self.waiting, self.running, self.ended]
        assert sum(map(len, ends)) == self.count
        snapshot = self.admission.snapshot()
        assert sum(snapshot.running.values()) == len(self.running)
        assert sum(snapshot.waiting.values()) + len(self.admission.expired_ids) == len(self.waiting)
        assert all(count <= 3 for count in snapshot.waiting.values())

    @invariant()
    def no_class_waits_for_a_slot_that_it_may_use(self):
        snapshot = self.admission.snapshot()
        free = snapshot.slots - len(self.running)
        others = snapshot.running["scoring"] + snapshot.running["rollout"]
        unreserved = snapshot.slots - snapshot.reserved - others
        assert not (snapshot.waiting["ordinary"] and free > 0)
        assert not (snapshot.waiting["scoring"] and min(free, unreserved) > 0)
        below = snapshot.rollout_limit - snapshot.running["rollout"]
        assert not (snapshot.waiting["rollout"] and min(free, unreserved, below) > 0)


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=60, deadline=None
)


def test_classes_start_in_order_and_reservations_hold():
    """Guards against rollouts that use the slots of an open site or overtake its requests."""
    admission = make_admission(slots=4)
    admission.set_reserved(2, 0.0)
    for index in range(4):
        admission.offer(make_ticket(f"r{index}", "rollout"), 0.0)
    assert admission.snapshot().running["rollout"] == 2
    assert isinstance(admission.offer(make_ticket("s", "scoring"), 0.0), Queued)
    for name in ("o1", "o2"):
        assert admission.offer(make_ticket(name), 0.0) == Admitted()
    assert admission.offer(make_ticket("o3"), 0.0) == Queued(0)
    assert admission.release("r0", 1.0) == ["o3"]
    assert admission.release("o1", 1.0) == ["s"]
    assert admission.set_reserved(0, 1.0) == []
    assert admission.release("o2", 1.0) == ["r2"]


@pytest.mark.parametrize(("slots", "floor", "admitted"), [(1, 0.1, 1), (8, 0.1, 1), (8, 0.5, 4)])
def test_rollouts_keep_their_floor(slots, floor, admitted):
    """Guards against reservations and rollout limits that stop all rollouts."""
    admission = make_admission(slots, floor=floor)
    admission.set_reserved(slots, 0.0)
    admission.set_rollout_limit(0, 0.0)
    tickets = [make_ticket(f"r{index}", "rollout") for index in range(slots)]
    assert [admission.offer(ticket, 0.0) for ticket in tickets].count(Admitted()) == admitted


def test_leaving_abandons_waiting_tickets_and_starts_nothing():
    """Guards against starting a ticket after the queue was abandoned and may run elsewhere."""
    admission = make_admission(slots=1)
    for name in ("a", "b", "c"):
        admission.offer(make_ticket(name), 0.0)
    assert admission.start_leaving() == ["b", "c"]
    assert admission.offer(make_ticket("d"), 0.0).code is ErrorCode.LEAVING
    assert admission.release("a", 1.0) == []


def test_retry_time_follows_the_release_rate():
    """Guards against retry times that end before the queue has advanced."""
    admission = make_admission(slots=1, max_queue=8)
    for index in range(40):
        admission.offer(make_ticket(f"t{index}"), index * 2.0)
        admission.offer(make_ticket(f"u{index}"), index * 2.0)
        for name in list(admission.running):
            admission.release(name, index * 2.0)
    refused = [admission.offer(make_ticket(f"v{index}"), 80.0) for index in range(9)][-1]
    assert isinstance(refused, Refused)
    assert refused.retry_after_s == pytest.approx(16.0, rel=0.1)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("wrong_estimate", [False, True])
def test_trainers_get_their_share_of_tokens(seed, wrong_estimate):
    """Guards against a trainer that gets less than 80% of its share while another floods the queue.

    Trainer a has short samples, c has long ones and three times the share, and b floods the queue.
    """
    rng = random.Random(seed)
    shares = {"a": 1.0, "b": 1.0, "c": 3.0}
    sizes = {"a": (10, 100), "b": (10, 400), "c": (300, 900)}
    offers = {"a": 2, "b": 20, "c": 4}
    admission = make_admission(slots=4, max_queue=30, shares=shares)
    served = dict.fromkeys(shares, 0)
    work = {}
    count = 0
    for now in range(1000):
        for trainer in sorted(shares, key=lambda _: rng.random()):
            for _ in range(offers[trainer]):
                count += 1
                tokens = rng.randint(*sizes[trainer])
                cost = 100 if wrong_estimate else tokens
                ticket = make_ticket(f"t{count}", "rollout", trainer, cost)
                if not isinstance(admission.offer(ticket, now), Refused):
                    work[ticket.id] = (trainer, tokens)
        name = rng.choice(sorted(admission.running))
        trainer, tokens = work.pop(name)
        served[trainer] += tokens
        admission.release(name, now, tokens)
    for trainer, share in shares.items():
        assert served[trainer] / sum(served.values()) >= 0.8 * share / sum(shares.values())


def test_idle_trainer_accumulates_no_credit():
    """Guards against a trainer that blocks the others after it was idle."""
    admission = make_admission(slots=1, max_queue=20, shares={"a": 1.0, "b": 1.0})
    for index in range(100):
        admission.offer(make_ticket(f"x{index}", "rollout", "a", 10), index)
        admission.release(f"x{index}", index)
    for trainer in "ab":
        for index in range(9):
            admission.offer(make_ticket(f"{trainer}{index}", "rollout", trainer, 10), 200.0)
    order = []
    while admission.running:
        order.append(next(iter(admission.running)))
        admission.release(order[-1], 201.0)
    assert 3 <= sum(1 for name in order[:8] if name.startswith("a")) <= 5
