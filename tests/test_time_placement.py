"""Placement of prompts by predicted time: where it is used, and what it chooses."""

from collections import Counter

import pytest

from godwitmast.config.document import Document, FleetPolicy, Use
from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.backends import BackendTable
from godwitmast.dispatch.messages import BackendSpec, LoadReport, RequestSpec
from godwitmast.dispatch.placement import PromptPart, PromptPlacement
from godwitmast.speed.model import DEFAULT_STEP_S, DEFAULT_TOKENS_PER_S
from godwitmast.speed.placement import Forecast, TimePlacement
from godwitmast.speed.prediction import Cached
from godwitmast.types import BackendId, ClassName, ZoneName
from speed_replay import KINDS, POOL, Load, SpeedReplay, make_document

SHORT = KINDS[2]
OWN, OTHER = ZoneName("z0"), ZoneName("z1")


def make_table(
    use: Use = "on", engines: int = 8, fetches: bool = False
) -> BackendTable:
    """Return a table of engines in two zones, half of them in the own one."""
    table = BackendTable(OWN, seed=3)
    document = make_document(use)
    model = document.models[POOL]._replace(fetches=fetches)
    table.speeds.update_config(document._replace(models={POOL: model}))
    table.update(
        [
            BackendSpec(
                BackendId(f"e{number}"),
                (OWN, OTHER)[number % 2],
                frozenset([POOL]),
                places=64,
            )
            for number in range(engines)
        ],
        0.0,
    )
    return table


def make_request(number: int, parts: tuple[PromptPart, ...]) -> RequestSpec:
    return RequestSpec(
        f"r{number}",  # type: ignore[arg-type]
        "arima",  # type: ignore[arg-type]
        SHORT.name,  # type: ignore[arg-type]
        POOL,  # type: ignore[arg-type]
        0.0,
        sum(part.tokens for part in parts),
        parts=parts,
    )


def own_prompt(number: int) -> RequestSpec:
    return make_request(number, (PromptPart(f"own-{number}", 1000),))


def shared_prompt(number: int) -> RequestSpec:
    return make_request(
        number, (PromptPart("shared", 8000), PromptPart(f"own-{number}", 1000))
    )


def state_slow(table: BackendTable, names: list[str], now: float) -> None:
    for name in names:
        table.record_load(BackendId(name), LoadReport(0, 0, percent=250), now)


def choose(table: BackendTable, request: RequestSpec, now: float) -> BackendId:
    chosen = table.choose(request, set(), now)
    assert chosen is not None
    return chosen


def play(use: Use, states: bool, vms: int = 9) -> list[tuple[float, int, object]]:
    """Return all decisions on a load, with their times."""
    load = Load(slowness=(0.7, 0.7, 1.7), states=states)
    pool = SpeedReplay(vms, load, use, engines=12)
    decisions: list[tuple[float, int, object]] = []
    execute = pool.execute

    def record(number: int, actions: list) -> None:  # type: ignore[type-arg]
        decisions.extend((pool.now, number, action) for action in actions)
        execute(number, actions)

    pool.execute = record  # type: ignore[method-assign]
    pool.start_load(2.0)
    pool.run(3.0)
    return decisions


def test_decisions_are_as_before_where_nothing_asks_for_predicted_time() -> None:
    """Guards against other decisions in deployments that do not state a speed."""
    before = play("off", states=True)
    assert len(before) > 150
    assert play("off", states=False) == before
    assert play("auto", states=False) == before
    assert play("auto", states=True) != before
    assert play("on", states=False) != before


