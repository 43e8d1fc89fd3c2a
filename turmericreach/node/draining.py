"""The wait for callers when a process stops."""

import asyncio

from turmericreach.http1 import HttpServer
from turmericreach.node.shutdown import Shutdown

__all__ = ["drain_callers"]

STOP_POLL_S = 0.05


async def drain_callers(server: HttpServer, shutdown: Shutdown, handover: asyncio.Task) -> None:
    """Serve callers until all have left and the handover is complete, or until the cutoff.

    Idle connections are closed once the ready check has had time to take the process out of
    rotation. Then no connections are accepted, and each request that has been read gets its
    response.

    Parameters
    ----------
    server : HttpServer
        Server for callers.
    shutdown : Shutdown
        Stop that has begun.
    handover : asyncio.Task
        Handover of what this process does to other processes.
    """
    loop = asyncio.get_running_loop()
    times = shutdown.times
    while loop.time() < times.cutoff_at:
        if loop.time() >= times.rotation_at:
            server.close_idle()
            if handover.done() and not server.active and not server.connections:
                break
        await asyncio.sleep(STOP_POLL_S)
    server.stop_listening()
    shutdown.cut_off()
    # Connections that were accepted just before are registered in the next turns of the loop.
    await asyncio.sleep(STOP_POLL_S)
    while server.connections and loop.time() < times.close_at:
        server.close_idle()
        await asyncio.sleep(STOP_POLL_S)
