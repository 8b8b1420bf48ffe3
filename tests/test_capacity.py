"""Capacity planner: number, kind and zone of the servers ordered or drained."""

import math
from collections import Counter

import pytest

from godwitmast.capacity.forecast import Forecast, Trend
from godwitmast.capacity.messages import (
    ClassDemand,
    Decision,
    Drain,
    Order,
    PlanInput,
    Release,
    ServerState,
    ServerView,
    Undrain,
)
from godwitmast.capacity.planner import (
    DRAIN_INTERVAL_S,
    REFUSAL_BACKOFF_S,
    SHRINK_DELAY_S,
    Planner,
)
from godwitmast.capacity.sizing import (
    HIGH_TIER_UTILISATION,
    cut_to_budget,
    servers_needed,
    split_by_kind,
)
from godwitmast.config.document import CapacityPolicy
from godwitmast.load.fleet_model import DECODE_STEP_S
from godwitmast.load.moves import simulate_moves
from godwitmast.load.spend import Trial, run_trial
from godwitmast.standins.engine_model import EngineModel, Sequence
from godwitmast.types import BackendId, ClassName, PoolName, ZoneName

ZONES = [ZoneName(name) for name in ("a", "b", "c")]
INTENTION = CapacityPolicy(min_servers=2, max_servers=20)


def make_planner(intention: CapacityPolicy = INTENTION) -> Planner:
    return Planner(PoolName("m"), ZONES, intention)


def server(
    number: int, zone: str, kind: str, state: ServerState = ServerState.SERVING
) -> ServerView:
    return ServerView(BackendId(f"s{number}"), ZoneName(zone), kind, state, 1)  # type: ignore[arg-type]


def fleet(on_demand: int, cheap: int) -> list[ServerView]:
    kinds = ["on_demand"] * on_demand + ["cheap"] * cheap
    return [server(n, ZONES[n % 3], kind) for n, kind in enumerate(kinds)]


def demand(high: float, low: float = 0.0, backlog: float = 0.0) -> list[ClassDemand]:
    return [
        ClassDemand(ClassName("quick"), 1, high),
        ClassDemand(ClassName("long"), 3, low, backlog),
    ]


def orders(decisions: list[Decision]) -> list[Order]:
    return [d for d in decisions if isinstance(d, Order)]


def run_steadily(planner: Planner, view: PlanInput, seconds: float) -> list[Decision]:
    """Repeat the same view for some time; return all decisions."""
    decided: list[Decision] = []
    for step in range(int(seconds / 10)):
        decided += planner.step(view._replace(now=view.now + 10 * step))
    return decided


def test_more_work_orders_servers_in_every_zone_most_of_them_cheap() -> None:
    decided = orders(make_planner().step(PlanInput(0.0, demand(2.0, 2.0), [])))
    assert Counter(o.kind for o in decided)["cheap"] >= len(decided) / 2
    assert len({o.zone for o in decided}) >= 2


def test_number_of_servers_starting_at_once_is_limited() -> None:
    decided = orders(make_planner().step(PlanInput(0.0, demand(6.0, 6.0), [])))
    assert len(decided) == math.ceil(0.34 * 18)
    waiting = [
        server(n, o.zone, o.kind, ServerState.ORDERED) for n, o in enumerate(decided)
    ]
    assert not orders(make_planner().step(PlanInput(0.0, demand(6.0, 6.0), waiting)))


def test_a_backlog_orders_servers_without_a_rise_in_arrivals() -> None:
    without_backlog = make_planner().step(PlanInput(0.0, demand(1.0), fleet(1, 1)))
    with_backlog = make_planner().step(
        PlanInput(0.0, demand(1.0, 0.0, 120.0), fleet(1, 1))
    )
    assert not orders(without_backlog)
    assert orders(with_backlog)


