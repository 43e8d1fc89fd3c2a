"""Tests of the parser of event streams: which bytes end a line, and which are part of a text."""

import pytest

from tests.builders.fleet_world import item as lot_item
from tests.builders.fleet_world import submission
from turmericreach.batches.event_stream import EventParser

# Characters at which `str.splitlines` splits and that an event stream does not know as line ends:
# VT, FF, FS, GS, RS, NEL, LS and PS; and others that look like blanks or ends.
TEXT_CHARACTERS = "\v\f\x1c\x1d\x1e\x85\u2028\u2029\xa0\ufeff\u200b\x00"
LINE_ENDS = [b"\n", b"\r\n", b"\r"]


def parse(stream, cuts=()):
    """Return the events of a stream that arrives in parts, and the parser."""
    parser = EventParser()
    events, start = [], 0
    for cut in (*cuts, len(stream)):
        events += parser.feed(stream[start:cut])
        start = cut
    return events, parser


@pytest.mark.parametrize("character", TEXT_CHARACTERS)
def test_text_keeps_characters_that_end_no_line(character):
    """Guards against results that lack what follows a line separator of Unicode."""
    text = f"a{character}data: b{character}id: 9{character}"
    events, _ = parse(f"id: 1\ndata: {text}\n\n".encode())
    assert [(event.id, event.data, event.other_lines) for event in events] == [(1, text, [])]


@pytest.mark.parametrize("end", LINE_ENDS)
def test_each_line_end_of_the_format_ends_a_line_wherever_the_stream_is_cut(end):
    """Guards against events that run together, or split in two, at a certain part of the bytes."""
    lines = [b"x-weight-versions: 3", b"id: 1", b"data: a", b"data: b", b"", b"id: 2", b"data: c"]
    stream = end.join([*lines, b"", b""])
    for cut in range(len(stream) + 1):
        events, parser = parse(stream, (cut,))
        assert [(event.id, event.data) for event in events] == [(1, "a\nb"), (2, "c")], cut
        assert events[0].other_lines == ["x-weight-versions: 3"]
        assert b"".join(event.raw for event in events) + parser.rest == stream
        assert not parser.rest.strip()


def test_mixed_line_ends_end_an_event():
    """Guards against an event that waits for a second line end of the same kind."""
    for first in LINE_ENDS:
        for second in LINE_ENDS:
            if first + second == b"\r\n":
                continue
            events, _ = parse(b"id: 1\ndata: a" + first + second + b"id: 2\n")
            assert [event.data for event in events] == ["a"], (first, second)


def test_byte_order_mark_before_the_stream_is_no_part_of_the_first_event():
    """Guards against a first event without an id."""
    events, _ = parse(b"\xef\xbb\xbfid: 1\ndata: a\n\nid: 2\ndata: b\n\n")
    assert [event.id for event in events] == [1, 2]


def test_event_that_is_not_utf_8_is_marked():
    """Guards against a result that holds replacement characters where a byte was spoiled."""
    events, _ = parse(b"id: 1\ndata: a\xe2\x80\n\nid: 2\ndata: \xef\xbf\xbd\n\n")
    assert [event.valid for event in events] == [False, True]


@pytest.mark.parametrize("end", LINE_ENDS)
def test_event_whose_text_mentions_a_status_line_is_whole(end):
    """Guards against an item that can never be done since its text is about responses."""
    lines = [b"x-weight-versions: 3", b"id: 1", b"data: HTTP/1.1 200 OK", b"data: Host: h", b": c"]
    for order in (lines, lines[::-1]):
        (event,), _ = parse(end.join([*order, b"", b""]))
        assert not event.spliced


async def test_result_holds_the_whole_text_of_an_item(world):
    """Guards against a result whose text was cut at a character that ends no line."""
    for engine in ("e1", "e2"):
        world.targets[engine].event_prefix = f"x{TEXT_CHARACTERS}"
    gateway = await world.add_gateway("g1")
    await world.submit(gateway, "lot1", submission([lot_item("i1")]))
    results = await world.read_all(gateway, "lot1", 1)
    expected = [f"x{TEXT_CHARACTERS}i1-{number}" for number in range(1, 6)]
    assert results[0]["text"] == "\n".join(expected)
