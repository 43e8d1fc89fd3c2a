"""Cost of gathering the usage of 340 gateways at the process that reports it.

Run ``python -m benchmarks.usage``; it prints one line. The counts travel as in the pings: each
gateway encodes what has changed since the holder's last ping, and the holder decodes and merges it.
Sockets and the rest of a ping are not part of the figures.
"""

import random
import time
import tracemalloc

import attrs
import msgspec

from turmericreach.coordination.messages import CountingStatus, PeerStatus
from turmericreach.duties import ReportTimings, RequestUsage, TrueTime, UsageBook, UsageShare

__all__ = ["UsageCost", "measure_usage"]

GATEWAYS = 340
TENANTS = 85
REQUESTS_PER_S = 1300
# Pings have an interval of 0.4 s, and with so many gateways each third one asks for counts.
ASK_INTERVAL_S = 1.2
SECONDS = 60.0
TIMINGS = ReportTimings(window_s=5.0, late_s=10.0)
START = 1_800_000_000.0


@attrs.frozen
class UsageCost:
    """Cost per second of load.

    Attributes
    ----------
    messages_per_s : float
        Responses to pings with counts at the holder.
    holder_bytes_per_s, gateway_bytes_per_s : float
        Bytes that the counts and the clock add to the pings, in total and per gateway.
    report_bytes : int
        Size of the largest report.
    holder_core, gateway_core : float
        Share of a core that the holder and one gateway use for the counts.
    holder_bytes : int
        Memory of the holder's counts of all windows that may still be reported.
    exact : bool
        Whether each report equals the requests that were counted.
    """

    messages_per_s: float
    holder_bytes_per_s: float
    gateway_bytes_per_s: float
    report_bytes: int
    holder_core: float
    gateway_core: float
    holder_bytes: int
    exact: bool


def added_bytes(status: CountingStatus, message: bytes, query: str) -> int:
    """Return the bytes that the counts and the clock add to a ping and to its response."""
    fields = {name: getattr(status, name) for name in attrs.fields_dict(PeerStatus)}
    return len(message) - len(msgspec.json.encode(PeerStatus(**fields))) + len(query)


def held_bytes(books: list[UsageBook]) -> int:
    """Return the memory of a holder that has heard all counts that the gateways still keep."""
    shares = [msgspec.json.encode(book.changes_after(0)) for book in books]
    holder = UsageBook("holder", "i0", START)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for share in shares:
        holder.merge(msgspec.json.decode(share, type=list[UsageShare]))
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used


def measure_usage(seconds: float = SECONDS, seed: int = 1) -> UsageCost:
    """Replay requests, pings and reports in virtual time and measure the real code."""
    rng = random.Random(seed)
    weights = [1.0 / (1 + number) for number in range(TENANTS)]
    tenants = [f"tenant-{number}" for number in range(TENANTS)]
    books = [UsageBook(f"g{number}", f"i{number}", START) for number in range(GATEWAYS)]
    holder = UsageBook("holder", "i0", START)
    clock = TrueTime()
    clock.record_own(START, 0.0)
    truth: dict[int, dict[str, int]] = {}
    positions = [0] * GATEWAYS
    messages = total_bytes = report_bytes = 0
    holder_s = gateway_s = 0.0
    next_window = TIMINGS.window_at(START)
    exact = True
    for tick in range(int(seconds / ASK_INTERVAL_S)):
        at = START + tick * ASK_INTERVAL_S
        chosen = rng.choices(tenants, weights, k=int(REQUESTS_PER_S * ASK_INTERVAL_S))
        counting = [(rng.choice(books), tenant) for tenant in chosen]
        began = time.process_time()
        for book, tenant in counting:
            RequestUsage(book, tenant, TIMINGS.window_s).begin("t1", at)
        gateway_s += time.process_time() - began
        window = TIMINGS.window_at(at)
        for tenant in chosen:
            counts = truth.setdefault(window, {})
            counts[tenant] = counts.get(tenant, 0) + 1
        for number, book in enumerate(books):
            began = time.process_time()
            status = CountingStatus(
                book.host,
                book.incarnation,
                0.1,
                False,
                clock=at,
                usage_revision=book.revision,
                usage=book.changes_after(positions[number]),
            )
            message = msgspec.json.encode(status)
            gateway_s += time.process_time() - began
            messages += 1
            query = f"&usage={positions[number]}&run={book.incarnation}"
            total_bytes += added_bytes(status, message, query)
            began = time.process_time()
            decoded = msgspec.json.decode(message, type=CountingStatus)
            clock.record_peer(decoded.host, decoded.clock, at - START)
            holder.merge(decoded.usage)
            clock.at(at - START)
            positions[number] = decoded.usage_revision
            holder_s += time.process_time() - began
        if TIMINGS.end(next_window) <= at:
            began = time.process_time()
            report = holder.totals(next_window)
            holder.discard_before(next_window + 1)
            holder_s += time.process_time() - began
            report_bytes = max(report_bytes, len(msgspec.json.encode(report)))
            exact = exact and report == dict(sorted(truth[next_window].items()))
            for book in books:
                book.discard_before(TIMINGS.first_kept(at))
            next_window += 1
    return UsageCost(
        messages / seconds,
        total_bytes / seconds,
        total_bytes / seconds / GATEWAYS,
        report_bytes,
        holder_s / seconds,
        gateway_s / seconds / GATEWAYS,
        held_bytes(books),
        exact,
    )


def main() -> None:
    """Print the cost as one line."""
    cost = measure_usage()
    print(
        f"usage of {GATEWAYS} gateways, {TENANTS} tenants, {REQUESTS_PER_S} requests/s: "
        f"{cost.messages_per_s:.0f} messages/s, {cost.holder_bytes_per_s / 1000:.1f} kB/s at the "
        f"holder, {cost.gateway_bytes_per_s:.0f} B/s per gateway, report {cost.report_bytes} B, "
        f"CPU {100 * cost.holder_core:.2f}% of a core at the holder, "
        f"{100 * cost.gateway_core:.4f}% per gateway, holder memory "
        f"{cost.holder_bytes / 1e6:.1f} MB, reports exact: {cost.exact}"
    )


if __name__ == "__main__":
    main()
