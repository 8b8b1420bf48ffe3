"""Isolation and quarantine of requests that crash the servers on which they run."""

import pytest

from godwitmast.dispatch.messages import (
    Clearance,
    Crash,
    Placement,
    Quarantine,
    Suspicion,
)
from godwitmast.dispatch.poison import (
    ANNOUNCE_S,
    LEARNING_S,
    OUTAGE_SERVERS,
    QUARANTINE_S,
    SUSPICION_S,
    CrashNotice,
    CrashRecord,
    InFlight,
    PoisonGuard,
    QuarantineNotice,
    ReviewNotice,
    ReviewReason,
)
from godwitmast.types import BackendId

ONE, TWO, THREE = (BackendId(f"engine-{n}") for n in (1, 2, 3))


def in_flight(*names: str) -> list[InFlight]:
    return [InFlight(name, 1.0) for name in names]


def test_second_crash_quarantines_only_the_poison_request() -> None:
    guard = PoisonGuard()
    assert guard.record_crash(ONE, in_flight("bad", "a", "b"), 10.0) == []
    guard.record_start("bad", TWO, 11.0)
    assert guard.record_crash(TWO, in_flight("bad", "new"), 11.1) == ["bad"]
    assert guard.quarantine_left_s("bad", 12.0) == pytest.approx(QUARANTINE_S - 0.9)
    for innocent in ("a", "b", "new"):
        assert guard.quarantine_left_s(innocent, 12.0) is None
    assert guard.quarantine_left_s("bad", 11.1 + QUARANTINE_S) is None


def test_crash_and_quarantine_are_reported_with_what_decided_them() -> None:
    """Guards against a log that does not tell why a request is refused."""
    guard = PoisonGuard()
    guard.record_crash(ONE, in_flight("bad", "a"), 10.0)
    guard.record_start("bad", TWO, 11.0)
    guard.record_crash(TWO, in_flight("bad", "a"), 11.1)
    assert guard.pop_notices() == [
        CrashNotice(ONE, ("a", "bad"), ("a", "bad")),
        CrashNotice(TWO, ("a", "bad"), ("bad",)),
        QuarantineNotice("bad", (ONE, TWO)),
    ]
    assert guard.pop_notices() == []


def test_reviewed_crashes_are_reported_with_their_reason() -> None:
    """Guards against a log that does not tell why a request is sent on after crashes."""
    guard = PoisonGuard()
    for number in range(OUTAGE_SERVERS):
        server = BackendId(f"engine-{number}")
        guard.record_crash(server, in_flight(f"stream-{number}"), 10 + number / 10)
    guard.record_crash(ONE, in_flight("a"), 20.0)
    guard.withdraw_crash(ONE, 20.0)
    notices = guard.pop_notices()
    outage, links = ReviewReason.OUTAGE, ReviewReason.UNREACHABLE
    assert [item for item in notices if isinstance(item, ReviewNotice)] == [
        ReviewNotice(BackendId("engine-0"), outage, ("stream-0",)),
        ReviewNotice(BackendId("engine-1"), outage, ("stream-1",)),
        ReviewNotice(BackendId("engine-2"), outage, ("stream-2",)),
        ReviewNotice(ONE, links, ("a",)),
    ]


def test_suspect_on_probation_excludes_other_suspects_and_its_own_copies() -> None:
    guard = PoisonGuard()
    guard.record_crash(ONE, in_flight("a", "b"), 10.0)
    guard.record_start("a", TWO, 11.0)
    assert guard.has_probation(TWO, 11.1)
    assert guard.has_running_copy("a")
    assert not guard.has_running_copy("b")
    assert not guard.record_progress("a", 0.9, 11.9)
    assert guard.record_progress("a", 1.0, 12.0)
    assert not guard.has_probation(TWO, 12.0)
    assert guard.is_suspect("a")
    guard.record_completion("a", 13.0)
    assert not guard.is_suspect("a")


def test_second_crash_among_suspects_past_probation_quarantines_none_of_them() -> None:
    guard = PoisonGuard()
    guard.record_crash(ONE, in_flight("a", "b"), 10.0)
    for at, name in ((11.0, "a"), (13.0, "b")):
        guard.record_start(name, TWO, at)
        assert guard.record_progress(name, 1.0, at + 1)
    assert guard.record_crash(TWO, in_flight("a", "b"), 15.0) == []
    assert not guard.quarantined
    assert not any(c.sole for n in "ab" for c in guard.suspects[n].crashes[1:])


