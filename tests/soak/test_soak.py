"""A short run of the soak with fixed seeds, and the seeds that ever failed."""

import pytest

from tests.soak.run import run_seed

SECONDS = 8.0
# Each seed that ever failed stays here, with a line on the cause.
REGRESSIONS: dict[int, str] = {}


@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", [1, 2, *REGRESSIONS])
async def test_promises_are_kept_under_faults(seed):
    """Guards against promises that hold only while nothing else goes wrong."""
    result = await run_seed(seed, SECONDS)
    assert result.violations == [], "\n".join([*result.violations, *result.history])
    assert result.statuses.get("lookup 200", 0) > 0
