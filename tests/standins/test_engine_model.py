"""Tests the batch, the prefix cache and the text of the engine stand-in without a server."""

import pytest

from turmericreach_standins.engine import (
    Batch,
    EngineSettings,
    PrefixCache,
    QueueFull,
    Sequence,
    draw_length,
    versions_of_text,
)


def new_batch(**options):
    settings = EngineSettings(prefill_tokens_per_s=10, tokens_per_s=10, **options)
    batch = Batch(settings, PrefixCache(settings.cache_entries))
    batch.advance_to(0.0)
    return batch


def new_sequence(name, prompt="", length=100, priority=0):
    return Sequence(name, prompt, 0, length, length, priority)


def test_streams_slow_down_as_the_batch_fills():
    """Guards against streams whose speed does not depend on the size of the batch."""
    batch = new_batch(slots=2, batch_slowdown=1.0)
    first, second = new_sequence("a"), new_sequence("b")
    batch.submit(first, 0.0)
    batch.advance_to(1.0)
    batch.submit(second, 1.0)
    batch.advance_to(2.0)
    assert (len(first.tokens), len(second.tokens)) == (15, 5)


def test_urgent_sequences_start_first_and_displace_the_least_urgent():
    """Guards against a full queue that ignores priorities."""
    batch = new_batch(slots=1, queue=1)
    refused = []
    running, late, urgent = new_sequence("a"), new_sequence("b", priority=5), new_sequence("c")
    late.on_piece = refused.append
    batch.submit(running, 0.0)
    batch.submit(late, 0.0)
    batch.submit(urgent, 0.0)
    assert (late.state, refused[0].finish_reason, late.started_at) == ("refused", "refused", None)
    with pytest.raises(QueueFull):
        batch.submit(new_sequence("d", priority=9), 0.0)
    batch.cancel(running, 0.0)
    assert urgent.state == "running"


def test_cache_hit_shortens_the_prefill_until_the_entry_is_evicted():
    """Guards against a prefix cache that gives no gain or never evicts."""
    batch = new_batch(cache_entries=2)
    prompt = " ".join(str(number) for number in range(32))
    cold, warm = new_sequence("a", prompt), new_sequence("b", prompt)
    batch.submit(cold, 0.0)
    batch.submit(warm, 0.0)
    assert (cold.prefill_remaining, warm.prefill_remaining) == (32, 0)
    batch.submit(new_sequence("c", prompt.replace("0", "x")), 0.0)
    batch.submit(again := new_sequence("d", prompt), 0.0)
    assert again.prefill_remaining == 32
    events = batch.cache.events_since(0, now=1.0, lag_s=0.5)
    assert [event.type for event in events[:4]] == ["stored", "stored", "stored", "removed"]
    assert batch.cache.events_since(0, now=0.1, lag_s=0.5) == []


def test_cache_events_have_gaps():
    """Guards against a complete list of cache events, which real engines do not publish."""
    cache = PrefixCache(1000, event_gap=0.5, seed=1)
    cache.use_prompt(" ".join(str(number) for number in range(1600)), 0.0)
    assert 0 < len(cache.events_since(0, 0.0, 0.0)) < cache.seq == 100


def test_text_shows_its_versions():
    """Guards against text from which tests cannot read the versions that generated it."""
    sequence = new_sequence("a", "cue note")
    sequence.add_tokens(2, 3)
    sequence.add_tokens(1, 4)
    assert versions_of_text(" ".join(sequence.tokens), "cue note", 0) == [3, 3, 4]
    with pytest.raises(ValueError, match="token 0"):
        versions_of_text(sequence.tokens[1], "cue note", 0)


def test_lengths_are_repeatable_and_heavy_tailed():
    """Guards against runs that differ for one seed, and lengths without stragglers."""
    lengths = [draw_length(7, "p", seed, 60, 0.8) for seed in range(500)]
    assert lengths == [draw_length(7, "p", seed, 60, 0.8) for seed in range(500)]
    assert max(lengths) > 4 * sorted(lengths)[250]
