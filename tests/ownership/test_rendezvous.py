"""Rendezvous order of members for duties."""

from turmericreach import ownership

MEMBERS = [f"gw-{number}" for number in range(10)]
DUTIES = [ownership.lot_duty(f"lot-{number}") for number in range(1000)]


def test_order_does_not_depend_on_the_order_of_the_members():
    """Guards against processes that determine different owners from the same members."""
    for duty in DUTIES[:50]:
        assert ownership.rank(duty, MEMBERS) == ownership.rank(duty, MEMBERS[::-1] + MEMBERS)


def test_only_the_duties_of_a_lost_member_move():
    """Guards against the loss of a member that also moves duties between the remaining members."""
    lost = [duty for duty in DUTIES if ownership.owner(duty, MEMBERS) == "gw-3"]
    assert ownership.moved_duties(MEMBERS, [m for m in MEMBERS if m != "gw-3"], DUTIES) == lost
    assert 50 < len(lost) < 150


def test_no_members_no_owner():
    """Guards against an exception while no gateway is alive."""
    assert ownership.owner(ownership.audit_duty("a"), []) is None
    assert ownership.rank(ownership.weights_duty("m"), []) == []
