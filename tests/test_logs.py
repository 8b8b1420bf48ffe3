"""Logs that are bounded and hold nobody up."""

import os

from godwitmast.logs import LineSink


def test_reader_that_stands_still_costs_lines_and_not_time() -> None:
    """Nobody reads the pipe that the log goes to, and it is full.

    A write that waited would stop every stream of the process. The lines are dropped,
    and the first one after the reader is back says how many were.
    """
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    sink = LineSink(writing, lines_per_s=1e9, burst=1e9)
    for _ in range(2_000):
        sink("x" * 100 + "\n")
    dropped = sink.dropped
    assert dropped > 0
    os.set_blocking(reading, False)
    try:
        while os.read(reading, 1 << 16):
            pass
    except BlockingIOError:
        pass
    sink("event=back\n")
    assert os.read(reading, 1 << 16) == f"event=back dropped={dropped}\n".encode()
    os.close(reading)
    sink("event=nobody\n")
    assert sink.dropped == 1
    os.close(writing)


def test_lines_are_bounded_each_second() -> None:
    # Times with few binary places: 0.3 s after a time of the machine's own clock can
    # come out a little less, and three lines as two.
    sink = LineSink(-1, lines_per_s=12.0, burst=5.0)
    sink.filled_at = start = 100.0
    assert [sink.take_line(start) for _ in range(7)] == [True] * 5 + [False] * 2
    assert [sink.take_line(start + 0.25) for _ in range(4)] == [True] * 3 + [False]
