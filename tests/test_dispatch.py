"""The components of dispatch by themselves: limits, choice, ejection, affinity,
budgets."""

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitmast.dispatch.affinity import PrefixOrders, rendezvous, within_bound
from godwitmast.dispatch.backends import BackendTable
from godwitmast.dispatch.health import Condition, may_eject_as_slow
from godwitmast.dispatch.limits import MIN_LIMIT, START_LIMIT, ServerLimit
from godwitmast.dispatch.messages import BackendSpec, LoadReport, RequestSpec
from godwitmast.dispatch.other_load import HALF_LIFE_S, OtherLoad
from godwitmast.dispatch.retries import (
    BUDGET_CAPACITY,
    RetryBudget,
    RetryBudgets,
    RetryQueue,
    SharedRetryBudgets,
    backoff_s,
)
from godwitmast.dispatch.router_count import COUNT_RETENTION_S
from godwitmast.types import BackendId, PoolName, RequestId, ZoneName

POOL = "godwit-lm"
TARGET_S = 0.04


def spec(number: int, zone: str = "a") -> BackendSpec:
    name = BackendId(f"engine-{number}")
    return BackendSpec(name, ZoneName(zone), frozenset([POOL]))


def table(*specs: BackendSpec) -> BackendTable:
    backends = BackendTable(ZoneName("a"), seed=5)
    backends.update(list(specs), 0.0)
    return backends


def request(prefix: str = "") -> RequestSpec:
    return RequestSpec(
        RequestId("r"),
        "arima",  # type: ignore[arg-type]
        "question",  # type: ignore[arg-type]
        POOL,  # type: ignore[arg-type]
        0.0,
        prefix=prefix,
    )


def fill(
    backends: BackendTable, count: int, now: float = 0.0, prefix: str = ""
) -> Counter:
    """Start requests while there is room, and count them by server."""
    for _ in range(count):
        chosen = backends.choose(request(prefix), set(), now)
        if chosen is None:
            break
        backends.add_request(chosen, now)
    return Counter({name: state.in_flight for name, state in backends.states.items()})


@pytest.mark.parametrize(("step_s", "each_s"), [(0.01, 0.0004), (0.02, 0.002)])
def test_limit_settles_where_the_engine_is_just_within_the_target(
    step_s: float, each_s: float
) -> None:
    limit = ServerLimit()
    seen = []
    for window in range(200):
        used = limit.value
        limit.record_gap(step_s + each_s * used, used, TARGET_S)
        if window > 100:
            seen.append(used)
    wanted = (0.9 * TARGET_S - step_s) / each_s
    assert 0.8 * wanted <= min(seen)
    assert max(seen) <= 1.1 * wanted


def test_limit_is_unchanged_while_unused_and_never_below_its_minimum() -> None:
    limit = ServerLimit()
    for _ in range(50):
        limit.record_gap(0.01, 1.0, TARGET_S)
    assert limit.value == START_LIMIT
    seen = []
    for _ in range(200):
        limit.record_gap(0.05 * limit.value, limit.value, TARGET_S)
        seen.append(limit.value)
    assert min(seen) >= MIN_LIMIT
    assert max(seen[20:]) < START_LIMIT / 2


def test_limit_falls_only_after_two_reports_of_waiting_requests() -> None:
    limit = ServerLimit(20.0)
    limit.record_report(8, 8)
    assert limit.value == 20.0
    limit.record_report(8, 8)
    assert limit.value == pytest.approx(18.0)
    limit.record_report(8, 0)
    limit.record_report(8, 8)
    assert limit.value == pytest.approx(18.0)


def test_report_decays_with_age_and_an_older_one_is_dropped() -> None:
    load, rng = OtherLoad(), random.Random(1)
    load.record_report(LoadReport(8, 0, age_s=1.0), 0, 16.0, 10.0, rng)
    assert load.estimate(9.0) == pytest.approx(8.0)
    assert load.estimate(9.0 + HALF_LIFE_S) == pytest.approx(4.0)
    load.record_report(LoadReport(1, 0, age_s=5.0), 0, 16.0, 10.5, rng)
    assert load.estimate(9.0) == pytest.approx(8.0)


def test_own_requests_in_a_report_are_not_counted_twice() -> None:
    load, rng = OtherLoad(), random.Random(1)
    for second in range(10):
        load.update_own(6, float(second))
    load.record_report(LoadReport(6, 0), 6, 16.0, 10.0, rng)
    assert load.estimate(10.0) == pytest.approx(0.0, abs=0.1)


def test_entries_with_the_same_report_do_not_all_use_the_whole_room() -> None:
    """Nine entries learn that a server has room for 8 more, and each has many requests.

    If each relied on the report as it is, 72 requests would be sent at once.
    """
    taken = 0
    for seed in range(9):
        backends = BackendTable(ZoneName("a"), seed)
        backends.update([spec(1)], 0.0)
        backends.states[BackendId("engine-1")].limit.value = 16.0
        backends.record_load(BackendId("engine-1"), LoadReport(8, 0), 0.0)
        taken += sum(fill(backends, 100).values())
    assert 4 <= taken <= 16


