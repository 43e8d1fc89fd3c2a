"""Phases of the cost benchmark."""

import asyncio
import tempfile
from pathlib import Path

from benchmarks.cost.deployment import running_deployment
from benchmarks.cost.load import call_in_parallel, call_one_by_one, session, stream_at_rate
from turmericreach.client import TrainerClient
from turmericreach.client.connection import ApiConnection
from turmericreach.lots import GroupSpec, LotSpec

__all__ = ["measure_cost"]

SINGLE_CALLS = 500
CALLERS = 16
PARALLEL_DURATION_S = 5.0
STREAM_DURATION_S = 10.0
# Load of an entry host at the target size, from the design page.
REQUESTS_PER_S, TOKENS_PER_S = 33.0, 7250.0
OPEN_SAMPLES = 8192
GROUP_SIZE = 8
IDLE_DURATION_S = 5.0
PORTAL_PATH = "/services/portal/cost"
ASSISTANT_PATH = "/services/assistant/v1/completions"


class CpuMeter:
    """Measures the CPU time of the daemons from its creation to `stop`."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.before = {name: deployment.cpu_s(name) for name in ("gateway-1", "agent-1")}

    def stop(self):
        """Return the CPU time in seconds since creation, by process."""
        return {name: self.deployment.cpu_s(name) - cpu for name, cpu in self.before.items()}


async def measure_phase(deployment, calls):
    """Await the calls of a phase; return their result and the CPU seconds of gateway and agent."""
    meter = CpuMeter(deployment)
    load = await calls
    cpu = meter.stop()
    return load, cpu["gateway-1"], cpu["agent-1"]


async def measure_latency(deployment, client):
    """Compare single calls through the gateway with direct calls."""
    portal = deployment.portal_url + "/cost"
    await call_one_by_one(client, deployment.gateway_url + PORTAL_PATH, 50)
    direct = await call_one_by_one(client, portal, SINGLE_CALLS)
    through = await call_one_by_one(client, deployment.gateway_url + PORTAL_PATH, SINGLE_CALLS)
    return {
        "direct_p50_ms": direct.p50_s * 1e3,
        "direct_p99_ms": direct.p99_s * 1e3,
        "gateway_p50_ms": through.p50_s * 1e3,
        "gateway_p99_ms": through.p99_s * 1e3,
        "ratio_p50": through.p50_s / direct.p50_s,
        "ratio_p99": through.p99_s / direct.p99_s,
        "failures": through.failures + direct.failures,
    }


async def measure_rate(deployment, client):
    """Measure requests per second and core under many parallel calls."""
    direct = await call_in_parallel(
        client, deployment.portal_url + "/cost", CALLERS, PARALLEL_DURATION_S
    )
    load, gateway_s, agent_s = await measure_phase(
        deployment,
        call_in_parallel(
            client, deployment.gateway_url + PORTAL_PATH, CALLERS, PARALLEL_DURATION_S
        ),
    )
    rate = load.count / load.seconds
    direct_rate = direct.count / direct.seconds
    return {
        "direct_per_s": direct_rate,
        "gateway_per_s": rate,
        "ratio": rate / direct_rate,
        "gateway_per_s_core": load.count / gateway_s,
        "agent_per_s_core": load.count / agent_s,
        "gateway_ms_a_request": gateway_s / load.count * 1e3,
        "agent_ms_a_request": agent_s / load.count * 1e3,
        "failures": load.failures,
    }


async def measure_streams(deployment, client, factor, idle):
    """Measure streamed tokens at a multiple of an entry host's load."""
    tokens = int(TOKENS_PER_S / REQUESTS_PER_S)
    load, gateway_s, agent_s = await measure_phase(
        deployment,
        stream_at_rate(
            client,
            deployment.gateway_url + ASSISTANT_PATH,
            REQUESTS_PER_S * factor,
            tokens,
            STREAM_DURATION_S,
        ),
    )
    return {
        "requests_per_s": load.count / load.seconds,
        "tokens_per_s": load.tokens / load.seconds,
        "gateway_core": gateway_s / load.seconds,
        "agent_core": agent_s / load.seconds,
        "gateway_core_without_idle": gateway_s / load.seconds - idle["gateway_core"],
        "gateway_tokens_per_s_core": load.tokens / gateway_s,
        "agent_tokens_per_s_core": load.tokens / agent_s,
        "p99_s": load.p99_s,
        "failures": load.failures,
    }


async def measure_idle(deployment):
    """Measure CPU and memory of the daemons without load."""
    _, gateway_s, agent_s = await measure_phase(deployment, asyncio.sleep(IDLE_DURATION_S))
    return {
        "gateway_core": gateway_s / IDLE_DURATION_S,
        "agent_core": agent_s / IDLE_DURATION_S,
        "gateway_mb": deployment.memory_mb("gateway-1"),
        "agent_mb": deployment.memory_mb("agent-1"),
    }


async def measure_open_samples(deployment):
    """Measure the gateway's memory and CPU with a large lot open."""
    spec = LotSpec(
        name="cost-1",
        trainer="fittings",
        service="assistant",
        model="assistant",
        groups=[GroupSpec(f"notes {number}") for number in range(OPEN_SAMPLES // GROUP_SIZE)],
        samples_per_group=GROUP_SIZE,
        staleness_bound=4,
        max_tokens=400,
    )
    before_mb = deployment.memory_mb("gateway-1")
    async with ApiConnection([deployment.gateway_url]) as connection:
        client = TrainerClient(connection)
        await client.declare(spec)
        _, gateway_s, agent_s = await measure_phase(deployment, asyncio.sleep(STREAM_DURATION_S))
        after_mb = deployment.memory_mb("gateway-1")
        done = await client.run(spec, 0)
        samples = await done.pull(OPEN_SAMPLES)
    return {
        "samples": OPEN_SAMPLES,
        "before_mb": before_mb,
        "after_mb": after_mb,
        "kb_a_sample": (after_mb - before_mb) * 1e3 / OPEN_SAMPLES,
        "gateway_core": gateway_s / STREAM_DURATION_S,
        "agent_core": agent_s / STREAM_DURATION_S,
        "finished_in_first_pull": len(samples),
    }


async def measure():
    """Run all phases and return their figures."""
    with tempfile.TemporaryDirectory() as folder:
        async with running_deployment(Path(folder)) as deployment, session() as client:
            idle = await measure_idle(deployment)
            figures = {"idle": idle}
            figures["latency"] = await measure_latency(deployment, client)
            figures["rate"] = await measure_rate(deployment, client)
            for factor in (1, 3):
                figures[f"streams_x{factor}"] = await measure_streams(
                    deployment, client, factor, idle
                )
            figures["open_samples"] = await measure_open_samples(deployment)
            return figures


def measure_cost():
    """Run the cost benchmark and return its figures by phase."""
    return asyncio.run(measure())
