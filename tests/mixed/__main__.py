"""Runs two builds side by side: ``python -m tests.mixed --old PATH``.

PATH is a checkout of the other build. Both builds run with this environment's Python and libraries.
"""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from tests.mixed.daemons import run_daemons
from tests.mixed.gateways import run_gateways

NEW_BUILD = Path(__file__).resolve().parents[2]
STEP_S = 5.0


def resolved(text: str) -> Path:
    """Return an absolute path."""
    return Path(text).resolve()


def parse() -> argparse.Namespace:
    """Return the options."""
    parser = argparse.ArgumentParser(prog="python -m tests.mixed", description=__doc__)
    parser.add_argument("--old", type=resolved, required=True, help="checkout of the other build")
    parser.add_argument("--seconds", type=float, default=STEP_S, help="length of each step")
    parser.add_argument("--seed", type=int, default=1, help="seed of the requests")
    parser.add_argument("--only", choices=("gateways", "daemons"), help="run one part only")
    return parser.parse_args()


async def main() -> int:
    """Run both parts and return the exit code."""
    options = parse()
    builds = {"old": options.old, "new": NEW_BUILD}
    folder = Path(tempfile.mkdtemp(prefix="mixed-"))
    violations = []
    if options.only != "daemons":
        violations += await run_gateways(builds, folder, options.seconds, options.seed)
    if options.only != "gateways":
        violations += await run_daemons(builds, folder / "daemons", options.seconds)
    for text in violations:
        print(f"BROKEN: {text}")
    print(f"mixed builds: {len(violations)} violations, logs in {folder}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