def test_third_crash_quarantines_a_request_that_never_ran_apart_from_suspects() -> None:
    """Guards against crashes that count against nobody as several suspects ran."""
    guard = PoisonGuard()
    assert guard.record_crash(ONE, in_flight("bad", "a", "b"), 10.0) == []
    assert guard.record_crash(TWO, in_flight("bad", "a", "c"), 20.0) == []
    assert guard.record_crash(THREE, in_flight("bad", "b", "c"), 30.0) == ["bad"]
    assert not guard.is_suspect("bad")
    assert set(guard.quarantined) == {"bad"}


def test_common_request_on_servers_that_crash_at_once_is_not_quarantined() -> None:
    """Guards against a lookup of many callers refused as two servers lost their power."""
    here, there, other = PoisonGuard(), PoisonGuard(), PoisonGuard()
    here.record_crash(ONE, in_flight("lookup"), 10.0)
    there.record_crash(TWO, in_flight("lookup"), 10.1)
    for update in (*here.pop_updates(), *there.pop_updates()):
        assert other.apply_updates([update], 10.2) == []
    assert other.is_suspect("lookup")


def test_reports_that_are_sent_late_are_of_the_time_of_their_crash() -> None:
    """Guards against one outage that counts as several, as its reports came apart."""
    here, there, other = PoisonGuard(), PoisonGuard(), PoisonGuard()
    for guard, server, sent_at in ((here, ONE, 10.2), (there, TWO, 11.5)):
        guard.record_crash(server, in_flight("lookup"), 10.0)
        updates = [
            guard.refresh_update(item, sent_at)
            for item in guard.pop_updates()
            if isinstance(item, Suspicion)
        ]
        other.apply_updates(updates, sent_at)
    assert not other.quarantined
    assert {round(c.at, 3) for c in other.suspects["lookup"].crashes} == {10.0}


def test_common_request_that_completes_between_crashes_is_not_quarantined() -> None:
    """Guards against crashes that several entries saw adding up for an innocent one."""
    guards = [PoisonGuard() for _ in range(3)]

    def share(now: float) -> None:
        for guard in guards:
            updates = guard.pop_updates()
            for other in guards:
                if other is not guard:
                    assert other.apply_updates(updates, now) == []

    for number, server in enumerate((ONE, TWO, THREE)):
        now = 10.0 * (number + 1)
        guards[number].record_crash(server, in_flight("lookup"), now)
        share(now)
        guards[number - 1].record_completion("lookup", now + 1.0)
        share(now + 1.0)
    assert not any(guard.is_suspect("lookup") for guard in guards)


def test_outage_of_many_servers_leaves_no_suspects() -> None:
    """Three servers of a rack lose power at once, with a stream on each.

    Without the exception for outages, hundreds of cut streams would wait for each
    other's probation. A request that was seen in two of the crashes stays a suspect.
    """
    guard = PoisonGuard()
    for number in range(OUTAGE_SERVERS):
        extra = ["both"] if number else []
        server = BackendId(f"engine-{number}")
        guard.record_crash(
            server, in_flight(f"stream-{number}", *extra), 10 + number / 10
        )
    assert not any(guard.is_suspect(f"stream-{n}") for n in range(OUTAGE_SERVERS))
    assert guard.quarantine_left_s("both", 11.0) is not None


def test_request_that_ends_servers_in_three_outages_is_quarantined_by_all() -> None:
    """Guards against evidence that is dropped as a small pool's servers crash at once."""
    guards = [PoisonGuard() for _ in range(OUTAGE_SERVERS)]
    for outage in range(3):
        now = 10.0 * (outage + 1)
        for number, guard in enumerate(guards):
            # Each entry has a request on each server, and the deadly one on one of them.
            for server in range(OUTAGE_SERVERS):
                names = [f"stream-{outage}-{number}-{server}"]
                names += ["deadly"] if server == number else []
                backend_id = BackendId(f"engine-{server}-{outage}")
                guard.record_crash(backend_id, in_flight(*names), now + server / 10)
            assert not guard.is_suspect(f"stream-{outage}-{number}-0")
        for guard in guards:
            updates = guard.pop_updates()
            shared = [item for item in updates if item.fingerprint in guard.suspects]
            for other in guards:
                if other is not guard:
                    other.apply_updates(shared, now + 1.0)
    for guard in guards:
        assert set(guard.quarantined) == {"deadly"}