@pytest.mark.parametrize("total", range(1, 13))
@pytest.mark.parametrize("high", [0.5, 2.0, 4.0, 8.0])
def test_losing_the_largest_cheap_zone_leaves_capacity_for_the_high_tiers(
    total: int, high: float
) -> None:
    mix = split_by_kind(total, high, 3, INTENTION._replace(cheap_share=1.0))
    assert mix.total == total
    survivors = total - math.ceil(mix.cheap / 3)
    assert mix.cheap == 0 or survivors * HIGH_TIER_UTILISATION >= high


def test_a_server_is_drained_only_after_it_was_not_needed_for_the_shrink_delay() -> (
    None
):
    planner = make_planner()
    planner.step(PlanInput(0.0, demand(3.0), fleet(2, 3)))
    early = run_steadily(
        planner, PlanInput(10.0, demand(0.5), fleet(2, 3)), SHRINK_DELAY_S - 100
    )
    assert not early
    late = run_steadily(
        planner, PlanInput(SHRINK_DELAY_S, demand(0.5), fleet(2, 3)), 300
    )
    drains = [d for d in late if isinstance(d, Drain)]
    assert 1 <= len(drains) <= 300 / DRAIN_INTERVAL_S


def test_noise_changes_the_fleet_at_most_once() -> None:
    planner = make_planner()
    servers = fleet(2, 3)
    moves: list[Decision] = []
    for step in range(1000):
        work = 2.4 + 0.3 * math.sin(step * 1.7)
        decided = planner.step(PlanInput(step * 10.0, demand(work), servers))
        gone = {d.backend_id for d in decided if isinstance(d, Drain)}
        servers = [s for s in servers if s.backend_id not in gone]
        moves += decided
    assert len(moves) <= 1, moves


def test_a_draining_server_is_undrained_before_a_new_one_is_ordered() -> None:
    servers = [*fleet(1, 1), server(9, "c", "cheap", ServerState.DRAINING)]
    decided = make_planner().step(PlanInput(0.0, demand(2.0), servers))
    assert decided == [Undrain(BackendId("s9"))]


def test_a_drained_server_is_released_only_when_nothing_runs_there() -> None:
    busy = server(9, "c", "cheap", ServerState.DRAINING)
    planner = make_planner()
    assert not planner.step(PlanInput(0.0, demand(0.5), [*fleet(1, 1), busy]))
    empty = busy._replace(running=0)
    decided = planner.step(PlanInput(10.0, demand(0.5), [*fleet(1, 1), empty]))
    assert decided == [Release(BackendId("s9"))]


def test_an_evicted_zone_is_replaced_elsewhere_at_once() -> None:
    """Guards against a queue that grows until evicted servers are replaced.

    The platform gives notice to the cheap servers of a zone while they serve. A
    replacement in the same zone would be refused or evicted next, so other zones have
    to be asked in the same round.
    """
    servers = [
        s._replace(state=ServerState.LEAVING) if s.zone == "a" else s
        for s in fleet(2, 4)
    ]
    decided = orders(make_planner().step(PlanInput(0.0, demand(3.5), servers)))
    assert decided
    assert all(o.zone != "a" for o in decided if o.kind == "cheap")


def test_an_unavailable_cheap_server_is_replaced_on_demand_within_the_budget() -> None:
    """Every zone refuses cheap servers during the same minutes.

    Waiting for them would let the queue grow; ordering on demand without a bound would
    exceed the budget.
    """
    planner = make_planner(INTENTION._replace(budget_per_hour=3.0))
    for zone in ZONES:
        planner.record_cheap_refusal(zone, 0.0)
    view = PlanInput(1.0, demand(3.0), fleet(2, 0))
    decided = orders(planner.step(view))
    assert [o.kind for o in decided] == ["on_demand"]
    later = orders(planner.step(view._replace(now=REFUSAL_BACKOFF_S + 1)))
    assert later[0].kind == "cheap"


