"""The model of the servers' speed: what is learned, from whom, and for how long."""

import math
import random

import pytest

from godwitmast.measurements.messages import FleetSpeed, SpeedSample
from godwitmast.measurements.view import EmptyView
from godwitmast.speed.demand import GroupMix
from godwitmast.speed.model import PoolSpeed
from godwitmast.speed.prediction import (
    Cached,
    Copy,
    Prediction,
    PrefillAgain,
    Queue,
    Rates,
    Requests,
    Targets,
    cost_s,
    predict,
    prefill_tokens,
    risk,
)
from godwitmast.speed.quantile import Quantile, StepQuantile
from godwitmast.speed.spreading import Share, draw
from godwitmast.types import BackendId

FAST, SLOW, NEW = BackendId("fast"), BackendId("slow"), BackendId("new")
OTHER = BackendId("other")
STEP_S, SLOW_FACTOR = 0.02, 2.4


class FixedView(EmptyView):
    """What all VMs measured of one start of each server."""

    def __init__(self, known: dict[tuple[BackendId, int], FleetSpeed]) -> None:
        self.known = known

    def speed_of(
        self, backend_id: BackendId, incarnation: int, now: float
    ) -> FleetSpeed | None:
        return self.known.get((backend_id, incarnation))


def measure(
    pool: PoolSpeed, backend_id: BackendId, factor: float, begin: float, end: float
) -> None:
    """Let a server answer two requests a second, of 20 events each."""
    server = pool.server(backend_id, 0)
    at = begin
    while at < end:
        pool.record_first_token(server, 2000, factor * 0.06, at)
        for _ in range(19):
            pool.record_gap(server, factor * STEP_S, at)
        at += 0.5


@pytest.fixture
def pool() -> PoolSpeed:
    """A pool with a fast and a slow server, after ten seconds."""
    pool = PoolSpeed()
    for second in range(10):
        measure(pool, FAST, 1.0, second, second + 1)
        measure(pool, SLOW, SLOW_FACTOR, second, second + 1)
    return pool


def test_lasting_difference_is_learned_over_tens_of_requests(pool: PoolSpeed) -> None:
    """Guards against the same load on a server that takes 2.4 times as long."""
    slow = pool.slowness(SLOW, 0, EmptyView(), 10.0)
    fast = pool.slowness(FAST, 0, EmptyView(), 10.0)
    assert slow / fast == pytest.approx(SLOW_FACTOR, rel=0.35)


def test_one_slow_request_changes_little() -> None:
    """Guards against a server that is avoided for one prompt that waited there."""
    pool = PoolSpeed()
    measure(pool, FAST, 1.0, 0.0, 10.0)
    server = pool.server(SLOW, 0)
    pool.record_first_token(server, 2000, 1.0, 10.0)
    assert pool.slowness(SLOW, 0, EmptyView(), 10.0) < 1.3


def test_unknown_server_is_as_fast_as_usual(pool: PoolSpeed) -> None:
    """Guards against new servers that get all requests or none."""
    slow = pool.slowness(SLOW, 0, EmptyView(), 10.0)
    fast = pool.slowness(FAST, 0, EmptyView(), 10.0)
    assert fast <= pool.slowness(NEW, 0, EmptyView(), 10.0) <= slow


def test_statement_counts_at_once_and_for_a_moment(pool: PoolSpeed) -> None:
    """Guards against a server that is avoided for seconds after 0.6 slow ones."""
    usual = pool.slowness(FAST, 0, EmptyView(), 10.0)
    pool.record_statement(pool.server(FAST, 0), 250, 10.0)
    assert pool.slowness(FAST, 0, EmptyView(), 10.0) == pytest.approx(2.5 * usual)
    later = pool.slowness(FAST, 0, EmptyView(), 12.0)
    assert later < 1.2 * usual


def test_late_statements_do_not_replace_later_ones() -> None:
    """Guards against reports that arrive out of order or twice."""
    pool = PoolSpeed()
    server = pool.server(FAST, 0)
    pool.record_statement(server, 100, 5.0)
    for percent, made_at in [(250, 4.0), (250, 5.0), (0, 6.0), (-3, 6.0)]:
        pool.record_statement(server, percent, made_at)
    assert server.stated.expect(5.0) == 1.0


