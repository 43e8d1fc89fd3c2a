"""Characters that end a line elsewhere, but not in an event stream, cut the text of a result."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    TROUBLE,
    Deployment,
    Engine,
    Trainer,
    Worker,
    engine_service,
    plain_service,
    rollout_route,
    route,
    run_case,
)

GATEWAYS = 3
ENGINES = 3
GROUPS = 3
TIME_LIMIT_S = 12.0
# U+2028 separates lines in text, U+0085 is "next line". In an event stream only CR and LF end one.
PIECES = ("amber\u2028blue", "gel 201\u0085cue 7") if TROUBLE else ("amber blue", "gel 201 cue 7")


class TextEngine(Engine):
    """Generates text with line separators of Unicode."""

    def event(self, attempt: str, number: int) -> str:
        """Return the data of an event."""
        return f"{super().event(attempt, number)} {PIECES[number % len(PIECES)]}"


async def case(deployment: Deployment) -> list[str]:
    """Play the case and return the breaches."""
    record, store = deployment.record, deployment.store
    desk = Worker("i-desk0", "order-desk", store, record, slots=24)
    engines = [
        TextEngine(f"i-llm{number}", "palette-llm", store, record) for number in range(ENGINES)
    ]
    for worker in (desk, *engines):
        await worker.listen()
        worker.enlist()
        deployment.workers.append(worker)
    deployment.configure(
        1,
        [rollout_route("rollout", "palette-llm"), route("stock", "safe", "order-desk")],
        [engine_service("palette-llm"), plain_service("order-desk")],
    )
    await deployment.start_gateways(GATEWAYS)
    await asyncio.sleep(2.0)

    trainer = Trainer(deployment.gateways[0], record, GROUPS, "/stock/score")
    status = await trainer.submit("/rollout/new")
    if status != 202:
        raise RuntimeError(f"the batch job was answered {status}")
    await trainer.read_until(record.now() + TIME_LIMIT_S)
    await trainer.end()

    breaches = []
    for item, result in trainer.results.items():
        whole = engines[0].text(item)
        record.add(f"result of {item}: {len(result['text'])} of {len(whole)} characters")
        if result["state"] == "completed" and result["text"] != whole:
            breaches.append(
                f"MIXED: the text of {item} is completed with {len(result['text'])} of"
                f" {len(whole)} characters: {result['text'][:40]!r} for {whole[:40]!r}"
            )
    if not trainer.results:
        raise RuntimeError("no result was read")
    return breaches


run_case(str(Path(__file__).resolve().parent), case)
