"""Verdicts on requests that were in the same crashes, as reports of other entries tell."""

from itertools import permutations

import pytest

from godwitmast.dispatch.messages import (
    Crash,
    Placement,
    PoisonUpdate,
    Quarantine,
    Suspicion,
)
from godwitmast.dispatch.poison import (
    QUARANTINE_S,
    REPORTS_S,
    CrashRecord,
    InFlight,
    PoisonGuard,
    ReleaseNotice,
)
from godwitmast.types import BackendId

ONE, TWO, THREE, FOUR = (BackendId(f"engine-{n}") for n in (1, 2, 3, 4))
REPORT_S = 0.4
FIRST_AT, SECOND_AT, THIRD_AT = 10.0, 11.0, 13.0


def crash(guard: PoisonGuard, server: BackendId, name: str, at: float) -> list[str]:
    """Crash a server on which an entry has one request, isolated if it is a suspect."""
    guard.record_start(name, server, at - 0.1)
    return guard.record_crash(server, [InFlight(name, 0.1)], at)


def reports_of(guard: PoisonGuard, now: float) -> list[PoisonUpdate]:
    """Return an entry's reports without placements, as it writes them to a table."""
    fresh = [guard.refresh_update(item, now) for item in guard.pop_updates()]
    return [item for item in fresh if item and not isinstance(item, Placement)]


def exchange(first: PoisonGuard, second: PoisonGuard, now: float) -> None:
    """Give two entries each other's reports."""
    reports = reports_of(first, now), reports_of(second, now)
    second.apply_updates(reports[0], now)
    first.apply_updates(reports[1], now)


def crash_both(here: PoisonGuard, there: PoisonGuard) -> None:
    """Crash two servers, each with a request of both entries."""
    for server, at in ((ONE, FIRST_AT), (TWO, SECOND_AT)):
        crash(here, server, "poison", at)
        crash(there, server, "question", at)


@pytest.fixture
def here() -> PoisonGuard:
    return PoisonGuard(announces_suspects=False)


@pytest.fixture
def there() -> PoisonGuard:
    return PoisonGuard(announces_suspects=False)


def test_request_with_a_rival_runs_on_and_is_cleared_by_its_completion(
    here: PoisonGuard, there: PoisonGuard
) -> None:
    """Guards against a quarantine of a request that another one's crashes cut twice."""
    crash_both(here, there)
    exchange(here, there, SECOND_AT + REPORT_S)
    now = SECOND_AT + REPORTS_S
    for guard in (here, there):
        assert guard.review_suspects(now) == []
        assert not guard.is_held("question", now)
    there.record_completion("question", now + 0.1)
    here.apply_updates(there.pop_updates(), now + 0.5)
    assert here.review_suspects(now + 0.5) == ["poison"]
    exchange(here, there, now + 0.9)
    assert set(here.quarantined) == set(there.quarantined) == {"poison"}
    assert not there.is_suspect("question")


def test_third_crash_ends_the_doubt_between_rivals(
    here: PoisonGuard, there: PoisonGuard
) -> None:
    """Guards against a request that goes on while others were in its first crashes."""
    crash_both(here, there)
    exchange(here, there, SECOND_AT + REPORT_S)
    assert here.review_suspects(SECOND_AT + REPORTS_S) == []
    assert crash(here, THREE, "poison", THIRD_AT) == ["poison"]
    exchange(here, there, THIRD_AT + REPORT_S)
    assert set(there.quarantined) == {"poison"}
    assert there.review_suspects(THIRD_AT + REPORTS_S) == []
    assert set(there.quarantined) == {"poison"}


