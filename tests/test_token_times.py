"""What an entry notes of when an answer's tokens came."""

from godwitmast.entry.metrics import Gap, TokenTimes


def test_stream_that_an_engine_interrupted_shows_when_it_stood_still() -> None:
    """Guards against a pause inside an engine that no log line tells of."""
    times = TokenTimes()
    for now in (10.0, 10.1, 10.2, 12.7, 12.8, 13.5):
        times.token_came(now)
    assert times.first_at == 10.0
    assert times.last_at == 13.5
    assert times.longest_gap == Gap(12.7 - 10.2, 12.7)


def test_answer_of_one_piece_has_no_gap() -> None:
    times = TokenTimes()
    times.token_came(10.0)
    assert times.longest_gap == Gap(0.0, None)