def test_own_zone_is_preferred_until_its_utilisation_is_much_higher() -> None:
    backends = table(spec(1), spec(2), spec(3, "b"), spec(4, "b"))
    counts = fill(backends, 4)
    assert counts["engine-3"] == counts["engine-4"] == 0
    counts = fill(backends, 100)
    assert set(counts.values()) == {START_LIMIT}
    assert not backends.has_room(POOL, 0.0)


def test_two_random_choices_balance_servers() -> None:
    backends = table(*(spec(n) for n in range(20)))
    for state in backends.states.values():
        state.limit.value = 100.0
    counts = fill(backends, 400)
    assert max(counts.values()) - min(counts.values()) <= 6


def test_prefix_stays_on_its_server_until_that_is_over_the_bound() -> None:
    backends = table(*(spec(n) for n in range(6)))
    for state in backends.states.values():
        state.limit.value = 100.0
    hot = fill(backends, 60, prefix="hot")
    assert hot.most_common(1)[0][1] > 60 / 6
    assert max(hot.values()) <= 60 / 6 * 1.25 + 2


@given(st.integers(2, 40), st.integers(0, 1000))
@settings(derandomize=True, max_examples=50)
def test_server_that_leaves_moves_only_its_own_prefixes(servers: int, key: int) -> None:
    names = [f"engine-{n}" for n in range(servers)]
    before = rendezvous(f"p{key}", names)
    left = [name for name in names if name != before[-1]]
    assert rendezvous(f"p{key}", left)[: len(before) - 1] == before[:-1]
    assert PrefixOrders().order(f"p{key}", names) == before


def test_load_bound_leaves_room_for_one_at_small_loads() -> None:
    assert within_bound(0, 0.0)
    assert not within_bound(1, 0.0)
    assert within_bound(20, 16.0)
    assert not within_bound(21, 16.0)


def run_windows(backends: BackendTable, now: float, gaps: dict[str, float]) -> float:
    """Let each server in rotation send eight tokens at its gap, for five seconds."""
    end = now + 5.0
    while now < end:
        now += 0.02
        for name, gap_s in gaps.items():
            state = backends.states[BackendId(name)]
            if (
                state.health.is_in_rotation()
                and now - state.last_token_at >= gap_s - 1e-9
            ):
                backends.record_gap(BackendId(name), POOL, gap_s, 8, now)
    return now


def test_straggler_is_ejected_and_readmitted_after_a_probe() -> None:
    backends = table(*(spec(n) for n in range(4)))
    fast = {f"engine-{n}": 0.02 * 8 for n in range(4)}
    now = run_windows(backends, 0.0, fast)
    now = run_windows(backends, now, {**fast, "engine-2": 0.2 * 8})
    slow = backends.states[BackendId("engine-2")]
    assert slow.health.condition is Condition.SLOW
    assert backends.choose(request(), {f"engine-{n}" for n in (0, 1, 3)}, now) is None  # type: ignore[arg-type]
    now = slow.health.ejected_until + 0.1
    backends.tick(now)
    assert backends.choose(request(), set(), now, may_probe=True) == "engine-2"
    backends.add_request(BackendId("engine-2"), now)
    for _ in range(40):
        now += 0.02
        backends.record_gap(BackendId("engine-2"), POOL, 0.02, 1, now)
    assert slow.health.is_in_rotation()
    assert slow.limit.value < START_LIMIT


def test_when_all_are_slow_none_is_a_straggler() -> None:
    backends = table(*(spec(n) for n in range(4)))
    now = run_windows(backends, 0.0, {f"engine-{n}": 0.02 * 8 for n in range(4)})
    run_windows(backends, now, {f"engine-{n}": 0.2 * 8 for n in range(4)})
    out = [s for s in backends.states.values() if not s.health.is_in_rotation()]
    assert len(out) <= 1


@pytest.mark.parametrize(
    ("out", "servers", "may"),
    [(0, 1, False), (0, 2, True), (1, 2, False), (1, 6, True), (2, 6, False)],
)
def test_no_more_than_a_third_is_ejected_as_slow(
    out: int, servers: int, may: bool
) -> None:
    assert may_eject_as_slow(out, servers) is may


def test_down_server_is_probed_by_one_request_whose_answer_readmits_it() -> None:
    backends = table(spec(1), spec(2))
    down = BackendId("engine-1")
    backends.record_connection_failure(down, 0.0)
    assert set(fill(backends, 5)) - {"engine-2"} == {"engine-1"}
    assert backends.states[down].in_flight == 0
    now = backends.states[down].health.ejected_until
    backends.tick(now)
    assert backends.choose(request(), set(), now, may_probe=True) == down
    backends.add_request(down, now)
    assert backends.choose(request(), set(), now, may_probe=True) != down
    backends.record_success(down, None, now + 1)
    assert backends.states[down].health.is_in_rotation()


