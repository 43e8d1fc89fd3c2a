"""The duty to report the requests of each tenant, fulfilled by the coordinator."""

import asyncio

from turmericreach.coordination.duty import CoordinatorDuty
from turmericreach.coordination.duty_calls import DutyCaller
from turmericreach.coordination.names import USAGE_KIND, USAGE_NAME
from turmericreach.coordination.usage_exchange import UsageExchange
from turmericreach.duties import ReportLog
from turmericreach.metadata import Conflict, MetadataClient, MetadataError
from turmericreach.platform.cloud import usage_call
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events

__all__ = ["UsageReporter"]

CHECK_INTERVAL_S = 0.1
# Gateways are asked for their counts this long after the end of a window, since the estimates of
# true time differ.
CLOCK_MARGIN_S = 0.3
WRITE_TIMEOUT_S = 1.5
# Pause before another read of an object that cannot be decoded, or of a store that is unavailable.
RELOAD_PAUSE_S = 0.5


class UsageReporter:
    """Stores the counts of each window, then sends them until the receiver confirms them.

    Attributes
    ----------
    log : ReportLog or None
        Stored reports and their delivery in the latest term of the duty.
    """

    def __init__(
        self,
        duty: CoordinatorDuty,
        client: MetadataClient,
        exchange: UsageExchange,
        caller: DutyCaller,
    ):
        self.duty = duty
        self.client = client
        self.exchange = exchange
        self.caller = caller
        self.log: ReportLog | None = None

    async def run(self) -> None:
        """Report the usage for one term of the duty, until cancelled."""
        self.log = ReportLog(self.exchange.timings)
        await self.wait_for_lease()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.store_windows(self.log))
            tasks.create_task(self.send_reports(self.log))

    async def wait_for_lease(self) -> None:
        """Wait until no call of a former holder can be executed any more.

        The duty itself waits only for holders on other hosts. A call of an earlier run of this
        process has a lower token and may be late just the same.
        """
        loop = asyncio.get_running_loop()
        earliest = self.duty.first_order_at
        current = self.duty.current
        if current is not None and "taken" in current.spec:
            earliest = max(earliest, loop.time() + self.duty.lease_s)
        await asyncio.sleep(max(earliest - loop.time(), 0.0))

    # Storing

    async def store_windows(self, log: ReportLog) -> None:
        """Store each window once its counts are complete, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not log.loaded and not await self.load(log):
                await asyncio.sleep(RELOAD_PAUSE_S)
                continue
            time = self.exchange.true_time()
            self.give_up_expired(log, time)
            window = log.next_window(self.exchange.book.earliest_since(), time)
            if window is None:
                continue
            missing = self.exchange.missing_hosts(log.timings.end(window) + CLOCK_MARGIN_S)
            if missing and time < log.timings.wait_until(window):
                continue
            if time < log.timings.end(window) + CLOCK_MARGIN_S:
                continue
            await self.store(log, window, missing)

    async def load(self, log: ReportLog) -> bool:
        """Read the stored reports and return whether they are known."""
        try:
            object = await self.client.get(USAGE_KIND, USAGE_NAME)
            log.load(*((None, None) if object is None else (object.spec, object.revision)))
        except MetadataError:
            # The client logs that the store is unavailable.
            return False
        except ValueError as error:
            log_event(events.STORE_OBJECT_UNREADABLE, kind=USAGE_KIND, problem=str(error))
            return False
        return True

    async def store(self, log: ReportLog, window: int, missing: list[str]) -> None:
        """Store the counts of a window if the duty is still held.

        After a conflict, or without a known outcome, the object is read before anything else is
        stored, and what it holds is sent.
        """
        if await self.duty.verified_token() is None:
            return
        time = self.exchange.true_time()
        counts = self.exchange.book.totals(window)
        holder = f"{self.duty.host} {self.duty.incarnation}"
        spec = log.spec_with(window, counts, holder, time)
        deadline = asyncio.get_running_loop().time() + WRITE_TIMEOUT_S
        last = log.last
        try:
            if log.revision is None:
                object = await self.client.create(USAGE_KIND, USAGE_NAME, spec, deadline)
            else:
                object = await self.client.replace(
                    USAGE_KIND, USAGE_NAME, spec, log.revision, deadline
                )
        except Conflict:
            log.loaded = False
            return
        except MetadataError:
            # The write may still take effect; the client logs that the store is unavailable.
            log.loaded = False
            return
        log.load(object.spec, object.revision)
        log_event(
            events.USAGE_STORED,
            window=window,
            requests=sum(counts.values()),
            tenants=len(counts),
            after_s=round(time - log.timings.end(window), 3),
            missing=str(missing),
            revision=object.revision,
        )
        for skipped in range(window if last is None else last + 1, window):
            log_event(events.USAGE_GIVEN_UP, window=skipped, reason="it could not be stored")
        self.exchange.book.discard_before(window + 1)

    def give_up_expired(self, log: ReportLog, time: float) -> None:
        """Remove the reports that are too old, and log those that were not confirmed."""
        for window in log.expire(time):
            log_event(events.USAGE_GIVEN_UP, window=window, reason="no confirmation in time")

    # Sending

    async def send_reports(self, log: ReportLog) -> None:
        """Send the stored reports until each is confirmed, the oldest first, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            window = log.next_report(self.exchange.true_time())
            if window is None:
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            began = loop.time()
            result = await self.caller.call(usage_call(window, log.reports[window]))
            time = self.exchange.true_time()
            log.record_call(window, time, result.accepted)
            calls = log.deliveries[window].calls
            log_event(
                events.USAGE_REPORTED if calls == 1 else events.USAGE_REPEATED,
                window=window,
                outcome=result.outcome,
                fencing=result.token,
                after_s=round(time - log.timings.end(window), 3),
                ms=round((loop.time() - began) * 1000, 1),
                **({} if calls == 1 else {"call": calls}),
            )
