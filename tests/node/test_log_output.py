"""Bounded, non-blocking output of log lines."""

import contextlib
import json
import os
import time

from turmericreach.node.log_output import LogOutput


def test_stalled_reader_does_not_block_the_program():
    """Guards against a program that hangs because its log is not read."""
    reading, writing = os.pipe()
    output = LogOutput(writing, max_lines=100)
    output.start()
    began = time.monotonic()
    for number in range(200_000):
        output.write(f'{{"line": {number}, "padding": "{"x" * 100}"}}\n')
    assert time.monotonic() - began < 5
    assert output.dropped > 0
    received = os.read(reading, 1 << 16)
    assert received
    output.closing = True
    output.lines.clear()
    os.set_blocking(reading, False)
    while output.thread.is_alive():
        with contextlib.suppress(BlockingIOError):
            os.read(reading, 1 << 16)
        output.thread.join(timeout=0.05)
    os.close(reading)
    os.close(writing)


def test_number_of_dropped_lines_is_logged():
    """Guards against gaps in the log that are not reported in it."""
    reading, writing = os.pipe()
    output = LogOutput(writing, max_lines=2)
    for number in range(5):
        output.write(f'{{"line": {number}}}\n')
    output.start()
    output.close()
    lines = [json.loads(line) for line in os.read(reading, 1 << 16).decode().splitlines()]
    assert lines[0]["event"] == "log_lines_dropped"
    assert lines[0]["fields"] == {"lines": 3}
    assert [line["line"] for line in lines[1:]] == [0, 1]
    os.close(reading)
    os.close(writing)


def test_each_write_consists_of_whole_lines():
    """Guards against interleaved lines when several programs write to one pipe."""
    output = LogOutput(1)
    for number in range(100):
        output.write(f'{{"line": {number}, "padding": "{"x" * 200}"}}\n')
    written = []
    while output.lines:
        written.append(output.next_chunk())
    assert all(len(data) <= 4096 and data.endswith(b"}\n") for data in written)
    assert sum(data.count(b"\n") for data in written) == 100
