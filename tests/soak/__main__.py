"""Runs the soak by hand: ``python -m tests.soak --seeds 50``."""

import argparse
import asyncio
import random
import shutil
import sys

from tests.soak.run import SoakResult, run_seed

SECONDS = 12.0


def parse() -> argparse.Namespace:
    """Return the options."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=50, help="number of seeds")
    parser.add_argument("--first", type=int, help="first seed; fresh seeds if left out")
    parser.add_argument("--seconds", type=float, default=SECONDS, help="time with faults")
    parser.add_argument("--gateways", type=int, default=3, help="processes of the product")
    parser.add_argument("--at-once", type=int, default=2, help="seeds that run together")
    return parser.parse_args()


def report(result: SoakResult) -> None:
    """Print a result; logs of a clean one are removed."""
    if not result.violations:
        shutil.rmtree(result.folder, ignore_errors=True)
        answers = sum(result.statuses.values())
        print(f"seed {result.seed}: kept, {len(result.history)} faults, {answers} answers")
        return
    print(f"seed {result.seed}: BROKEN, logs in {result.folder}")
    for line in [*result.violations, "  faults:", *result.history]:
        print(f"  {line}")


async def main() -> int:
    """Run the seeds and return the exit code."""
    options = parse()
    first = random.randrange(10**6) if options.first is None else options.first
    gate = asyncio.Semaphore(options.at_once)
    broken = 0

    async def one(seed: int) -> None:
        nonlocal broken
        async with gate:
            result = await run_seed(seed, options.seconds, options.gateways)
        report(result)
        broken += bool(result.violations)

    await asyncio.gather(*(one(first + number) for number in range(options.seeds)))
    print(f"{options.seeds} seeds from {first}, {broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
