"""Short runs of the soak with fixed seeds and with every seed that once failed."""

import pytest

from tests.soak.run import run_seed

SECONDS = 8.0
# Every seed that once failed stays listed, with its cause.
REGRESSIONS: dict[int, str] = {}


@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", [1, 2, *REGRESSIONS])
async def test_promises_are_kept_under_faults(seed):
    """Guards against guarantees that hold under single faults but not under overlapping ones."""
    result = await run_seed(seed, SECONDS)
    assert result.violations == [], "\n".join([*result.violations, *result.history])
    assert result.statuses.get("lookup 200", 0) > 0
