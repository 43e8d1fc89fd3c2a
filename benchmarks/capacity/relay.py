"""A relay in a separate process, and daemons that report to it over real sockets."""

import asyncio
import sys
import time

import capnp
import psutil

from turmericreach.membership import (
    MemberRecord,
    MemberTable,
    Report,
    ReportReply,
    TargetStatus,
    decode,
    encode,
)
from turmericreach.rpc import Hello, PeerClient, PeerServer

__all__ = ["measure_call", "measure_relay"]

IP = "127.0.0.1"
TARGETS = 4
# At the target size 7 of 57 daemons are gateways, which receive all changes; one in 8 is close.
GATEWAY_EVERY = 8
MAX_CONNECT_ATTEMPTS = 100
CONNECT_RETRY_DELAY_S = 0.1
CALL_TIMEOUT_S = 5.0
WARM_UP_S = 3.0
MEASUREMENT_S = 8.0
ECHO = "echo"
ECHO_BYTES = 200


def make_record(name, role="agent"):
    """Return the member record of a simulated daemon."""
    return MemberRecord(
        name, role, "a", address=f"{IP}:1", incarnation=1, sequence=1, started_ms=1_790_000_000_000
    )


def make_targets(name, tick):
    """Return the status of targets whose load changes with each report."""
    return [
        TargetStatus(f"{name}-t{number}", "model", slots=8, running=(tick + number) % 9)
        for number in range(TARGETS)
    ]


class RelayHandler:
    """Replies to reports as the daemon does."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.table = MemberTable(make_record("relay", "gateway"), self.loop.time())

    def hello(self, hello):
        """Return the greeting of the relay."""
        return identity("relay")

    async def control(self, kind, body):
        """Reply to a report, or return the body of an echo call unchanged."""
        if kind == ECHO:
            return body
        return encode(self.table.on_report(decode(body, Report), self.loop.time()))


def identity(name):
    """Return the greeting of a daemon."""
    return Hello(name=name, role="agent", data_centre="a", incarnation=1, generation=0, clock_ms=0)


async def serve(port):
    """Serve as a relay on a port until the process is terminated."""
    async with capnp.kj_loop():
        await PeerServer(RelayHandler(), IP, port).start()
        await asyncio.Event().wait()


async def connect(port, name):
    """Connect to the relay, which may still be starting."""
    for _ in range(MAX_CONNECT_ATTEMPTS):
        try:
            return await PeerClient.connect(IP, port, identity(name))
        except Exception:  # noqa: BLE001 - retries any failure, a limited number of times
            await asyncio.sleep(CONNECT_RETRY_DELAY_S)
    raise RuntimeError("could not connect to the relay")


class Reporter:
    """A simulated daemon that reports once a second.

    Parameters
    ----------
    name, role : str
    client : PeerClient
        Connection to the relay.
    now : float
        Time of the event loop in seconds.
    """

    def __init__(self, name, role, client, now):
        self.name = name
        self.client = client
        self.table = MemberTable(make_record(name, role), now)
        self.tick = 0
        self.bytes = 0
        self.calls = 0

    async def run(self, start_s):
        """Report once a second until cancelled, beginning after a delay in seconds."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(start_s)
        while True:
            began = loop.time()
            self.tick += 1
            self.table.set_own(began, targets=make_targets(self.name, self.tick))
            more = True
            while more:
                body = encode(self.table.make_report("relay", loop.time()))
                reply_body = await self.client.control("report", body, CALL_TIMEOUT_S)
                reply = decode(reply_body, ReportReply)
                self.table.on_reply(reply, loop.time())
                more = reply.more
                self.bytes += len(body) + len(reply_body)
                self.calls += 1
            await asyncio.sleep(max(0.0, began + 1.0 - loop.time()))


def cpu_s(pid):
    """Return the CPU time of a process in seconds, user and system together."""
    times = psutil.Process(pid).cpu_times()
    return times.user + times.system


def memory_mb(pid):
    """Return the resident memory of a process in MB."""
    return psutil.Process(pid).memory_info().rss / 1e6


async def measure(daemons, port):
    """Start a relay and simulated daemons, and return the costs of both."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.capacity.relay", str(port)
    )
    tasks = []
    try:
        async with capnp.kj_loop():
            now = asyncio.get_running_loop().time()
            reporters = []
            for number in range(daemons):
                name = f"daemon-{number}"
                role = "agent" if number % GATEWAY_EVERY else "gateway"
                client = await connect(port, name)
                reporters.append(Reporter(name, role, client, now))
            for number, reporter in enumerate(reporters):
                tasks.append(asyncio.ensure_future(reporter.run(number / daemons)))
            await asyncio.sleep(WARM_UP_S)
            before = cpu_s(process.pid), cpu_s(psutil.Process().pid)
            counted = sum(item.bytes for item in reporters), sum(item.calls for item in reporters)
            began = time.perf_counter()
            await asyncio.sleep(MEASUREMENT_S)
            seconds = time.perf_counter() - began
            relay_s = cpu_s(process.pid) - before[0]
            own_s = cpu_s(psutil.Process().pid) - before[1]
            sent = sum(item.bytes for item in reporters) - counted[0]
            calls = sum(item.calls for item in reporters) - counted[1]
            figures = {
                "daemons": daemons,
                "relay_core_percent": 100 * relay_s / seconds,
                "relay_us_a_report": 1e6 * relay_s / calls,
                "daemon_core_percent": 100 * own_s / seconds / daemons,
                "relay_kb_s": sent / seconds / 1e3,
                "bytes_a_report": sent / calls,
                "relay_mb": memory_mb(process.pid),
            }
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for reporter in reporters:
                reporter.client.close()
            return figures
    finally:
        process.terminate()
        await process.wait()


async def measure_calls(rate, port):
    """Call a process at a rate and return the CPU time of both sides per call."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.capacity.relay", str(port)
    )
    try:
        async with capnp.kj_loop():
            client = await connect(port, "caller")
            own = psutil.Process().pid
            before = cpu_s(process.pid), cpu_s(own)
            began = time.perf_counter()
            calls = 0
            while time.perf_counter() - began < MEASUREMENT_S:
                await client.control(ECHO, b"x" * ECHO_BYTES, CALL_TIMEOUT_S)
                calls += 1
                await asyncio.sleep(max(0.0, began + calls / rate - time.perf_counter()))
            figures = {
                "calls_per_s": calls / MEASUREMENT_S,
                "caller_us_a_call": 1e6 * (cpu_s(own) - before[1]) / calls,
                "callee_us_a_call": 1e6 * (cpu_s(process.pid) - before[0]) / calls,
            }
            client.close()
            return figures
    finally:
        process.terminate()
        await process.wait()


def measure_call(rate, port):
    """Return the cost of one control call on both sides, at a rate of calls per second."""
    return asyncio.run(measure_calls(rate, port))


def measure_relay(daemons, port):
    """Return the cost of a relay to which a number of daemons report."""
    return asyncio.run(measure(daemons, port))


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1])))
