"""Assignment of lots to gateways, and forwarding of calls to the coordinator of a lot."""

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
DUTY_CHECK_INTERVAL_S = 0.5
# Longer than the time after which other gateways suspect a crashed gateway.
DUTY_MOVE_TIMEOUT_S = 5.0


class LotDuties:
    """Determines the coordinators of lots and forwards calls to them.

    Parameters
    ----------
    node : Node
        Identity, configuration, members and connections of this process.

    Attributes
    ----------
    leaving : bool
        Whether this gateway hands over its lots because it is about to stop.
    """

    def __init__(self, node: Node):
        self.node = node
        self.leaving = False

    def coordinator_of(self, lot: str) -> str | None:
        """Return the name of the coordinator of a lot by this process's view of the live gateways.

        None if no gateway can coordinate it.
        """
        gateways = self.node.members.gateways(self.node.now())
        if self.leaving:
            gateways = [name for name in gateways if name != self.node.name]
        return owner(lot_duty(lot), gateways)

    async def forward(self, coordinator_name: str, call: LotCall) -> LotReply:
        """Send a call to a coordinator and return its reply.

        Raises
        ------
        PeerError
            If the coordinator cannot be reached or does not reply in time.
        RequestError
            If the reply carries an error.
        """
        address = self.node.members.records[coordinator_name].address
        timeout_s = CALL_TIMEOUT_S + call.wait_s() + FORWARD_MARGIN_S
        if call.operation is LotOperation.DECLARE:
            timeout_s = DECLARE_TIMEOUT_S
        client = await self.node.peers.get(address)
        body = await client.control(LOT, msgspec.json.encode(call), timeout_s)
        reply = msgspec.json.decode(body, type=LotReply)
        reply.raise_error()
        return reply

    async def forward_while_assigned(self, coordinator_name: str, call: LotCall) -> LotReply | None:
        """Forward a call; return None if the duty moves to another gateway before the reply.

        A frozen coordinator causes no error until the timeout, so the assignment is checked while
        the call waits. All lot calls may be repeated.
        """
        task = asyncio.ensure_future(self.forward(coordinator_name, call))
        try:
            while True:
                done, _ = await asyncio.wait([task], timeout=DUTY_CHECK_INTERVAL_S)
                if done:
                    return task.result()
                if self.coordinator_of(call.lot) != coordinator_name:
                    return None
        finally:
            task.cancel()

    async def wait_for_duty_move(self, lot: str, coordinator_name: str) -> bool:
        """Wait until a lot has another coordinator after a crash; return False after a timeout.

        A crashed gateway is suspected within a few seconds, whereas the trainer's own retries back
        off for longer.
        """
        try:
            async with asyncio.timeout(DUTY_MOVE_TIMEOUT_S):
                while self.coordinator_of(lot) == coordinator_name:  # noqa: ASYNC110 - member table has no event
                    await asyncio.sleep(DUTY_CHECK_INTERVAL_S)
        except TimeoutError:
            return False
        return True

    def has_successor(self) -> bool:
        """Return whether another live gateway can coordinate the lots of this one."""
        return any(name != self.node.name for name in self.node.members.gateways(self.node.now()))
