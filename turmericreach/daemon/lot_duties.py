"""Which gateway coordinates a lot, and forwarding calls to it."""

import asyncio

import msgspec

from turmericreach.daemon.lot_calls import LotCall, LotOperation, LotReply
from turmericreach.daemon.node import Node
from turmericreach.ownership import lot_duty, owner

__all__ = ["LOT", "LotDuties"]

LOT = "lot"
FORWARD_MARGIN_S = 5.0
DECLARE_TIMEOUT_S = 60.0
CALL_TIMEOUT_S = 10.0
DUTY_CHECK_S = 0.5
# Longer than the time until a crashed gateway is suspect.
MOVE_TIMEOUT_S = 5.0


class LotDuties:
    """Finds the coordinators of lots.

    Parameters
    ----------
    node : Node

    Attributes
    ----------
    leaving : bool
        Whether this gateway gives its lots up.
    """

    def __init__(self, node: Node):
        self.node = node
        self.leaving = False

    def coordinator_of(self, lot: str) -> str | None:
        """Return the gateway that coordinates a lot in this daemon's view."""
        gateways = self.node.members.gateways(self.node.now())
        if self.leaving:
            gateways = [name for name in gateways if name != self.node.name]
        return owner(lot_duty(lot), gateways)

    async def forward(self, holder: str, call: LotCall) -> LotReply:
        """Send a call to the coordinator."""
        address = self.node.members.records[holder].address
        timeout_s = CALL_TIMEOUT_S + call.wait_s() + FORWARD_MARGIN_S
        if call.operation is LotOperation.DECLARE:
            timeout_s = DECLARE_TIMEOUT_S
        client = await self.node.peers.get(address)
        body = await client.control(LOT, msgspec.json.encode(call), timeout_s)
        reply = msgspec.json.decode(body, type=LotReply)
        reply.raise_error()
        return reply

    async def forward_while_held(self, holder: str, call: LotCall) -> LotReply | None:
        """Forward a call; return None when the duty moves before the answer comes.

        A frozen coordinator gives no error. All lot calls may be repeated.
        """
        task = asyncio.ensure_future(self.forward(holder, call))
        try:
            while True:
                done, _ = await asyncio.wait([task], timeout=DUTY_CHECK_S)
                if done:
                    return task.result()
                if self.coordinator_of(call.lot) != holder:
                    return None
        finally:
            task.cancel()

    async def duty_moves(self, lot: str, holder: str) -> bool:
        """Wait for another coordinator after a crash; return False if none comes forward.

        The trainer's own retries back off further than the few seconds that suspicion takes.
        """
        try:
            async with asyncio.timeout(MOVE_TIMEOUT_S):
                while self.coordinator_of(lot) == holder:  # noqa: ASYNC110 - views have no event
                    await asyncio.sleep(DUTY_CHECK_S)
        except TimeoutError:
            return False
        return True

    def has_successor(self) -> bool:
        """Return whether another gateway can take the lots of this one."""
        return any(name != self.node.name for name in self.node.members.gateways(self.node.now()))