def test_request_that_one_entry_alone_saw_waits_and_is_quarantined(
    here: PoisonGuard,
) -> None:
    """Guards against a third crash while reports are awaited, or without any."""
    for server, at in ((ONE, FIRST_AT), (TWO, SECOND_AT)):
        assert crash(here, server, "poison", at) == []
    assert here.is_held("poison", SECOND_AT + REPORTS_S - 0.1)
    assert here.quarantine_left_s("poison", SECOND_AT + REPORTS_S - 0.1) is None
    assert here.quarantine_left_s("poison", SECOND_AT + REPORTS_S) == QUARANTINE_S
    assert here.review_suspects(SECOND_AT + REPORTS_S) == ["poison"]
    assert Quarantine("poison", QUARANTINE_S) in here.pop_updates()


def test_other_crashes_during_the_wait_leave_a_likely_cause(here: PoisonGuard) -> None:
    """Guards against a verdict that is dropped as servers crash without it meanwhile."""
    for server, at in ((ONE, FIRST_AT), (TWO, SECOND_AT)):
        here.record_crash(server, [InFlight("poison", 0.1)], at)
    for server, name, at in ((THREE, "a", 0.2), (FOUR, "b", 0.4)):
        here.record_crash(server, [InFlight(name, 0.1)], SECOND_AT + at)
    assert here.review_suspects(SECOND_AT + REPORTS_S) == ["poison"]


def test_report_that_comes_after_the_verdict_lifts_it(
    here: PoisonGuard, there: PoisonGuard
) -> None:
    """Guards against a request that stays refused, as a report was late."""
    crash_both(here, there)
    now = SECOND_AT + REPORTS_S
    for guard in (here, there):
        assert len(guard.review_suspects(now)) == 1
    exchange(here, there, now + 5.0)
    for guard in (here, there):
        guard.review_suspects(now + 5.0)
        assert not guard.quarantined
    released = [n for n in there.pop_notices() if isinstance(n, ReleaseNotice)]
    assert ReleaseNotice("question", (ONE, TWO)) in released
    assert crash(here, THREE, "poison", now + 6.0) == ["poison"]


def test_report_does_not_lift_a_quarantine_by_three_crashes(
    here: PoisonGuard, there: PoisonGuard
) -> None:
    """Guards against late reports by which a request crashes servers again."""
    crash_both(here, there)
    here.review_suspects(SECOND_AT + REPORTS_S)
    # A copy that was running when the verdict came.
    here.record_crash(THREE, [InFlight("poison", 0.5)], THIRD_AT)
    exchange(here, there, THIRD_AT + 5.0)
    for guard in (here, there):
        guard.review_suspects(THIRD_AT + 5.0)
        assert set(guard.quarantined) == {"poison"}


def reports_of_two_rivals() -> list[PoisonUpdate]:
    """Return what two entries report that had a request each on two servers."""
    here, there = (PoisonGuard(announces_suspects=False) for _ in range(2))
    crash_both(here, there)
    reports: list[PoisonUpdate] = []
    for guard in (here, there):
        guard.review_suspects(SECOND_AT + REPORTS_S)
        for item in reports_of(guard, SECOND_AT + REPORTS_S):
            if item not in reports:
                reports.append(item)
    return reports


def test_reports_lead_to_one_verdict_in_any_order_and_doubled() -> None:
    """Guards against entries that decide by which report came first."""
    reports = reports_of_two_rivals()
    assert len(reports) == 4
    for order in permutations(reports):
        guard = PoisonGuard(announces_suspects=False)
        now = SECOND_AT + REPORTS_S
        for item in [*order, *order]:
            guard.apply_updates([item], now)
            guard.review_suspects(now)
        assert not guard.quarantined
        assert set(guard.suspects) == {"poison", "question"}


def test_common_request_is_no_rival(here: PoisonGuard, there: PoisonGuard) -> None:
    """Guards against a lookup of many callers that is in all crashes, and hides one."""
    here.record_completion("question", FIRST_AT - 5.0)
    crash_both(here, there)
    exchange(here, there, SECOND_AT + REPORT_S)
    assert here.review_suspects(SECOND_AT + REPORTS_S) == ["poison"]


