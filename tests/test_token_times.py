"""The times that an entry records for the tokens of an answer."""

from godwitmast.entry.metrics import Gap, TokenTimes


def test_interrupted_stream_records_its_longest_gap() -> None:
    """Guards against a pause of an engine during a stream that is not logged."""
    times = TokenTimes()
    for now in (10.0, 10.1, 10.2, 12.7, 12.8, 13.5):
        times.record_arrival(now)
    assert times.first_at == 10.0
    assert times.last_at == 13.5
    assert times.longest_gap == Gap(12.7 - 10.2, 12.7)


def test_answer_in_one_piece_has_no_gap() -> None:
    times = TokenTimes()
    times.record_arrival(10.0)
    assert times.longest_gap == Gap(0.0, None)
