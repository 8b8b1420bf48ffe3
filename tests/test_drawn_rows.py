"""Values drawn from the decoders' own types: each is used without harm, or is none."""

from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from typing import Any, NamedTuple

import httpx
import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from prometheus_client import generate_latest

from fleet import config_of, settings_of
from godwitmast.backends.client import LoadDocument
from godwitmast.capacity.zonal_duty import sum_open_requests
from godwitmast.clock import SystemClock
from godwitmast.decoding import decode_json
from godwitmast.dispatch.messages import Clearance, LoadReport
from godwitmast.entry.crash_reports import Report, read_updates
from godwitmast.entry.events import Chunk, CompletionReader, read_usage
from godwitmast.entry.forwarding import read_peer
from godwitmast.entry.pool_versions import StoredHistory, pool_key
from godwitmast.errors import PlatformError, Undecodable
from godwitmast.lease.machine import LeaseMachine
from godwitmast.platform.catalog import operator_row_order, server_row_order
from godwitmast.platform.daemon import Node
from godwitmast.platform.own_rows import (
    BeatFields,
    ClockFields,
    LeaseFields,
    NodeFields,
    ReportedFields,
    UsageHeadFields,
    WindowFields,
    decode_own_row,
)
from godwitmast.platform.settings import PlatformFile
from godwitmast.platform.wire import (
    RowsAnswer,
    WireConfig,
    WireRowAge,
    WireServer,
    decode_rows,
)
from godwitmast.platform_api.messages import Row
from godwitmast.platform_api.steps import Rows, Scan
from godwitmast.platform_api.time_agreement import (
    CLOCK_KEY,
    AgreedClock,
    agree_on_time,
)
from godwitmast.settings import check_settings
from godwitmast.types import BackendId, PoolName
from godwitmast.usage.journal import Journal, read_marks
from godwitmast.usage.ledger import UsageLedger, restore_ended_rows, restore_windows
from godwitmast.usage.rows import (
    HEAD_KEY,
    NODE_PREFIX,
    REPORTED_KEY,
    FrozenWindow,
    load_node,
    window_key,
)
from godwitmast.usage.windows import UsageTiming, freeze_next, next_report, remove_row
from odd_tables import OddTable
from odd_values import Shape, render
from test_foreign_rows import ROW

pytestmark = pytest.mark.anyio