def test_server_that_stays_down_is_probed_less_and_less_often() -> None:
    backends = table(spec(1), spec(2))
    state, now, waits = backends.states[BackendId("engine-1")], 0.0, []
    for _ in range(5):
        backends.record_connection_failure(BackendId("engine-1"), now)
        waits.append(state.health.ejected_until - now)
        now = state.health.ejected_until
        backends.tick(now)
    assert waits == sorted(waits)
    assert waits[-1] > 5 * waits[0]


def test_service_without_tokens_is_limited_by_its_latency() -> None:
    limit = ServerLimit()
    limit.record_latency(0.05, 1.0)
    for _ in range(2000):
        used = limit.value
        limit.record_latency(0.05 * max(1.0, used / 10), used)
    assert 15 <= limit.value <= 21


def test_target_that_no_server_can_meet_does_not_starve_the_pool() -> None:
    limit = ServerLimit()
    for _ in range(300):
        used = limit.value
        limit.record_gap(0.02 + 0.001 * used, used, 0.005)
    assert limit.value >= 6


def test_budget_is_bounded_and_refilled_by_successes() -> None:
    budget = RetryBudget()
    assert sum(budget.try_spend() for _ in range(500)) == BUDGET_CAPACITY
    for _ in range(95):
        budget.record_success()
    assert sum(budget.try_spend() for _ in range(500)) == 9


def test_backoff_grows_with_jitter_and_a_suspect_waits_for_its_announcement() -> None:
    rng = random.Random(1)
    first = [backoff_s(1, False, rng) for _ in range(200)]
    third = [backoff_s(3, False, rng) for _ in range(200)]
    assert max(first) < 0.06 < max(third) < 1.0
    assert len(set(first)) > 100
    assert min(backoff_s(1, True, rng) for _ in range(200)) >= 0.1


def test_request_removed_from_the_retry_queue_is_not_due() -> None:
    queue = RetryQueue()
    for name, at in (("a", 1.0), ("b", 2.0), ("c", 3.0)):
        queue.add(RequestId(name), at)
    queue.discard(RequestId("a"))
    assert queue.pop_due(2.5) == ["b"]
    queue.add(RequestId("c"), 9.0)
    assert queue.pop_due(5.0) == []
    assert queue.pop_due(9.0) == ["c"]


POOL = PoolName("godwit-lm")


def spend(budgets: RetryBudgets) -> int:
    """Return how many retries of one pool can be made at once."""
    spent = 0
    while budgets.for_pool(POOL).try_spend():
        spent += 1
    return spent


@pytest.mark.parametrize("routers", [6, 9, 24, 60, 195, 350])
def test_routers_that_all_retry_at_once_stay_within_the_allowance(
    routers: int,
) -> None:
    """Every VM loses the same servers in one second, and spends its whole share."""
    allowance = 430.0
    fleet = [SharedRetryBudgets(allowance, 0.1) for _ in range(routers)]
    for budgets in fleet:
        budgets.set_router_count(routers, 0.0)
    assert sum(spend(budgets) for budgets in fleet) <= allowance


def test_shares_of_partitioned_routers_are_not_redistributed_for_a_while() -> None:
    """A zone is partitioned: its VMs are no longer counted, and spend what they had."""
    budgets = SharedRetryBudgets(600.0, 0.1)
    budgets.set_router_count(100, 0.0)
    budgets.set_router_count(80, 1.0)
    assert budgets.for_pool(POOL).capacity == pytest.approx(600.0 / 100 * 3 / 4)
    budgets.set_router_count(100, 10.0)
    budgets.set_router_count(80, 10.0 + COUNT_RETENTION_S)
    assert budgets.for_pool(POOL).capacity == pytest.approx(600.0 / 80 * 3 / 4)


def test_router_without_a_count_spends_few_retries() -> None:
    """Hundreds of VMs start at once, and none has counted the others yet."""
    budgets = SharedRetryBudgets(430.0, 0.1)
    budgets.set_router_count(0, 0.0)
    assert spend(budgets) <= 430.0 / 60
    budgets.set_router_count(300, 1.0)
    assert budgets.for_pool(POOL).remaining <= budgets.capacity


def test_additional_routers_lower_the_remaining_retries_of_each() -> None:
    budgets = SharedRetryBudgets(430.0, 0.1)
    budgets.set_router_count(100, 0.0)
    budget = budgets.for_pool(POOL)
    budgets.set_router_count(200, 1.0)
    assert budget.remaining == budget.capacity == pytest.approx(430.0 / 200 * 3 / 4)