def test_rival_that_is_quarantined_explains_the_crashes(
    here: PoisonGuard, there: PoisonGuard
) -> None:
    """Guards against a verdict on a request once the cause of its crashes is known."""
    crash_both(here, there)
    crash(here, THREE, "poison", SECOND_AT + 0.2)
    exchange(here, there, SECOND_AT + REPORT_S)
    assert set(there.quarantined) == {"poison"}
    assert there.review_suspects(SECOND_AT + REPORTS_S) == []
    assert not there.is_held("question", SECOND_AT + REPORTS_S)


def test_request_on_several_lost_servers_is_quarantined_despite_rivals(
    here: PoisonGuard,
) -> None:
    """Guards against another loss of all servers of a pool while rivals are compared."""
    names = frozenset(["poison", "other"])
    crashes = [
        CrashRecord(FIRST_AT + n / 10, s, names) for n, s in enumerate((ONE, TWO))
    ]
    assert here.record_lost_servers(crashes, FIRST_AT + 1.0) == ["other", "poison"]
    here.review_suspects(FIRST_AT + 5.0)
    assert set(here.quarantined) == names


def test_withdrawn_crash_lifts_a_verdict_that_rested_on_it(here: PoisonGuard) -> None:
    """Guards against a request that stays refused for a crash that was none."""
    for server, at in ((ONE, FIRST_AT), (TWO, SECOND_AT)):
        crash(here, server, "poison", at)
    assert here.review_suspects(SECOND_AT + REPORTS_S) == ["poison"]
    here.withdraw_crash(TWO, SECOND_AT)
    assert here.quarantine_left_s("poison", SECOND_AT + 5.0) is None
    assert here.review_suspects(SECOND_AT + 5.0) == []


def test_copy_that_ran_before_the_first_crash_is_a_likely_cause_of_the_next(
    here: PoisonGuard,
) -> None:
    """Guards against a crash counted against a suspect beside an older deadly copy."""
    here.record_crash(
        ONE, [InFlight("poison", 1.5), InFlight("question", 0.5)], FIRST_AT
    )
    here.record_start("question", TWO, FIRST_AT + 0.3)
    copies = [InFlight("poison", 1.0), InFlight("question", 0.2)]
    here.record_crash(TWO, copies, FIRST_AT + 0.5)
    assert here.review_suspects(FIRST_AT + 0.5 + REPORTS_S) == []
    assert not any(
        here.suspects[name].crashes[1].sole for name in ("poison", "question")
    )


@pytest.mark.parametrize("ran_s", [1.0, 1.002])
def test_crash_counts_against_a_copy_that_ran_as_long_as_the_one_before(
    here: PoisonGuard, ran_s: float
) -> None:
    """Guards against a deadly request that is past its probation when it crashes a
    server again, so that the crash counts against another suspect alone."""
    here.record_crash(
        ONE, [InFlight("poison", 1.0), InFlight("question", 0.5)], FIRST_AT
    )
    # Two copies on one server: the later one is cut early.
    copies = [InFlight("poison", ran_s), InFlight("poison", 0.3)]
    here.record_crash(TWO, copies, FIRST_AT + 0.5)
    here.record_start("question", THREE, FIRST_AT + 1.0)
    copies = [InFlight("poison", ran_s), InFlight("question", 0.2)]
    assert here.record_crash(THREE, copies, FIRST_AT + 1.2) == ["poison"]


def test_entry_that_starts_compares_the_reports_that_it_reads(
    here: PoisonGuard,
) -> None:
    """Guards against a verdict by the first of the rows that a new entry reads."""
    crashes = (Crash(ONE, 50.0), Crash(TWO, 49.0))
    updates = [Suspicion(name, crashes) for name in ("poison", "question")]
    assert here.apply_updates(updates, 100.0) == []
    assert here.review_suspects(100.0) == []
    alone = PoisonGuard(announces_suspects=False)
    alone.apply_updates(updates[:1], 100.0)
    assert alone.quarantine_left_s("poison", 100.0) == QUARANTINE_S
    assert alone.review_suspects(100.0) == ["poison"]
