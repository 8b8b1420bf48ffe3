"""What a follower of a table takes for gone, and when."""

import pytest

from godwitmast.platform.store import FOLLOW_MARGIN_S
from godwitmast.platform_api.feed import RETURN_GRACE_S, WAIT_S, FeedView
from godwitmast.platform_api.port import Changes, FeedRow, Snapshot

IN_FORCE_S = 12.0
"""How long a change of the configuration may take to be in force everywhere."""


def rows(*keys: str) -> list[FeedRow]:
    return [FeedRow(key, b"{}") for key in keys]


@pytest.fixture
def view() -> FeedView:
    """A view of two servers, which was away from the store from 10 s on."""
    view = FeedView()
    view.apply_snapshot(Snapshot(rows("a", "b"), 7), 0.0)
    view.record_failure(10.0)
    return view


def test_rows_that_expired_during_an_outage_stay_until_they_are_written_again(
    view: FeedView,
) -> None:
    """The store is away for longer than a server's row lasts.

    Its first answer says that both are gone. One writes its row again a second later,
    the other does not: only that one goes, two seconds after the return.
    """
    view.apply_changes(Changes([FeedRow("a", None), FeedRow("b", None)], 9), 15.0)
    assert view.rows.keys() == {"a", "b"}
    view.apply_changes(Changes(rows("a"), 10), 16.0)
    assert not view.remove_expired(15.0 + RETURN_GRACE_S - 0.1)
    assert view.remove_expired(15.0 + RETURN_GRACE_S)
    assert view.rows.keys() == {"a"}


def test_row_removed_after_the_return_goes_at_once(view: FeedView) -> None:
    """A server leaves without a word just after the store is back.

    Its removal comes in a later answer than the first one. Were it held as well, its
    requests would go on past the time that a leaving server waits for.
    """
    view.apply_changes(Changes([], 8), 15.0)
    view.apply_changes(Changes([FeedRow("b", None)], 9), 15.1)
    assert view.rows.keys() == {"a"}


def test_row_missing_from_the_snapshot_after_an_outage_stays_for_the_grace(
    view: FeedView,
) -> None:
    view.apply_snapshot(Snapshot(rows("a"), 30), 15.0)
    assert view.rows.keys() == {"a", "b"}
    assert view.remove_expired(17.0)
    assert view.rows.keys() == {"a"}


def test_without_an_outage_a_row_goes_at_once() -> None:
    view = FeedView()
    view.apply_snapshot(Snapshot(rows("a", "b"), 7), 0.0)
    view.apply_snapshot(Snapshot(rows("b"), 8), 1.0)
    assert view.rows.keys() == {"b"}
    view.apply_changes(Changes([FeedRow("b", None)], 9), 2.0)
    assert not view.rows


def test_row_that_came_only_with_the_return_can_go(view: FeedView) -> None:
    view.apply_changes(Changes([FeedRow("c", None)], 9), 15.0)
    assert not view.lapsed_keys


def test_one_server_of_many_that_left_while_this_process_was_turned_away_goes_at_once() -> (
    None
):
    """The store turns this process away for some seconds and serves the others.

    Meanwhile one server of six leaves without a word. Its row was held for two seconds
    after the return, as after an outage of the store, and requests went to it long
    after it had left.
    """
    view = FeedView()
    view.apply_snapshot(Snapshot(rows(*"abcdef"), 7), 0.0)
    view.record_failure(10.0)
    view.apply_changes(Changes([FeedRow("c", None)], 9), 15.0)
    assert view.rows.keys() == set("abdef")
    view.record_failure(20.0)
    view.apply_snapshot(Snapshot(rows(*"abde"), 12), 25.0)
    assert view.rows.keys() == set("abde")


def test_rows_that_lapsed_together_stay_for_the_grace() -> None:
    view = FeedView()
    view.apply_snapshot(Snapshot(rows(*"abcdef"), 7), 0.0)
    view.record_failure(10.0)
    view.apply_snapshot(Snapshot(rows(*"ab"), 12), 15.0)
    assert view.rows.keys() == set("abcdef")
    view.apply_changes(Changes(rows("c"), 13), 15.5)
    assert view.remove_expired(17.0)
    assert view.rows.keys() == set("abc")


def test_call_that_the_store_swallowed_is_given_up_before_a_change_is_overdue() -> None:
    """The store is silent for some seconds, and never answers a call from before that.

    Its connection stays alive, so only the call's own time-out tells. Configurations of
    the next half minute were not in force on one VM.
    """
    assert WAIT_S + FOLLOW_MARGIN_S <= IN_FORCE_S