@pytest.mark.parametrize(
    ("use", "states", "used"),
    [
        ("off", False, False),
        ("off", True, False),
        ("auto", False, False),
        ("auto", True, True),
        ("on", False, True),
    ],
)
def test_switch(use: Use, states: bool, used: bool, monkeypatch) -> None:  # type: ignore[no-untyped-def]
    """Guards against a decision by constants where predicted time is asked for, and the
    other way round."""
    table = make_table(use)
    if states:
        state_slow(table, ["e0"], 1.0)
    calls = Counter[str]()
    choose_by_tokens = PromptPlacement.choose

    def count(*args: object, **kwargs: object) -> object:
        calls["tokens"] += 1
        return choose_by_tokens(*args, **kwargs)  # type: ignore[arg-type]

    monkeypatch.setattr(PromptPlacement, "choose", count)
    choose(table, own_prompt(1), 1.1)
    assert calls["tokens"] == (0 if used else 1)
    assert (table.speeds.forecast_of(own_prompt(1), BackendId("e0")) is None) or used


def test_changes_of_the_switch_are_reported_once() -> None:
    """Guards against an operator who cannot see which rule placed a request."""
    table = make_table("auto")
    assert table.speeds.pop_changes() == []
    state_slow(table, ["e0"], 1.0)
    assert table.speeds.pop_changes() == [(POOL, True)]
    assert table.speeds.pop_changes() == []
    table.speeds.update_config(make_document("off"))
    assert table.speeds.pop_changes() == [(POOL, False)]


def test_own_zone_is_left_while_it_is_slower_and_taken_again() -> None:
    """Guards against waves that stay in their zone, and requests that stay away from it
    afterwards."""
    table = make_table()
    zones = [table.states[choose(table, own_prompt(n), 1.0)].zone for n in range(8)]
    assert set(zones) == {OWN}
    state_slow(table, ["e0", "e2", "e4", "e6"], 2.0)
    zones = [table.states[choose(table, own_prompt(n), 2.0)].zone for n in range(8)]
    assert set(zones) == {OTHER}
    zones = [table.states[choose(table, own_prompt(n), 5.0)].zone for n in range(8)]
    assert set(zones) == {OWN}


def test_prompts_of_other_vms_delay_the_tail_only() -> None:
    """Guards against predictions that expect a queue where half of the prompts find
    none."""
    table = make_table()
    report = LoadReport(20, 0, percent=100)
    for backend_id in table.states:
        table.record_load(backend_id, report, 1.0)
    request = own_prompt(1)
    chosen = table.choose(request, set(), 1.0)
    assert chosen is not None
    forecast = table.speeds.forecast_of(request, chosen)
    assert forecast is not None
    assert forecast.ahead_s > 0
    idle_s = DEFAULT_STEP_S + 1000 / DEFAULT_TOKENS_PER_S
    assert forecast.first_token_s == pytest.approx(idle_s)


@pytest.mark.parametrize("ratio", [0.4, 2.5])
def test_one_first_token_changes_the_correction_little(ratio: float) -> None:
    """Guards against one prompt without a queue, or with one, that corrects all that
    follow: a VM among many sees a class's prompt about once a second."""
    pool = TimePlacement()
    kind = (ClassName(SHORT.name), Cached)
    forecast = Forecast(BackendId("e0"), kind, 0.1, Cached(), 0.1, 0.0)
    pool.record_error(forecast, 0.1 * ratio)
    assert pool.correction(kind) == pytest.approx(1.0, abs=0.05)
    for _ in range(200):
        corrected_s = 0.1 * pool.correction(kind)
        pool.record_error(forecast._replace(first_token_s=corrected_s), 0.1 * ratio)
    assert pool.correction(kind) == pytest.approx(ratio, rel=0.05)


def test_prefix_stays_where_it_is_cached_until_that_engine_is_busy() -> None:
    """Guards against prefixes that are prefilled on every engine, and against prompts
    that wait for one engine longer than the prefill takes elsewhere."""
    table = make_table()
    first = choose(table, shared_prompt(1), 1.0)
    placement = table.placement_of(shared_prompt(1))
    assert placement is not None
    for number in range(2, 6):
        assert choose(table, shared_prompt(number), 1.0) == first
    placement.pending_tokens[first] = 100_000.0
    assert choose(table, shared_prompt(6), 1.0) != first


