"""Size limit of the results of pulls."""

import attrs

from turmericreach.lots import PullResult

__all__ = ["limit_pull_result"]

# Keeps the response to a pull below the size limit of a message between gateways.
MAX_PULL_RESULT_BYTES = 16 * 1024 * 1024


def limit_pull_result(result: PullResult, whole_groups: bool) -> PullResult:
    """Return a result within the size limit; the next pull starts with the omitted samples.

    Parameters
    ----------
    result : PullResult
        Result with all samples that could be delivered.
    whole_groups : bool
        Whether samples of one group must not be separated, even if the limit is exceeded.
    """
    text_bytes = 0
    for position, sample in enumerate(result.samples):
        text_bytes += len(sample.text)
        if position == 0 or text_bytes <= MAX_PULL_RESULT_BYTES:
            continue
        if whole_groups and result.samples[position - 1].group == sample.group:
            continue
        omitted = len(result.samples) - position
        return attrs.evolve(
            result, samples=result.samples[:position], remaining=result.remaining + omitted
        )
    return result
