"""Command line of the soak: ``python -m tests.soak --seeds 50``."""

import argparse
import asyncio
import random
import shutil
import sys

from tests.soak.run import SoakResult, run_seed

SECONDS = 12.0


def parse() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=50, help="number of seeds")
    parser.add_argument("--first", type=int, help="first seed; random if omitted")
    parser.add_argument("--seconds", type=float, default=SECONDS, help="seconds of fault injection")
    parser.add_argument("--gateways", type=int, default=3, help="number of gateway processes")
    parser.add_argument(
        "--at-once", type=int, default=2, help="number of seeds that run at the same time"
    )
    return parser.parse_args()


def report(result: SoakResult) -> None:
    """Print a result; remove the logs of a seed without violations."""
    if not result.violations:
        shutil.rmtree(result.folder, ignore_errors=True)
        responses = sum(result.statuses.values())
        print(f"seed {result.seed}: passed, {len(result.history)} faults, {responses} responses")
        return
    print(f"seed {result.seed}: FAILED, logs in {result.folder}")
    for line in [*result.violations, "  faults:", *result.history]:
        print(f"  {line}")


async def main() -> int:
    """Run the seeds and return the exit code."""
    options = parse()
    first = random.randrange(10**6) if options.first is None else options.first
    semaphore = asyncio.Semaphore(options.at_once)
    failed = 0

    async def run_one(seed: int) -> None:
        nonlocal failed
        async with semaphore:
            result = await run_seed(seed, options.seconds, options.gateways)
        report(result)
        failed += bool(result.violations)

    await asyncio.gather(*(run_one(first + number) for number in range(options.seeds)))
    print(f"{options.seeds} seeds from {first}, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