def test_the_budget_cuts_the_plan_but_never_below_the_minimum() -> None:
    low_budget = INTENTION._replace(budget_per_hour=0.1)
    mix = cut_to_budget(split_by_kind(10, 1.0, 3, low_budget), low_budget)
    assert mix.total == low_budget.min_servers


def test_old_reports_order_and_release_nothing() -> None:
    view = PlanInput(0.0, demand(9.0), fleet(1, 1), age_s=31.0)
    assert make_planner().step(view) == []


def test_one_silent_server_is_replaced_but_a_silent_fleet_is_not() -> None:
    """Guards against a second fleet ordered because of a network fault.

    Reports that call half the fleet silent are caused by a faulty path more often than
    by failed servers.
    """
    servers = fleet(2, 4)
    one = [servers[0]._replace(state=ServerState.SILENT), *servers[1:]]
    assert len(orders(make_planner().step(PlanInput(0.0, demand(4.0), one)))) == 1
    half = [s._replace(state=ServerState.SILENT) for s in servers[:3]] + servers[3:]
    assert make_planner().step(PlanInput(0.0, demand(4.0), half)) == []


def test_a_rising_trend_is_extrapolated_and_a_falling_one_is_not() -> None:
    trend = Trend(1.0)
    for second in range(10, 600, 10):
        trend.observe(1.0 + second / 300, float(second))
    assert trend.extrapolate(180.0, 0.0) == pytest.approx(
        1.0 + (590 + 180) / 300, rel=0.1
    )
    for second in range(600, 900, 10):
        trend.observe(3.0 - (second - 600) / 300, float(second))
    assert trend.extrapolate(180.0, 0.0) == pytest.approx(trend.level)


def test_yesterdays_evening_is_expected_today() -> None:
    name = ClassName("quick")
    forecast = Forecast(lead_s=900.0, sigmas=0.0)
    before_the_evening = 86_400 + int(17.9 * 3600)
    for step in range(0, before_the_evening, 30):
        evening = 18 * 3600 <= step % 86_400 < 22 * 3600
        forecast.observe(name, 4.0 if evening else 1.0, float(step), float(step))
    assert forecast.predict(name, before_the_evening) == pytest.approx(4.0, rel=0.05)


def test_bounds_of_the_intention_hold_for_any_work() -> None:
    assert servers_needed(0.0, 0.0, INTENTION) == INTENTION.min_servers
    assert servers_needed(1e6, 0.0, INTENTION) == INTENTION.max_servers


def test_server_speed_in_the_plan_matches_the_engine_model() -> None:
    engine = EngineModel()
    for number in range(96):
        engine.submit(Sequence(str(number), 400, 200))
    took = 0.0
    while engine.busy:
        took += engine.step().duration_s
    work = 96 * (400 / INTENTION.prompt_tokens_per_s + 200 / 1400)
    assert took == pytest.approx(work, rel=0.1)
    assert pytest.approx(INTENTION.output_tokens_per_s, rel=0.01) == 32 / DECODE_STEP_S


def test_a_day_of_the_trust_costs_less_and_loses_no_class() -> None:
    plan = run_trial(Trial("trust", "plan", 1, zone_loss=True))
    fixed = run_trial(Trial("trust", "fixed", 1, zone_loss=True))
    assert plan.spend < 0.7 * fixed.spend
    for name, seen in plan.attainment.items():
        assert seen >= fixed.attainment[name] - 0.0005
    assert max(plan.zone_loss["question"], plan.zone_loss["summary"]) <= 1.0
    assert plan.cheap_work >= 0.5


def test_a_moved_cache_saves_the_surviving_server_the_prefill() -> None:
    recomputed, moved = simulate_moves(4096, None), simulate_moves(4096, 100.0)
    assert recomputed.resident_gap_s > 2 * moved.resident_gap_s
    assert moved.pause_worst_s < recomputed.pause_worst_s
    slow = simulate_moves(4096, 10.0)
    assert slow.pause_worst_s > recomputed.pause_worst_s
