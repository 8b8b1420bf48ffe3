"""Rate limit and non-blocking writes of the log."""

import os

from godwitmast.logs import LineSink


def test_stalled_reader_drops_lines_and_does_not_block() -> None:
    """The log goes to a pipe that is full because its reader has stalled.

    A blocking write would stop every stream of the process. Lines are dropped instead,
    and the first line after the reader resumes reports how many.
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
    # These times are exact in binary. An interval such as 0.3 s after a reading of the
    # system clock can be rounded down, so that two lines are allowed instead of three.
    sink = LineSink(-1, lines_per_s=12.0, burst=5.0)
    sink.filled_at = start = 100.0
    assert [sink.take_line(start) for _ in range(7)] == [True] * 5 + [False] * 2
    assert [sink.take_line(start + 0.25) for _ in range(4)] == [True] * 3 + [False]
