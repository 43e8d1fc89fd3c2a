"""Consumers that read slowly, but all the time, lose their answers."""

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    TROUBLE,
    Deployment,
    Message,
    Worker,
    encode,
    new_id,
    plain_service,
    route,
    run_case,
)

GATEWAYS = 3
CONSUMERS = 6
ANSWER_BYTES = 200_000
SMALL_ANSWER = b"ok"
# A slow consumer takes a tenth of this each tenth of a second, about 5 s for the whole answer.
SLOW_BYTES_PER_S = 40_000
FAST_BYTES_PER_S = 10_000_000
STEP_S = 0.1
TIME_LIMIT_MS = 10_000
# The rule allows three such answers.
ALLOWED = 3


class DrawingWorker(Worker):
    """Answers with a drawing of `ANSWER_BYTES` bytes, or with a few bytes."""

    async def run(self, request: Message, reader, writer) -> bool:
        """Answer a request."""
        await asyncio.sleep(self.work_s)
        body = b"x" * ANSWER_BYTES if request.target.endswith("drawing") else SMALL_ANSWER
        await self.answer(request, writer, 200, {"X-Server-Stamp": f"stamp-{self.name}"}, body)
        return True


class SlowConsumer:
    """A consumer that takes bytes from its socket no faster than it can use them."""

    async def open(self, address: str) -> None:
        """Open the channel."""
        host, _, port = address.rpartition(":")
        self.loop = asyncio.get_running_loop()
        self.socket = socket.socket()
        self.socket.setblocking(False)
        await self.loop.sock_connect(self.socket, (host, int(port)))

    async def fetch(self, target: str, attempt: str, bytes_per_s: int) -> int:
        """Make a request and return how many bytes of the body have arrived in the end."""
        fields = {
            "Host": "desk.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(TIME_LIMIT_MS),
        }
        await self.loop.sock_sendall(self.socket, encode(f"GET {target} HTTP/1.1", fields))
        data = b""
        try:
            while not is_whole(data):
                part = await self.loop.sock_recv(self.socket, int(bytes_per_s * STEP_S))
                if not part:
                    break
                data += part
                if not is_whole(data):
                    await asyncio.sleep(STEP_S)
        except ConnectionError:
            pass
        return len(data.partition(b"\r\n\r\n")[2])


def is_whole(data: bytes) -> bool:
    """Return whether the bytes are a whole answer."""
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return False
    for line in head.decode("latin-1").lower().split("\r\n"):
        name, _, value = line.partition(":")
        if name == "content-length":
            return len(body) >= int(value)
    return False


async def case(deployment: Deployment) -> list[str]:
    """Play the case and return the breaches."""
    record = deployment.record
    for number in range(3):
        worker = DrawingWorker(f"i-desk{number}", "order-desk", deployment.store, record)
        await worker.listen()
        worker.enlist()
        deployment.workers.append(worker)
    drawings = route("drawings", "safe", "order-desk", timeoutMs=TIME_LIMIT_MS)
    deployment.configure(1, [drawings], [plain_service("order-desk")])
    await deployment.start_gateways(GATEWAYS)
    await asyncio.sleep(4.0)

    async def consume(number: int) -> str:
        gateway = deployment.gateways[number % GATEWAYS]
        consumer = SlowConsumer()
        await consumer.open(gateway.front)
        if await consumer.fetch("/drawings/list", new_id(), FAST_BYTES_PER_S) != len(SMALL_ANSWER):
            raise RuntimeError("the first request of a channel failed")
        attempt = new_id()
        began = record.now()
        record.add(f"sent to {gateway.name}: GET /drawings/drawing {attempt}")
        rate = SLOW_BYTES_PER_S if TROUBLE else FAST_BYTES_PER_S
        received = await consumer.fetch("/drawings/drawing", attempt, rate)
        consumer.socket.close()
        record.add(f"{attempt}: {received} bytes after {record.now() - began:.1f} s")
        if received == ANSWER_BYTES:
            return ""
        ran = any(run == attempt for worker in deployment.workers for _, run, _ in worker.runs)
        return (
            f"LOST: {gateway.name} passed {attempt} on (run at a worker: {ran}) and closed its"
            f" kept channel after {received} of {ANSWER_BYTES} bytes, {record.now() - began:.1f} s"
            " after the request"
        )

    found = await asyncio.gather(*(consume(number) for number in range(CONSUMERS)))
    breaches = [text for text in found if text]
    for text in breaches:
        record.add(text)
    return breaches if len(breaches) > ALLOWED else []


run_case(str(Path(__file__).resolve().parent), case)