WALL_S = 1_780_000_000.0
TIMING = UsageTiming(window_s=10, flush_s=1, grace_s=6, seal_s=6)
LEASE = {"lease/duties": 1}
SOUND = {"sound": msgspec.json.encode(ROW)}
FEW = settings(
    max_examples=1500,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class Decoder(NamedTuple):
    """A shape that others write, and what is done with its bytes."""

    shape: Shape
    use: Callable[[Any, bytes], None]


def make_node() -> Node:
    """Return a VM that is not started, with a configuration and a sound server."""
    node = Node(check_settings(settings_of(1), PlatformFile, "test"), metrics_port=0)
    node.apply_operator_rows({"config": msgspec.json.encode(config_of(1))})
    node.apply_server_rows(SOUND)
    node.agreed_clock.update_store_time(1000.0)
    return node


@pytest.fixture
async def node() -> AsyncIterator[Node]:
    node = make_node()
    yield node
    await node.client.close()
    await node.peer_client.close()
    await node.store.close()


def go_on(node: Node) -> None:
    """Do what a VM does later: ticks, metrics, its own row."""
    router, now = node.driver.router, node.driver.clock.now()
    assert router is not None
    for after_s in (0.0, 0.1, 10.0, 100_000.0):
        router.tick(now + after_s)
    generate_latest(node.app.metrics.registry)
    msgspec.json.encode(node.driver.load_row())


def use_server(node: Node, content: bytes) -> None:
    order = server_row_order("other", content)
    assert order is None or (order < (7, 1)) in (True, False)
    node.apply_server_rows({**SOUND, "other": content})
    assert "sound" in node.driver.listed_backends
    go_on(node)


def use_config(node: Node, content: bytes) -> None:
    order = operator_row_order("config", content)
    assert order is None or (order < (7,)) in (True, False)
    node.app.config = None
    node.apply_operator_rows({"config": content, "evacuate/z7": b""})
    assert node.driver.evacuated == {"z7"}
    for prefixes in node.frontend.current_catalog.routes.hosts.values():
        for route in prefixes.values():
            assert route.choose_pool(0.5) is not None
    node.apply_server_rows({**SOUND, "other": SOUND["sound"]})
    go_on(node)


def use_rows_answer(node: Node, content: bytes) -> None:
    request = httpx.Request("GET", "http://store/rows")
    answer = httpx.Response(200, content=content, request=request)
    try:
        rows = node.store.parse(answer)
    except PlatformError:
        return
    msgspec.json.encode([row.ver for row in rows.rows])
    node.agreed_clock.store_now()


def use_report(node: Node, content: bytes) -> None:
    node.crash_reports.applied.clear()
    node.crash_reports.apply_rows({"crash/other/1": content})
    node.crash_reports.outdated_rows(node.agreed_clock.store_now())
    go_on(node)


def use_load(node: Node, content: bytes) -> None:
    try:
        document = decode_json(content, LoadDocument)
    except Undecodable:
        return
    report = LoadReport(document.running, document.waiting, age_s=document.age_s)
    node.driver.record_load(BackendId("sound"), report)
    go_on(node)


def use_chunk(node: Node, content: bytes) -> None:
    reader = CompletionReader()
    reader.feed(b"data: " + content.replace(b"\n", b"") + b"\n\n")
    read_usage(content)
    msgspec.json.encode(reader.usage)


def use_clock(node: Node, content: bytes) -> None:
    table = OddTable(rows={CLOCK_KEY: content})
    clock = AgreedClock(SystemClock())
    clock.update_store_time(1000.0)
    for _ in range(2):
        table.run(agree_on_time(clock, lambda: True))
    with suppress(Undecodable):
        clock.is_in_use(decode_own_row(CLOCK_KEY, content))
    journal = Journal("vm", "z1", 10)
    journal.advance_window(clock.wall())
    table.run(journal.flush(clock.wall()))
    journal.has_window_older_than(clock.wall(), 1.0)


def use_lease(node: Node, content: bytes, key: str = "lease/duties") -> None:
    sound = {
        "lease/duties": b'{"holder": "other", "fence": 3, "epoch": 0}',
        "lease/duties/beat": b'{"fence": 3, "beat": 2, "crowd": 3}',
    }
    table = OddTable(rows={**sound, key: content})
    machine = LeaseMachine("duties", "own")
    now = 0.0
    for _ in range(400):
        step = machine.step(now, WALL_S + now)
        if step is not None:
            machine.took(table.take(step), now)
        fence = machine.fence_if_held(now, WALL_S + now)
        assert fence is None or 0 < fence < 2**63
        machine.calls_arrive_for_s(now)
        now += 0.25
    node.budgets.set_router_count(machine.vm_count, node.clock.now())
    node.driver.set_entry_count(machine.vm_count)
    go_on(node)


def use_beat(node: Node, content: bytes) -> None:
    use_lease(node, content, "lease/duties/beat")


NODE_ROW = b"""{"node": "a", "zone": "z1", "incarnation": "a.1", "sequence": 1, "config": 1,
"window": 1779999990, "segments": {"1779999990": [["t", "c", "p", 1, 2, 3]]}, "load": {}}"""
HEAD_ROW = b'{"frozen": 1779999970, "marks": {"a.1": 1}, "epoch": 0}'


def use_usage_rows(node: Node, rows: dict[str, bytes], content: bytes | None) -> None:
    """Run all protocols on usage on a table with these rows."""
    table = OddTable(rows=rows, content=content)
    for wall in (WALL_S, WALL_S + 1000):
        table.run(freeze_next(LEASE, wall, TIMING))
    table.run(next_report(TIMING.window_s))
    ledger = UsageLedger()
    table.run(restore_windows(LEASE, ledger, TIMING.window_s, WALL_S))
    journal = Journal("vm", "z1", 10)
    head = table.run(read_marks())
    if head is not None:
        journal.forget(head)
    found = table.take(Scan(NODE_PREFIX))
    assert isinstance(found, Rows)
    rows_of_nodes = {key: load_node(row.value) for key, row in found.rows.items()}
    ledger.record_rows(rows_of_nodes)
    table.run(restore_ended_rows(LEASE, ledger))
    for row in rows_of_nodes.values():
        table.run(remove_row(LEASE, row, 1))
    loads = [row.load for row in rows_of_nodes.values()]
    demand = sum_open_requests(loads, PoolName("app"))
    assert demand is None or 0 <= demand < 1e9
    for found_row in found.rows.values():
        peer = read_peer(found_row)
        if peer is not None:
            httpx.URL(f"http://{peer.address}")


def use_head(node: Node, content: bytes) -> None:
    rows = {HEAD_KEY: content, "node/a.1": NODE_ROW}
    use_usage_rows(node, rows, None)


def use_reported(node: Node, content: bytes) -> None:
    rows = {HEAD_KEY: HEAD_ROW, "node/a.1": NODE_ROW, REPORTED_KEY: content}
    rows[window_key(1779999970)] = b'{"object": "o", "digest": "d"}'
    use_usage_rows(node, rows, b"[1779999970, 1779999980, [], []]")


def use_window(node: Node, content: bytes) -> None:
    rows = {HEAD_KEY: HEAD_ROW, window_key(1779999970): content}
    use_usage_rows(node, rows, b"[1779999970, 1779999980, [], []]")


def use_window_object(node: Node, content: bytes) -> None:
    rows = {HEAD_KEY: HEAD_ROW}
    rows[window_key(1779999970)] = b'{"object": "o", "digest": "d"}'
    use_usage_rows(node, rows, content)


def use_node(node: Node, content: bytes) -> None:
    rows = {HEAD_KEY: HEAD_ROW, "node/a.1": NODE_ROW, "node/x": content}
    use_usage_rows(node, rows, None)


def use_history(node: Node, content: bytes) -> None:
    key = pool_key(PoolName("app"))
    value = decode_own_row(key, content)
    pools = node.pool_versions
    pools.counted_until.clear()
    pools.known_from.clear()
    new = pools.merge(
        PoolName("app"), frozenset(["v1"]), {key: Row(value, 1)}, others_ran=True
    )
    if new is not None:
        msgspec.json.decode(msgspec.json.encode(new._asdict()))
    until = pools.counted_until[PoolName("app")].values()
    assert max(until, default=0.0) <= node.clock.now() + 121
    pools.is_mixed(PoolName("app"))


FORWARDING = {
    "address": "127.0.0.1:9",
    "region": "r1",
    "unreachable_pools": ["app"],
}
NODE_KNOWN = {
    "node": "b",
    "incarnation": "x",
    "window": 1779999990,
    "segments": {"1779999990": [["t", "c", "p", 1, 2, 3]]},
    "load": {"open": {"app": 3}, "forwarding": FORWARDING},
}
REPORT_KNOWN = {
    "updates": [
        ["suspicion", 1.0, ["f", [["sound", 1.0, True, False]]]],
        ["quarantine", 1.0, ["g", 3.0]],
        ["clearance", 1.0, ["h", 1.0]],
        ["suspicion", 1.0, ['part:["app",["p"]]', [["sound", 1.0]]]],
    ],
    "expires_at": 2000.0,
}
CONFIG = config_of(2)
CONFIG["services"] = [
    {
        "name": "app",
        "coldStartS": 3.0,
        "coldPerS": 2.0,
        "scaleLimits": {
            "min": 1,
            "max": 4,
            "bootTimeS": 4.0,
            "spotPrice": 0.4,
            "zonePrices": {"z1": 1.0},
        },
    },
    {"name": "lm", "engine": {"kvTokenBytes": 1.0, "linkMbps": 100.0}},
]
CONFIG["routes"] = [
    {**CONFIG["routes"][0], "split": [{"service": "lm", "weight": 1.0}], "public": True}
]
CONFIG["tenants"] = CONFIG["tenants"][:1]

DECODERS = {
    "server": Decoder(Shape(WireServer, {**ROW, "batch_slots": 8}), use_server),
    "age": Decoder(Shape(WireRowAge, {"version": 3, "sequence": 1}), use_server),
    "config": Decoder(
        Shape(WireConfig, {**CONFIG, "version": 2, "limits": CONFIG["limits"]}),
        use_config,
    ),
    "answer": Decoder(Shape(RowsAnswer, {"now_ms": 5.0}), use_rows_answer),
    "crash report": Decoder(Shape(Report, REPORT_KNOWN), use_report),
    "load": Decoder(Shape(LoadDocument), use_load),
    "chunk": Decoder(Shape(Chunk), use_chunk),
    "clock": Decoder(
        Shape(ClockFields, {"difference_s": WALL_S, "proposed_s": 900.0}), use_clock
    ),
    "lease": Decoder(Shape(LeaseFields), use_lease),
    "beat": Decoder(Shape(BeatFields), use_beat),
    "usage head": Decoder(
        Shape(UsageHeadFields, {"frozen": 1779999970, "marks": {"a.1": 1}}), use_head
    ),
    "reported": Decoder(Shape(ReportedFields, {"start": 1779999960}), use_reported),
    "window": Decoder(Shape(WindowFields), use_window),
    "window object": Decoder(Shape(FrozenWindow), use_window_object),
    "node": Decoder(Shape(NodeFields, NODE_KNOWN), use_node),
    "pool history": Decoder(
        Shape(StoredHistory, {"versions": {"v0": 990.0}, "since": 900.0}), use_history
    ),
}

EACH = pytest.mark.parametrize("decoder", DECODERS.values(), ids=DECODERS.keys())


@EACH
async def test_each_odd_value_in_each_place_is_used_or_refused(
    node: Node, decoder: Decoder
) -> None:
    """Guards against a value that a decoder takes and that later ends a process."""
    decoder.use(node, render(decoder.shape.example))
    for value in decoder.shape.single_changes():
        decoder.use(node, render(value))


@FEW
@given(
    st.sampled_from(sorted(DECODERS)).flatmap(
        lambda name: st.tuples(st.just(name), DECODERS[name].shape.documents())
    )
)
async def test_several_odd_values_are_used_or_refused(
    node: Node, drawn: tuple[str, bytes]
) -> None:
    """Guards against values that do harm together, and against damaged documents."""
    name, content = drawn
    DECODERS[name].use(node, content)


HUGE = b"1" + b"0" * 400

FOUND = {
    "vms of a heartbeat": (use_beat, b'{"fence": 3, "beat": 2, "crowd": %s}' % HUGE),
    "fencing token": (use_lease, b'{"holder": "", "fence": %s}' % HUGE),
    "time of a proposal": (
        use_clock,
        b'{"difference_s": 1780000000.0, "proposed_s": %s}' % HUGE,
    ),
    "last frozen window": (use_head, b'{"frozen": %s, "marks": {}}' % HUGE),
    "frozen long ago": (use_head, b'{"frozen": 0, "marks": {}, "epoch": 1}'),
    "window of a run": (
        use_node,
        b'{"node": "b", "zone": "z1", "incarnation": "x", "sequence": 1, "config": 1,'
        b' "window": %s, "segments": {}, "load": {}}' % HUGE,
    ),
    "open requests as text": (
        use_node,
        b'{"node": "b", "zone": "z1", "incarnation": "x", "sequence": 1, "config": 1,'
        b' "window": 1779999990, "segments": {}, "load": {"open": {"app": "3"}}}',
    ),
    "object of a window": (use_window_object, b"null"),
    "window without length": (use_window_object, b"[1779999970, 1779999970, [], []]"),
    "load": (use_load, b'{"running": %s, "waiting": 0}' % HUGE),
    "number of a configuration": (use_config, b'{"version": %s}' % HUGE),
    "rate of cold servers": (
        use_config,
        b'{"version": 2, "services": [{"name": "app", "coldStartS": 3, '
        b'"coldPerS": 1e308}]}',
    ),
}


@pytest.mark.parametrize(("use", "content"), FOUND.values(), ids=FOUND.keys())
async def test_value_that_did_harm_is_used_or_refused(
    node: Node, use: Callable[[Node, bytes], None], content: bytes
) -> None:
    """Guards against numbers that overflow, and shapes that readers take as given."""
    use(node, content)


@pytest.mark.parametrize(
    "address",
    ["[::1", "127.0.0.1:99999", "127.0.0.1\x00:80", "a b", ":80", "x" * 70_000],
)
def test_vm_with_an_odd_address_is_no_peer(address: str) -> None:
    """Guards against an address in another VM's row that ends the one that asks it."""
    load = {"forwarding": {**FORWARDING, "address": address}}
    row = {"node": "b", "zone": "z1", "ended": False, "load": load}
    assert read_peer(Row(row, 1)) is None


def test_row_of_a_run_under_another_key_is_not_read() -> None:
    """Guards against a row that can't be sealed and holds all usage back."""
    with pytest.raises(Undecodable):
        decode_own_row("node/other", NODE_ROW)
    assert decode_own_row("node/a.1", NODE_ROW)["incarnation"] == "a.1"


SOUND_ROW = b'{"key": "a", "table": "servers", "value": "e30=", "ver": 2}'


@pytest.mark.parametrize(
    "odd",
    [
        rb'{"key": "\ud800", "value": "e30=", "ver": 3}',
        b'{"key": 7}',
        b'{"key": "b", "ver": %s}' % HUGE,
        b'{"key": "b", "value": null}',
        b'{"key": "\xff", "ver": 3}',
        b"null",
        b"[[]]",
    ],
)
def test_odd_row_of_an_answer_holds_back_no_other_row(odd: bytes) -> None:
    """Guards against a row for which the whole list of servers is not read."""
    content = b'{"rows": [%s, %s], "ver": 5, "nowMs": 3.0}' % (odd, SOUND_ROW)
    answer = decode_rows(content)
    assert [row.key for row in answer.rows] == ["a"]
    assert (answer.ver, answer.now_ms) == (5, 3.0)


@pytest.mark.parametrize(
    "content",
    [b'{"rows": 7, "ver": 5}', b'{"rows": [{"key": 7}], "ver": -1}', b"[]", b""],
)
def test_answer_that_is_not_valid_is_refused(content: bytes) -> None:
    """Guards against an answer that is taken for one without rows."""
    with pytest.raises(Undecodable):
        decode_rows(content)


@pytest.mark.parametrize("age", [-1e308, -3600.0, 1e308])
def test_update_on_a_crash_has_an_age(age: float) -> None:
    """Guards against a clearance or a crash in the future, which would hold for ever."""
    updates: list[tuple[str, float, Any]] = [
        ("clearance", 10.0, ["f", age]),
        ("suspicion", 10.0, ["f", [["sound", age]]]),
        ("clearance", 10.0, ["g", 1.0]),
    ]
    report = Report(updates, 100.0)
    assert list(read_updates(report, 10.0)) == [Clearance("g", 1.0)]