def test_usual_statement_of_a_slow_server_does_not_count_twice() -> None:
    """Guards against a server that states its lasting slowness, and shows it."""
    pool = PoolSpeed()
    for second in range(20):
        measure(pool, FAST, 1.0, second, second + 1)
        pool.record_statement(pool.server(SLOW, 0), 240, float(second))
        measure(pool, SLOW, SLOW_FACTOR, second, second + 0.1)
    slow = pool.slowness(SLOW, 0, EmptyView(), 20.0)
    fast = pool.slowness(FAST, 0, EmptyView(), 20.0)
    assert slow / fast < 1.3 * SLOW_FACTOR


def test_other_vms_measurements_count_by_their_age() -> None:
    """Guards against a VM that learns each server by its own few requests."""
    sample = SpeedSample(step_ms=1000 * SLOW_FACTOR * STEP_S, weight=100.0)
    slowness = {}
    for trust in (1.0, 0.1, 0.0):
        pool = PoolSpeed()
        measure(pool, FAST, 1.0, 0.0, 10.0)
        other = SpeedSample(step_ms=1000 * STEP_S, weight=100.0)
        known = {
            (SLOW, 0): FleetSpeed(sample, 1.0, trust),
            (FAST, 0): FleetSpeed(other, 1.0, trust),
        }
        view = FixedView(known)
        pool.slowness(FAST, 0, view, 10.0)
        slowness[trust] = pool.slowness(SLOW, 0, view, 10.0)
    assert slowness[1.0] > 1.8
    assert 1.1 < slowness[0.1] < slowness[1.0]
    assert slowness[0.0] == pytest.approx(1.0, abs=0.05)


@pytest.mark.parametrize("order", [(FAST, OTHER, SLOW), (SLOW, OTHER, FAST)])
def test_vms_with_the_same_reports_agree_on_what_is_usual(
    order: tuple[BackendId, ...],
) -> None:
    """Guards against VMs that disagree by a factor for tens of seconds on how fast a
    server is, as each compares it with the first servers that it happened to read."""
    factors = {FAST: 1.0, OTHER: 1.0, SLOW: SLOW_FACTOR}
    known = {
        (name, 0): FleetSpeed(
            SpeedSample(50.0 / factor, 20.0 * factor, 80.0 * factor, weight=100.0),
            0.5,
            1.0,
        )
        for name, factor in factors.items()
    }
    pool = PoolSpeed()
    for number in range(15):
        pool.slowness(order[number % 3], 0, FixedView(known), number / 5)
    assert pool.usual_step_s == pytest.approx(0.02)
    assert pool.usual_tokens_per_s == pytest.approx(50_000)
    assert pool.usual_service_s == pytest.approx(0.08)
    for name, factor in factors.items():
        found = pool.slowness(name, 0, FixedView(known), 3.5)
        assert found == pytest.approx(factor, rel=0.1)


def test_usual_speeds_are_derived_once_for_each_report() -> None:
    """Guards against medians over all servers in each decision."""
    known = {
        (BackendId(f"e{number}"), 0): FleetSpeed(
            SpeedSample(step_ms=20.0, weight=9.0), 0.1, 1.0
        )
        for number in range(45)
    }
    pool = PoolSpeed()
    pool.slowness(BackendId("e0"), 0, FixedView(known), 1.0)
    updated_at = pool.fleet_updated_at
    for name, _ in known:
        pool.slowness(name, 0, FixedView(known), 1.4)
    assert pool.fleet_updated_at == updated_at
    pool.slowness(BackendId("e0"), 0, FixedView(known), 1.6)
    assert pool.fleet_updated_at == 1.6


def test_another_start_of_a_server_begins_anew(pool: PoolSpeed) -> None:
    """Guards against what an earlier start of a server showed."""
    before = pool.slowness(SLOW, 0, EmptyView(), 10.0)
    assert pool.slowness(SLOW, 1, EmptyView(), 10.0) < before
    assert pool.server(SLOW, 1).weight == 0


@pytest.mark.parametrize(
    "sample",
    [
        SpeedSample(step_ms=600_000.0, weight=1e6),
        SpeedSample(step_ms=1e-9, weight=1e6),
        SpeedSample(prompt_tokens_per_ms=1e-9, weight=1e6),
        SpeedSample(service_ms=600_000.0, weight=1e6),
        SpeedSample(stated_percent=10_000, weight=0.0),
    ],
)
def test_one_absurd_report_is_bounded(sample: SpeedSample) -> None:
    """Guards against a report in other units or out of range."""
    pool = PoolSpeed()
    measure(pool, FAST, 1.0, 0.0, 5.0)
    view = FixedView({(SLOW, 0): FleetSpeed(sample, 0.0, 1.0)})
    slowness = pool.slowness(SLOW, 0, view, 5.0)
    assert math.isfinite(slowness)
    assert 0.1 <= slowness <= 20.0


