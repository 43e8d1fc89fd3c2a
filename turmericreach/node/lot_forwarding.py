"""Forwarding of callers' requests on lots to another process."""

import asyncio
import enum
from collections.abc import Callable

import attrs

from turmericreach.coordination.peer import Peer
from turmericreach.coordination.peers import FRESH_STORE_AGE_S, PeerTable
from turmericreach.http1 import (
    ConnectFailed,
    Request,
    Responder,
    ResponseHead,
    ResponseIncomplete,
)
from turmericreach.node.authentication import passed_on_fields
from turmericreach.platform.targets import retry_after_fields
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.tenancy import Caller

__all__ = ["FORWARDED_BY", "ForwardOutcome", "LotForwarder"]

# Header with the host that forwarded a request; such a request is not forwarded again.
FORWARDED_BY = "X-Passed-On"
# Longer than a process holds a submission open while its store does not answer, so that its
# rejection still arrives.
FORWARD_TIMEOUT_S = 3.5
# All attempts at other processes together; several of them may be cut off at once.
FORWARD_TOTAL_S = 5.0
# Statuses with which a process promises that it has not carried out a request, and 4xx statuses
# that it gives before it carries anything out.
NOT_RUN_STATUSES = frozenset({400, 404, 405, 408, 413, 421, 429, 431, 503})
RESPONSE_STATUSES = (200, 202, 400, 404)
SUCCESS_STATUSES = (200, 202)


class ForwardOutcome(enum.Enum):
    """What became of a request that was forwarded.

    Attributes
    ----------
    ANSWERED
        The response of another process was sent to the caller.
    NOT_RUN
        No other process has carried out the request, and none will.
    UNKNOWN
        Another process may have carried out the request, or may still do so. The caller must not
        be told that it has not run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@attrs.frozen
class PeerAnswer:
    """Answer of a process to a forwarded request.

    Attributes
    ----------
    outcome : ForwardOutcome
        ``ANSWERED`` if the response is for the caller.
    reason : str
        Status or error, for the log.
    head : ResponseHead or None
        Head of the response; None if there is no complete response.
    body : bytes
        Body of the response, empty if there is none.
    """

    outcome: ForwardOutcome
    reason: str
    head: ResponseHead | None = None
    body: bytes = b""


class LotForwarder:
    """Forwards requests on lots to other processes.

    Parameters
    ----------
    peers : PeerTable
        The other processes.
    outage_retry_s : callable
        Returns the seconds after which a caller may retry what needs the metadata store.
    """

    def __init__(self, peers: PeerTable, outage_retry_s: Callable[[], float]):
        self.peers = peers
        self.outage_retry_s = outage_retry_s

    async def forward_to_any(
        self, request: Request, responder: Responder, caller: Caller
    ) -> ForwardOutcome:
        """Forward a request to the processes that reach the metadata store until one answers.

        Requests on lots are idempotent, so another process gets the request although an earlier one
        may have carried it out. Only a success is certain then: a process that rejects the request
        does not know of the earlier one.
        """
        if request.headers.get(FORWARDED_BY) is not None:
            return ForwardOutcome.NOT_RUN
        loop = asyncio.get_running_loop()
        deadline = loop.time() + FORWARD_TOTAL_S
        accept = RESPONSE_STATUSES
        outcome = ForwardOutcome.NOT_RUN
        for host in self.peers.writers(FRESH_STORE_AGE_S):
            peer = self.peers.peers.get(host)
            if peer is None:
                continue
            timeout_s = min(FORWARD_TIMEOUT_S, deadline - loop.time())
            if timeout_s <= 0:
                break
            attempt = await self.forward_to(peer, request, responder, timeout_s, caller, accept)
            if attempt is ForwardOutcome.ANSWERED:
                return attempt
            if attempt is ForwardOutcome.UNKNOWN:
                outcome = attempt
                accept = SUCCESS_STATUSES
        return outcome

    async def forward_to(
        self,
        peer: Peer,
        request: Request,
        responder: Responder,
        timeout_s: float,
        caller: Caller,
        accept: tuple[int, ...] = RESPONSE_STATUSES,
    ) -> ForwardOutcome:
        """Forward a request to a process, and send its response if the status is in ``accept``."""
        answer = await self.call(peer, request, timeout_s, caller, accept)
        if answer.outcome is not ForwardOutcome.ANSWERED:
            log_event(
                events.FORWARD_FAILED,
                peer=peer.host,
                method=request.method,
                path=request.path,
                outcome=answer.outcome.value,
                reason=answer.reason,
            )
            return answer.outcome
        if answer.head.status == 404 and not caller.current:
            # The key may belong to another tenant in a newer configuration.
            responder.send(503, retry_after_fields(self.outage_retry_s()))
            return answer.outcome
        responder.send(answer.head.status, answer.head.headers.end_to_end(), answer.body)
        return answer.outcome

    async def call(
        self,
        peer: Peer,
        request: Request,
        timeout_s: float,
        caller: Caller,
        accept: tuple[int, ...],
    ) -> PeerAnswer:
        """Send a request to a process and return what it says, and what that means."""
        fields = [*passed_on_fields(request.headers, caller), (FORWARDED_BY, self.peers.host)]
        try:
            async with asyncio.timeout(timeout_s):
                head, body = await self.peers.pool.fetch(
                    peer.address, request.method, request.target, fields, request.body
                )
        except ConnectFailed as error:
            return PeerAnswer(ForwardOutcome.NOT_RUN, f"not connected: {error}")
        except (ResponseIncomplete, TimeoutError) as error:
            reason = f"no response: {error}" if str(error) else "no response in time"
            return PeerAnswer(ForwardOutcome.UNKNOWN, reason)
        reason = f"status {head.status}"
        if head.status in accept:
            return PeerAnswer(ForwardOutcome.ANSWERED, reason, head, body)
        if head.status in NOT_RUN_STATUSES:
            return PeerAnswer(ForwardOutcome.NOT_RUN, reason)
        return PeerAnswer(ForwardOutcome.UNKNOWN, reason)
