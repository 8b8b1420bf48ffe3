"""Requests that crash the servers that run them."""

import pytest

from godwitmast.dispatch.messages import Clearance, Placement, Quarantine, Suspicion
from godwitmast.dispatch.poison import (
    ANNOUNCE_S,
    OUTAGE_SERVERS,
    QUARANTINE_S,
    SUSPICION_S,
    InFlight,
    PoisonGuard,
)
from godwitmast.types import BackendId

ONE, TWO, THREE = (BackendId(f"engine-{n}") for n in (1, 2, 3))


def on_board(*names: str) -> list[InFlight]:
    return [InFlight(name, 1.0) for name in names]


def test_second_crash_alone_on_a_server_quarantines_only_the_poison() -> None:
    guard = PoisonGuard()
    assert guard.crashed(ONE, on_board("bad", "a", "b"), 10.0) == []
    guard.started("bad", TWO, 11.0)
    assert guard.crashed(TWO, on_board("bad", "new"), 11.1) == ["bad"]
    assert guard.quarantine_left("bad", 12.0) == pytest.approx(QUARANTINE_S - 0.9)
    for innocent in ("a", "b", "new"):
        assert guard.quarantine_left(innocent, 12.0) is None
    assert guard.quarantine_left("bad", 11.1 + QUARANTINE_S) is None


def test_suspect_keeps_other_suspects_and_its_own_copies_off_until_it_survived() -> (
    None
):
    guard = PoisonGuard()
    guard.crashed(ONE, on_board("a", "b"), 10.0)
    guard.started("a", TWO, 11.0)
    assert guard.holds(TWO, 11.1)
    assert guard.must_wait("a")
    assert not guard.must_wait("b")
    assert not guard.progressed("a", 0.9, 11.9)
    assert guard.progressed("a", 1.0, 12.0)
    assert not guard.holds(TWO, 12.0)
    assert guard.is_suspect("a")
    guard.completed("a", 13.0)
    assert not guard.is_suspect("a")


def test_crash_among_survived_suspects_counts_against_none_of_them() -> None:
    guard = PoisonGuard()
    guard.crashed(ONE, on_board("a", "b"), 10.0)
    for at, name in ((11.0, "a"), (13.0, "b")):
        guard.started(name, TWO, at)
        assert guard.progressed(name, 1.0, at + 1)
    assert guard.crashed(TWO, on_board("a", "b"), 15.0) == []
    assert len(guard.suspects["a"].crashes) == len(guard.suspects["b"].crashes) == 1


def test_outage_of_many_servers_puts_no_one_under_suspicion() -> None:
    """Three servers of a rack lose power at once, with a stream on each.

    Without the exception, hundreds of cut streams would wait for each other's
    probation. A request that was seen in two of the crashes stays a suspect.
    """
    guard = PoisonGuard()
    for number in range(OUTAGE_SERVERS):
        extra = ["both"] if number else []
        server = BackendId(f"engine-{number}")
        guard.crashed(server, on_board(f"stream-{number}", *extra), 10 + number / 10)
    assert not any(guard.is_suspect(f"stream-{n}") for n in range(OUTAGE_SERVERS))
    assert guard.quarantine_left("both", 11.0) is not None


def test_peer_that_heard_the_news_refuses_the_resent_request() -> None:
    here, there = PoisonGuard(), PoisonGuard()
    here.crashed(ONE, on_board("bad", "a"), 10.0)
    there.import_news(here.take_news(), 510.0)
    assert there.is_suspect("bad")
    there.started("bad", TWO, 510.5)
    here.import_news(there.take_news(), 10.6)
    assert here.must_wait("bad")
    assert there.crashed(TWO, on_board("bad"), 510.7) == ["bad"]
    news = there.take_news()
    assert Quarantine("bad", QUARANTINE_S) in news
    assert here.import_news(news, 10.8) == ["bad"]
    assert here.quarantine_left("bad", 11.0) is not None
    assert not here.must_wait("bad")


def test_two_entries_that_saw_one_crash_count_it_once() -> None:
    here, there = PoisonGuard(), PoisonGuard()
    here.crashed(ONE, on_board("a"), 10.0)
    there.crashed(ONE, on_board("a"), 510.3)
    assert there.import_news(here.take_news(), 510.3) == []
    assert len(there.suspects["a"].crashes) == 1
    assert there.import_news(here.export(10.3), 510.3) == []


def test_crash_on_a_server_that_two_entries_gave_a_suspect_names_neither() -> None:
    guard = PoisonGuard()
    guard.crashed(ONE, on_board("a"), 10.0)
    guard.import_news([Placement("bad", TWO, 5.0)], 10.5)
    guard.started("a", TWO, 10.4)
    assert guard.crashed(TWO, on_board("a"), 10.6) == []


def test_old_news_and_the_clearance_of_a_peer_leave_no_suspicion() -> None:
    here, there = PoisonGuard(), PoisonGuard()
    here.crashed(ONE, on_board("a"), 10.0)
    stale = here.take_news()
    here.completed("a", 20.0)
    there.import_news(stale, 510.0)
    there.import_news(here.take_news(), 520.0)
    there.import_news([Suspicion("a", ()), *here.export(21.0)], 521.0)
    assert not there.is_suspect("a")
    there.import_news([item for item in stale if isinstance(item, Suspicion)], 510.0)
    there.import_news([Clearance("a", 0.0)], 511.0)
    assert not there.is_suspect("a")


def test_what_is_over_is_forgotten() -> None:
    guard = PoisonGuard()
    guard.crashed(ONE, on_board("a", "bad"), 10.0)
    guard.started("bad", TWO, 11.0)
    guard.crashed(TWO, on_board("bad"), 11.1)
    guard.expire(11.0 + SUSPICION_S)
    assert not guard.suspects
    assert not guard.running
    guard.expire(12.0 + QUARANTINE_S)
    assert not guard.quarantined


def test_of_two_suspects_announced_for_one_server_one_starts() -> None:
    here, there = PoisonGuard(), PoisonGuard()
    for guard, name, now in ((here, "a", 10.0), (there, "bad", 510.0)):
        guard.crashed(ONE, on_board(name), now)
        guard.take_news()
        guard.reserve(name, TWO, now)
    from_here, from_there = here.take_news(), there.take_news()
    here.import_news(from_there, 10.1)
    there.import_news(from_here, 510.1)
    assert here.reservation("a", 10.1) == (TWO, False)
    assert here.reservation("a", 10.0 + ANNOUNCE_S) == (TWO, True)
    assert there.reservation("bad", 510.0 + ANNOUNCE_S) is None
    assert "bad" not in there.reserved