def test_vm_reports_its_own_measurements_of_late(pool: PoolSpeed) -> None:
    """Guards against statements of other VMs that are passed on as new ones."""
    pool.record_statement(pool.server(FAST, 0), 150, 9.0)
    stated = FleetSpeed(SpeedSample(stated_percent=250), 0.0, 1.0)
    pool.slowness(SLOW, 0, FixedView({(SLOW, 0): stated}), 10.0)
    samples = pool.samples(10.0)
    assert samples[FAST].stated_percent == 150
    assert samples[FAST].stated_age_s == pytest.approx(1.0)
    assert samples[FAST].step_ms == pytest.approx(1000 * STEP_S, rel=0.4)
    assert samples[SLOW].stated_percent is None
    assert pool.samples(60.0) == {}


def test_quantiles_come_close_to_those_of_the_samples() -> None:
    rng = random.Random(3)
    low, middle = Quantile(0.25), StepQuantile(0.5, 0.0, 0.1)
    for _ in range(2000):
        low.add(rng.uniform(1.0, 5.0))
        middle.add(rng.uniform(-1.0, 5.0))
    assert low.value == pytest.approx(2.0, rel=0.25)
    assert middle.value == pytest.approx(2.0, abs=0.5)


RATES = Rates(1.0, 0.02, 50_000.0)


def test_prediction_scales_with_slowness_and_queue() -> None:
    idle = predict(2000, RATES, Queue(), 0, 3072)
    assert idle.first_token_s == pytest.approx(0.06)
    queued = predict(2000, RATES, Queue(5000, 10_000), 0, 3072)
    assert queued.first_token_s == pytest.approx(0.16)
    assert queued.tail_s == pytest.approx(0.36)
    slow = predict(2000, RATES._replace(slowness=2.0), Queue(), 0, 3072)
    assert slow.first_token_s == pytest.approx(0.12)
    assert predict(17_000, RATES, Queue(), 0, 3072).pause_s == pytest.approx(0.08144)


def test_uses_of_a_prefix_cost_what_they_take() -> None:
    costs = [prefill_tokens(1000, use) for use in (Cached(), PrefillAgain(4000))]
    assert costs == [1000, 5000]
    assert prefill_tokens(1000, Copy(4000, FAST)) == 2000


def test_risk_rises_around_the_target() -> None:
    assert [risk(share, 1.0) for share in (0.5, 1.0, 1.5)] == [
        0.0,
        pytest.approx(0.5),
        1.0,
    ]
    assert risk(5.0, None) == 0.0


def test_pause_counts_against_the_target_of_what_runs_there() -> None:
    """Guards against long prompts beside streams that may pause for 150 ms."""
    prediction = Prediction(0.1, 0.1, 0.2, 0.03, 0.1)
    costs = [
        cost_s(prediction, Targets(2.0, 0.6), [Requests(Targets(None, gap_s), 10, 0)])
        for gap_s in (0.15, 0.6)
    ]
    assert costs[0] > costs[1] + 1.0


@pytest.mark.parametrize("vms", [1, 9, 62, 195])
def test_vms_with_the_same_view_share_the_best_servers(vms: int) -> None:
    """Guards against all VMs that choose the one server which looks best.

    Each VM places one request. A server that is better by as much as three requests
    take may get three more than the others, and some by chance; one that is worse by far
    gets none.
    """
    shares = [
        Share(0.0, 0.05),
        *(Share(0.15, 0.05) for _ in range(29)),
        Share(9.0, 0.1),
    ]
    counts = [0] * len(shares)
    for vm in range(vms):
        counts[draw(shares, vms - 1, random.Random(vm))] += 1
    if vms == 1:
        assert counts[0] == 1
    mean = vms / 30
    assert max(counts) <= mean + 3 + 4 * math.sqrt(mean + 3)
    assert counts[-1] == 0


def test_prompts_of_no_size_that_end_at_once_have_a_mix() -> None:
    """Guards against a division by zero in the choice of a server, after an answer that
    ended in the tick in which it began, or a prompt that its caller says has no tokens."""
    mix = GroupMix(usual_tokens=1000.0)
    mix.add(Targets(1.0, 0.1), held_s=0.0, tokens=0.0)
    [request] = mix.requests(3.0, Targets(2.0, 0.2))
    assert request.targets == Targets(1.0, 0.1)
    assert request.open == pytest.approx(3.0)
    assert mix.usual_tokens > 0