def test_request_in_crashes_soon_after_the_start_is_quarantined_once_others_are_known() -> (
    None
):
    """Guards against an entry that goes on by what it could not tell when it started."""
    guard = PoisonGuard()
    for name, completes in (("deadly", False), ("lookup", True)):
        crashes = tuple(Crash(server, 0.0, False, True) for server in (ONE, TWO, THREE))
        assert guard.apply_updates([Suspicion(name, crashes)], 11.0) == []
        if completes:
            guard.record_completion(name, 10.0)
            assert guard.apply_updates([Suspicion(name, crashes)], 11.0) == []
    assert guard.review_suspects(10.0 + LEARNING_S - 0.1) == []
    assert guard.review_suspects(10.0 + LEARNING_S) == ["deadly"]
    assert set(guard.quarantined) == {"deadly"}


def test_request_that_completed_after_a_crash_is_no_suspect_by_a_late_report() -> None:
    """Guards against an innocent request that is isolated though it has completed."""
    guard = PoisonGuard()
    guard.record_completion("lookup", 11.0)
    guard.record_lost_servers([CrashRecord(10.0, ONE, frozenset(["lookup"]))], 12.0)
    crash = Crash(TWO, 1.5)
    guard.apply_updates([Suspicion("lookup", (crash,))], 12.0)
    assert not guard.suspects


def test_peer_refuses_a_resent_request_that_another_entry_suspects() -> None:
    here, there = PoisonGuard(), PoisonGuard()
    here.record_crash(ONE, in_flight("bad", "a"), 10.0)
    there.apply_updates(here.pop_updates(), 510.0)
    assert there.is_suspect("bad")
    there.record_start("bad", TWO, 510.5)
    here.apply_updates(there.pop_updates(), 10.6)
    assert here.has_running_copy("bad")
    assert there.record_crash(TWO, in_flight("bad"), 510.7) == ["bad"]
    updates = there.pop_updates()
    assert Quarantine("bad", QUARANTINE_S) in updates
    assert here.apply_updates(updates, 10.8) == ["bad"]
    assert here.quarantine_left_s("bad", 11.0) is not None
    assert not here.has_running_copy("bad")


def test_one_crash_observed_by_two_entries_is_counted_once() -> None:
    here, there = PoisonGuard(), PoisonGuard()
    here.record_crash(ONE, in_flight("a"), 10.0)
    there.record_crash(ONE, in_flight("a"), 510.3)
    assert there.apply_updates(here.pop_updates(), 510.3) == []
    assert len(there.suspects["a"].crashes) == 1
    assert there.apply_updates(here.export_updates(10.3), 510.3) == []


def test_crash_of_a_server_with_suspects_of_two_entries_blames_neither() -> None:
    guard = PoisonGuard()
    guard.record_crash(ONE, in_flight("a"), 10.0)
    guard.apply_updates([Placement("bad", TWO, 5.0)], 10.5)
    guard.record_start("a", TWO, 10.4)
    assert guard.record_crash(TWO, in_flight("a"), 10.6) == []


def test_outdated_updates_and_the_clearance_of_a_peer_leave_no_suspicion() -> None:
    here, there = PoisonGuard(), PoisonGuard()
    here.record_crash(ONE, in_flight("a"), 10.0)
    stale = here.pop_updates()
    here.record_completion("a", 20.0)
    there.apply_updates(stale, 510.0)
    there.apply_updates(here.pop_updates(), 520.0)
    there.apply_updates([Suspicion("a", ()), *here.export_updates(21.0)], 521.0)
    assert not there.is_suspect("a")
    there.apply_updates([item for item in stale if isinstance(item, Suspicion)], 510.0)
    there.apply_updates([Clearance("a", 0.0)], 511.0)
    assert not there.is_suspect("a")


def test_expired_entries_are_removed() -> None:
    guard = PoisonGuard()
    guard.record_crash(ONE, in_flight("a", "bad"), 10.0)
    guard.record_start("bad", TWO, 11.0)
    guard.record_crash(TWO, in_flight("bad"), 11.1)
    guard.expire(11.0 + SUSPICION_S)
    assert not guard.suspects
    assert not guard.running_on
    guard.expire(12.0 + QUARANTINE_S)
    assert not guard.quarantined


def test_of_two_suspects_announced_for_one_server_one_starts() -> None:
    here, there = PoisonGuard(), PoisonGuard()
    for guard, name, now in ((here, "a", 10.0), (there, "bad", 510.0)):
        guard.record_crash(ONE, in_flight(name), now)
        guard.pop_updates()
        guard.reserve(name, TWO, now)
    from_here, from_there = here.pop_updates(), there.pop_updates()
    here.apply_updates(from_there, 10.1)
    there.apply_updates(from_here, 510.1)
    assert here.reservation_of("a", 10.1) == (TWO, False)
    assert here.reservation_of("a", 10.0 + ANNOUNCE_S) == (TWO, True)
    assert there.reservation_of("bad", 510.0 + ANNOUNCE_S) is None
    assert "bad" not in there.reservations
