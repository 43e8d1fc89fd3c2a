"""Calls to the platform by which the coordinator fulfils its duties."""

import asyncio

import attrs
import msgspec

from turmericreach.coordination.decoding import decode_message
from turmericreach.coordination.duty import CoordinatorDuty
from turmericreach.coordination.messages import RelayedCall, RelayedStatus
from turmericreach.coordination.peer import Peer
from turmericreach.coordination.peers import PeerTable
from turmericreach.duties import FencedTokens
from turmericreach.http1 import ConnectFailed, ConnectionPool, ResponseIncomplete
from turmericreach.node.settings import CloudSettings
from turmericreach.platform.cloud import DutyCall, duty_fields
from turmericreach.platform.decoding import DecodeError

__all__ = ["DUTY_RELAY_PATH", "CallResult", "DutyCaller"]

DUTY_RELAY_PATH = "/peer/duty"
CONNECT_TIMEOUT_S = 1.0
# A receiver that is slower gets the same call again.
CALL_TIMEOUT_S = 3.0
# A process that passes on a call responds within the time of the call.
RELAY_TIMEOUT_S = 2.0
# Share of the rate limit that is used, since a call may reach the receiver later than the next one.
RATE_SHARE = 0.8
# The read that confirms the duty is given up after this time; see `CoordinatorDuty`.
CONFIRM_TIMEOUT_S = 0.5


@attrs.frozen
class CallResult:
    """Result of a call.

    Attributes
    ----------
    sent : bool
        Whether the call was sent.
    accepted : bool
        Whether the receiver has accepted it.
    outcome : str
        Result as text; its first two words become a metric label.
    token : int or None
        Fencing token of the call, None if it was not sent.
    """

    sent: bool
    accepted: bool
    outcome: str
    token: int | None = None


class DutyCaller:
    """Makes calls while the duty is held, within the rate limit, with its fencing token.

    Parameters
    ----------
    duty : CoordinatorDuty
        Duty of the coordinator, whose token the calls carry.
    peers : PeerTable
        Other processes; they are told the time of the last call, like that of the last order.

    Attributes
    ----------
    cloud : CloudSettings or None
        Settings in force, None if there are no duties and no calls.
    pool : ConnectionPool
        Connections to the receiver.
    fenced : FencedTokens
        Tokens that the receiver has rejected.
    next_call_at : float
        Loop time in seconds from which the rate limit permits the next call.
    relays_chosen : int
        Number of times that a peer was chosen to pass on a call.
    """

    def __init__(self, cloud: CloudSettings | None, duty: CoordinatorDuty, peers: PeerTable):
        self.cloud = cloud
        self.duty = duty
        self.peers = peers
        self.pool = ConnectionPool(CONNECT_TIMEOUT_S, max_idle=1)
        self.fenced = FencedTokens()
        self.next_call_at = float("-inf")
        self.relays_chosen = 0

    async def call(self, call: DutyCall) -> CallResult:
        """Make a call; without an accepting response it may be executed now, later or never.

        The connection is opened first, so that nothing delays the call after the read that confirms
        the duty. If the process was frozen between the read and the call, it is not made. If the
        receiver cannot be reached from here, another process passes the call on.
        """
        loop = asyncio.get_running_loop()
        cloud = self.cloud
        await self.wait_for_rate(cloud.calls_per_s)
        connection, peer = None, None
        try:
            connection = await self.pool.acquire(cloud.address)
        except ConnectFailed as error:
            peer = self.choose_relay()
            if peer is None:
                return CallResult(False, False, f"not connected: {error}")
        try:
            began = loop.time()
            token = await self.duty.verified_token()
            if token is None:
                return CallResult(False, False, "duty unconfirmed")
            if loop.time() - began > CONFIRM_TIMEOUT_S + cloud.thaw_slack_s:
                return CallResult(False, False, "process frozen")
            if not self.fenced.may_use(call.subject, token):
                return CallResult(False, False, "token rejected")
            self.peers.last_order_at = loop.time()
            next_call_at = loop.time() + 1.0 / (RATE_SHARE * cloud.calls_per_s)
            self.next_call_at = max(self.next_call_at, next_call_at)
            async with asyncio.timeout(CALL_TIMEOUT_S):
                if connection is None:
                    status = await self.send_by(peer, call, token)
                else:
                    fields = duty_fields(cloud.address, self.duty.host, token)
                    head = await connection.request("POST", call.path, fields, call.body)
                    await connection.read_body()
                    status = head.status
        except (ConnectFailed, ResponseIncomplete, TimeoutError, DecodeError) as error:
            if connection is not None:
                connection.close()
            way = "no response" if peer is None else f"no response by way of {peer.host}"
            return CallResult(True, False, f"{way}: {error or 'timed out'}", token)
        except asyncio.CancelledError:
            if connection is not None:
                connection.close()
            raise
        finally:
            if connection is not None:
                self.pool.release(connection)
        return self.check_status(call, status, token)

    # Relay

    def choose_relay(self) -> Peer | None:
        """Return a peer that may reach the receiver, another one each time, or None."""
        now = asyncio.get_running_loop().time()
        hosts = sorted(host for host in self.peers.peers if self.peers.is_available(host, now))
        if not hosts:
            return None
        self.relays_chosen += 1
        return self.peers.peers[hosts[self.relays_chosen % len(hosts)]]

    async def send_by(self, peer: Peer, call: DutyCall, token: int) -> int:
        """Send a call by way of a peer and return the status of the receiver."""
        message = RelayedCall(call.path, call.body.decode(), self.duty.host, token)
        body = msgspec.json.encode(message)
        reply = await self.peers.call(peer, "POST", DUTY_RELAY_PATH, body, CALL_TIMEOUT_S)
        return decode_message(reply, RelayedStatus).status

    async def pass_on(self, message: RelayedCall) -> RelayedStatus | None:
        """Pass on a call of the holder; return None without a response or if it may be outdated.

        A process that was frozen may have received the call long ago.
        """
        current = self.duty.current
        is_current = current is not None and current.revision == message.token
        if self.cloud is None or not is_current or self.peers.is_stalled():
            return None
        fields = duty_fields(self.cloud.address, message.holder, message.token)
        try:
            async with asyncio.timeout(RELAY_TIMEOUT_S):
                head, _ = await self.pool.fetch(
                    self.cloud.address, "POST", message.path, fields, message.body.encode()
                )
        except (ConnectFailed, ResponseIncomplete, TimeoutError):
            # The holder logs a call without a response.
            return None
        return RelayedStatus(head.status)

    def check_status(self, call: DutyCall, status: int, token: int) -> CallResult:
        """Return the result that a status stands for; release the duty if its token is too low."""
        if status == 409:
            self.fenced.reject(call.subject, token)
            if self.duty.token == token:
                self.duty.release("the platform has seen a higher fencing token")
        return CallResult(True, 200 <= status < 300, f"status {status}", token)

    async def wait_for_rate(self, calls_per_s: float) -> None:
        """Wait until the rate limit permits a call; reserve it."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        at = max(self.next_call_at, now)
        self.next_call_at = at + 1.0 / (RATE_SHARE * calls_per_s)
        await asyncio.sleep(at - now)
