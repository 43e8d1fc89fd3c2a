"""Size limit of pull answers."""

import attrs

from turmericreach.lots import PullResult

__all__ = ["limit_answer"]

# A pull answer stays under the size limit of a message between gateways.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


def limit_answer(result: PullResult, whole_groups: bool) -> PullResult:
    """Return an answer within the size limit; what is left out stays first for the next pull."""
    size = 0
    for position, sample in enumerate(result.samples):
        size += len(sample.text)
        if position == 0 or size <= MAX_ANSWER_BYTES:
            continue
        if whole_groups and result.samples[position - 1].group == sample.group:
            continue
        left_out = len(result.samples) - position
        return attrs.evolve(
            result, samples=result.samples[:position], remaining=result.remaining + left_out
        )
    return result