@pytest.mark.parametrize("fetches", [False, True])
def test_prefix_is_copied_where_engines_can(fetches: bool) -> None:
    """Guards against a prefill of what another engine holds."""
    table = make_table(fetches=fetches)
    first = choose(table, shared_prompt(1), 1.0)
    placement = table.placement_of(shared_prompt(1))
    assert placement is not None
    placement.record_start(first, shared_prompt(1).prompt, 1.0)
    placement.pending_tokens[first] = 100_000.0
    request = shared_prompt(2)
    second = choose(table, request, 1.1)
    assert second != first
    source = table.copy_source(request, second, 1.1)
    assert source == (first if fetches else None)


def test_slower_engines_get_fewer_prefixes() -> None:
    """Guards against as many prefixes on an engine that takes 2.4 times as long."""
    table = make_table(engines=4)
    speed = table.speeds.pool(POOL).speed
    for second in range(20):
        for name, factor in [("e0", 1.0), ("e1", 1.0), ("e2", 2.4), ("e3", 2.4)]:
            server = speed.server(BackendId(name), 0)
            for _ in range(20):
                speed.record_gap(server, 0.02 * factor, float(second))
            speed.record_first_token(server, 1000, 0.06 * factor, float(second))
    pool = table.speeds.pool(POOL)
    names = list(table.states)
    first = Counter(
        pool.rank(f"prefix-{number}", names, 20.0)[0] for number in range(600)
    )
    assert 1.5 < (first["e0"] + first["e1"]) / (first["e2"] + first["e3"]) < 3.5


def test_full_and_avoided_engines_are_not_chosen() -> None:
    """Guards against requests sent to engines that failed them or have no place."""
    table = make_table(engines=3)
    chosen = table.choose(own_prompt(1), {BackendId("e0")}, 1.0)
    assert chosen in ("e1", "e2")
    everything = set(table.states)
    assert table.choose(own_prompt(2), everything, 1.0) is None


def test_memory_is_bounded() -> None:
    """Guards against predictions of requests that never got a first token, and servers
    that are gone."""
    table = make_table()
    for number in range(5000):
        choose(table, shared_prompt(number), 1.0 + number / 1000)
    pool = table.speeds.pool(POOL)
    assert len(pool.forecasts) <= 4096
    table.update([], 7.0)
    assert not pool.speed.servers


def make_service_table(zones: tuple[ZoneName, ZoneName]) -> BackendTable:
    """Return a table of two servers of a plain service."""
    document: Document = parse_document(
        {
            "classes": {"status": {"tier": 1, "completion_s": 0.2}},
            "teams": {"arima": {}},
            "services": {"desk": {}},
        }
    )._replace(fleet=FleetPolicy(time_placement="auto"))
    table = BackendTable(OWN, seed=3)
    table.speeds.update_config(document)
    specs = [
        BackendSpec(BackendId(f"s{number}"), zone, frozenset(["desk"]))
        for number, zone in enumerate(zones)
    ]
    table.update(specs, 0.0)
    return table


def test_plain_services_get_the_faster_of_two_servers() -> None:
    """Guards against requests to a server that states it takes 2.5 times as long."""
    table = make_service_table((OWN, OWN))
    table.record_load(BackendId("s0"), LoadReport(0, 0, percent=250), 1.0)
    request = own_prompt(1)._replace(pool="desk", parts=())  # type: ignore[arg-type]
    assert {choose(table, request, 1.0) for _ in range(20)} == {"s1"}
    later = {choose(table, request, 3.0) for _ in range(40)}
    assert later <= {"s0", "s1"}


def test_plain_service_of_another_zone_is_used_while_the_own_one_is_slow() -> None:
    """Guards against a zone whose only server is slow for a moment, and against
    requests that stay in the other zone."""
    table = make_service_table((OWN, OTHER))
    request = own_prompt(1)._replace(pool="desk", parts=())  # type: ignore[arg-type]
    table.record_load(BackendId("s1"), LoadReport(0, 0, percent=100), 0.5)
    assert choose(table, request, 1.0) == "s0"
    table.record_load(BackendId("s0"), LoadReport(0, 0, percent=250), 1.0)
    assert choose(table, request, 1.0) == "s1"
    assert choose(table, request, 3.0) == "s0"
