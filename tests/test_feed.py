"""When a follower of a table removes rows, with and without an outage."""

import pytest

from godwitmast.platform_api.epoch import make_version
from godwitmast.platform_api.feed import (
    ANSWER_MARGIN_S,
    MAX_WAIT_S,
    OLDER_GRACE_S,
    REISSUE_S,
    RETURN_GRACE_S,
    FeedView,
    long_poll_s,
)
from godwitmast.platform_api.port import Changes, FeedRow, Snapshot

IN_FORCE_S = 12.0
"""Limit for a configuration change to be in force everywhere."""


def rows(*keys: str) -> list[FeedRow]:
    return [FeedRow(key, b"{}") for key in keys]


@pytest.fixture
def view() -> FeedView:
    """Return a view of two servers that has not reached the store since 10 s."""
    view = FeedView()
    view.apply_snapshot(Snapshot(rows("a", "b"), 7), 0.0)
    view.record_failure(10.0)
    return view


def test_rows_that_expired_during_an_outage_stay_until_they_are_written_again(
    view: FeedView,
) -> None:
    """The store is unreachable for longer than the lifetime of a server's row.

    Its first answer says that both servers are gone. One rewrites its row a second
    later; only the other is removed, two seconds after the recovery.
    """
    view.apply_changes(Changes([FeedRow("a", None), FeedRow("b", None)], 9), 15.0)
    assert view.rows.keys() == {"a", "b"}
    view.apply_changes(Changes(rows("a"), 10), 16.0)
    assert not view.remove_expired(15.0 + RETURN_GRACE_S - 0.1)
    assert view.remove_expired(15.0 + RETURN_GRACE_S)
    assert view.rows.keys() == {"a"}


def test_row_removed_after_the_return_goes_at_once(view: FeedView) -> None:
    """A server leaves without notice just after the store recovers.

    Its removal arrives in a later answer than the first. If the row were kept, requests
    would reach the server for longer than a leaving server waits.
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


def test_row_removed_without_an_outage_is_not_kept() -> None:
    view = FeedView()
    view.apply_snapshot(Snapshot(rows("a", "b"), 7), 0.0)
    view.apply_snapshot(Snapshot(rows("b"), 8), 1.0)
    assert view.rows.keys() == {"b"}
    view.apply_changes(Changes([FeedRow("b", None)], 9), 2.0)
    assert not view.rows


def test_removal_of_an_unknown_row_after_an_outage_is_ignored(view: FeedView) -> None:
    view.apply_changes(Changes([FeedRow("c", None)], 9), 15.0)
    assert not view.lapsed_keys


def test_one_server_of_many_that_left_while_this_process_was_turned_away_goes_at_once() -> (
    None
):
    """The store refuses this process for some seconds, while it serves the others.

    Meanwhile one server of six leaves without notice. If its row were kept for two
    seconds after the recovery, as after an outage of the store, requests would go to
    the server long after it had left.
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


def test_unanswered_call_times_out_before_a_change_is_overdue() -> None:
    """The store hangs for some seconds, and never answers a call from before that.

    The connection stays open, so only the call's own time-out detects it. With a longer
    one, configurations of the next half minute would not be in force on one VM.
    """
    assert MAX_WAIT_S + ANSWER_MARGIN_S <= IN_FORCE_S


@pytest.mark.parametrize("recovery_s", [2.0, 3.0, 5.0, 60.0])
def test_unanswered_call_is_replaced_within_the_time_to_recover(
    recovery_s: float,
) -> None:
    assert long_poll_s(recovery_s) + ANSWER_MARGIN_S + REISSUE_S <= recovery_s


EPOCH = make_version(1, 0)


def order_of(key: str, content: bytes) -> tuple[int, ...] | None:
    """Return what orders contents such as b"ready 3"; others have no order."""
    _, _, number = content.partition(b" ")
    return (int(number),) if number else None


@pytest.fixture
def restored_view() -> FeedView:
    """Return a view of a table that is then restored with older rows."""
    view = FeedView(order=order_of)
    rows = [FeedRow("a", b"leaving 3"), FeedRow("b", b"ready 5"), FeedRow("c", b"x")]
    view.apply_snapshot(Snapshot([*rows, FeedRow("d", b"ready 8")], 100), 10.0)
    view.apply_changes(Changes([FeedRow("b", None)], 101), 11.0)
    older = [FeedRow("a", b"ready 2"), FeedRow("b", b"ready 5"), FeedRow("c", b"y")]
    view.apply_snapshot(Snapshot(older, EPOCH + 90), 20.0)
    return view


def test_restored_table_does_not_take_rows_back(restored_view: FeedView) -> None:
    """Guards against servers that are ready, or listed, again by their older rows."""
    assert restored_view.rows == {"a": b"leaving 3", "c": b"y", "d": b"ready 8"}


def test_rows_that_are_written_again_after_a_restore_are_used(
    restored_view: FeedView,
) -> None:
    """Guards against a process that stays with what it knew before a restore."""
    view = restored_view
    rewritten = [FeedRow("a", b"ready 4"), FeedRow("b", b"ready 6")]
    view.apply_changes(Changes(rewritten, EPOCH + 95), 21.0)
    assert view.rows["a"] == b"ready 4"
    assert view.rows["b"] == b"ready 6"
    view.apply_changes(Changes([FeedRow("a", b"ready 1")], EPOCH + 96), 21.5)
    assert view.rows["a"] == b"ready 4"


def test_rows_that_nobody_writes_again_after_a_restore_are_given_up(
    restored_view: FeedView,
) -> None:
    """Guards against rows that outlive the loss of their last write for ever."""
    view = restored_view
    assert view.remove_expired(20.0 + RETURN_GRACE_S)
    assert "d" not in view.rows
    assert view.remove_expired(20.0 + OLDER_GRACE_S)
    assert view.rows == {"a": b"ready 2", "b": b"ready 5", "c": b"y"}
    assert not view.awaits_rows


def test_row_that_its_writer_is_slow_to_write_again_after_a_restore_is_kept() -> None:
    """Guards against an evacuation that lapses: a restore lost it, and the operator writes
    it again seconds later."""
    view = FeedView(lost_grace_s=OLDER_GRACE_S)
    view.apply_snapshot(Snapshot(rows("a", "b"), make_version(1, 7)), 0.0)
    view.record_failure(10.0)
    view.apply_snapshot(Snapshot(rows("a"), make_version(2, 5)), 12.0)
    assert not view.remove_expired(12.0 + OLDER_GRACE_S - 0.1)
    assert view.rows.keys() == {"a", "b"}
    assert view.remove_expired(12.0 + OLDER_GRACE_S)
    assert view.rows.keys() == {"a"}


def test_rows_that_expire_in_a_later_outage_have_its_shorter_grace() -> None:
    """Guards against rows of servers that left and are kept as if a restore lost them."""
    view = FeedView(lost_grace_s=OLDER_GRACE_S)
    view.apply_snapshot(Snapshot(rows("a", "b"), make_version(1, 7)), 0.0)
    view.apply_snapshot(Snapshot(rows("a", "b"), make_version(2, 5)), 12.0)
    view.record_failure(13.0)
    gone = [FeedRow("a", None), FeedRow("b", None)]
    view.apply_changes(Changes(gone, make_version(2, 9)), 15.0)
    assert view.remove_expired(15.0 + RETURN_GRACE_S)
    assert not view.rows
