"""Load generators: sequential, parallel, and at a fixed rate."""

import asyncio
import math
import random
import time

import aiohttp
import attrs

__all__ = ["Load", "call_in_parallel", "call_one_by_one", "session", "stream_at_rate"]

TIMEOUT_S = 30.0


@attrs.frozen
class Load:
    """Results of a phase of calls.

    Attributes
    ----------
    count, failures : int
        Number of successful and of failed calls.
    p50_s, p99_s : float
        Median and 99th percentile of the latency of successful calls in seconds.
    seconds : float
        Duration of the phase in seconds.
    tokens : int
        Tokens of the streams that were complete, 0 for plain calls.
    """

    count: int
    failures: int
    p50_s: float
    p99_s: float
    seconds: float
    tokens: int = 0


def session():
    """Return a client session without a limit on connections."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
    )


def percentile(values, share):
    """Return a percentile by the nearest-rank method, NaN without values."""
    ordered = sorted(values) or [math.nan]
    return ordered[max(0, math.ceil(len(ordered) * share) - 1)]


def summarize(latencies, failures, seconds, tokens=0):
    """Return the `Load` of a phase."""
    return Load(
        len(latencies),
        failures,
        percentile(latencies, 0.5),
        percentile(latencies, 0.99),
        seconds,
        tokens,
    )


async def call(client, url):
    """Make one call; return its latency in seconds, or None if the status is not 200."""
    began = time.perf_counter()
    async with client.get(url) as response:
        await response.read()
        succeeded = response.status == 200
    return time.perf_counter() - began if succeeded else None


async def call_one_by_one(client, url, count):
    """Make a number of calls, one at a time."""
    latencies, failures = [], 0
    began = time.perf_counter()
    for _ in range(count):
        latency_s = await call(client, url)
        if latency_s is None:
            failures += 1
            continue
        latencies.append(latency_s)
    return summarize(latencies, failures, time.perf_counter() - began)


async def call_in_parallel(client, url, callers, seconds):
    """Call from several callers concurrently for a duration in seconds."""
    latencies, failed = [], []
    began = time.perf_counter()

    async def repeat():
        while time.perf_counter() - began < seconds:
            latency_s = await call(client, url)
            (failed if latency_s is None else latencies).append(latency_s)

    await asyncio.gather(*(repeat() for _ in range(callers)))
    return summarize(latencies, len(failed), time.perf_counter() - began)


async def stream_at_rate(client, url, rate, tokens, seconds, seed=1):
    """Start streamed completions at a mean rate per second and read each to its end.

    Arrivals form a Poisson process. A stream without ``[DONE]`` counts as failed.
    """
    rng = random.Random(seed)
    latencies, failed, produced = [], [], []
    began = time.perf_counter()

    async def stream(number):
        body = {
            "model": "assistant",
            "prompt": f"lookup {number % 8}",
            "max_tokens": tokens,
            "ignore_eos": True,
            "stream": True,
        }
        sent = time.perf_counter()
        data = b""
        async with client.post(url, json=body) as response:
            async for chunk in response.content.iter_any():
                data += chunk
        if response.status != 200 or b"[DONE]" not in data:
            failed.append(number)
            return
        latencies.append(time.perf_counter() - sent)
        produced.append(tokens)

    running = []
    number = 0
    due = 0.0
    while due < seconds:
        await asyncio.sleep(max(0.0, began + due - time.perf_counter()))
        running.append(asyncio.ensure_future(stream(number)))
        number += 1
        due += rng.expovariate(rate)
    await asyncio.gather(*running, return_exceptions=True)
    elapsed_s = time.perf_counter() - began
    return summarize(latencies, number - len(latencies), elapsed_s, sum(produced))
