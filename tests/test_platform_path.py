"""A node's request path against stand-ins of the users' platform, over sockets."""

import json
import time
from collections.abc import AsyncIterator
from contextlib import suppress

import anyio
import httpx
import pytest

from fleet import HOST, KEY, OTHER_KEY, PROMPT, Fleet, config_of, request_headers, route
from godwitmast.capacity.zonal_duty import ROUND_S
from godwitmast.platform import frontend
from godwitmast.platform.daemon import BALANCER_WAIT_S
from godwitmast.platform.wire import ORDER_SERVERS
from godwitmast.platform_api import feed
from godwitmast.standins.replica import ReplicaStandin
from running import running

pytestmark = pytest.mark.anyio


@pytest.fixture(autouse=True)
def short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the calls that wait for changes, so that an outage is detected soon."""
    monkeypatch.setattr(feed, "MAX_WAIT_S", 0.3)


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with running(Fleet()) as started:
        yield started


async def test_request_reaches_a_server_as_it_was_sent(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    path = "/pay/a%2Fb/./c?x=%20&y"
    answer = await http.request(
        "POST",
        fleet.url,
        headers=request_headers(**{"X-Note": "hello"}),
        content=b"ten dollars",
        extensions={"target": path.encode()},
    )
    assert (answer.status_code, answer.content) == (200, b"answer of app")
    [served] = [s for replica in fleet.plain for s in replica.served]
    [server] = [replica for replica in fleet.plain if replica.served]
    assert (served.method, served.target, served.body) == (
        "POST",
        path,
        b"ten dollars",
    )
    assert answer.headers["server-seal"] == server.server_id
    assert served.headers["attempt-id"] == "a1"
    assert served.headers["x-note"] == "hello"
    assert served.headers["host"] == HOST
    assert served.headers["tenant"] == "arima"
    assert served.headers["expect-instance"] == server.server_id
    assert 0 < int(served.headers["deadline-ms"]) <= 3000
    assert KEY not in str(served.headers)


async def test_prompt_sent_elsewhere_names_the_engine_that_cached_it_as_source(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """The engine that holds a prompt's prefix sheds; the next one is to copy it."""
    config = config_of(2)
    config["services"][0]["engine"] = {"kvTokenBytes": 1000, "linkMbps": 1_000_000.0}
    fleet.store.put_config(config)
    await fleet.wait_until(lambda: fleet.node.config_version() == 2)
    prompt = {"Prompt-Prefix": "aa:5000,bb:100", "Token-Usage": "5100,10"}
    await fleet.request(http, "/chat/1", "POST", **prompt)
    first = next(engine for engine in fleet.engines if engine.served)
    other = next(engine for engine in fleet.engines if engine is not first)
    assert "kv-fetch" not in first.served[0].headers
    first.faults.sheds = True
    await fleet.request(http, "/chat/1", "POST", **prompt, **{"Attempt-Id": "a2"})
    source = f"127.0.0.1:{first.server.port}"
    assert other.served[-1].headers["kv-fetch"] == source


async def test_headers_that_only_the_router_sets_are_not_accepted_from_callers(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    forged = {"Tenant": "couva", "Hold": "h", "Pin_Ms": "9", "Kv_From": "1.2.3.4:5/x"}
    await fleet.request(http, "/chat/1", "POST", **forged, **{"X_Key": KEY})
    [served] = [s for replica in fleet.engines for s in replica.served]
    assert served.headers["tenant"] == "arima"
    # The route's priority is 1, the team's 3.
    assert served.headers["request-priority"] == "1"
    assert not {"hold", "pin-ms", "kv-from", "x-key"} & served.headers.keys()


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/nowhere/1", {}, 404),
        ("/pee", {}, 404),
        ("/peek/1", {"Host": "other.example"}, 404),
        ("/peek/1", {"Authorization": "Bearer wrong"}, 401),
        ("/peek/1", {"Authorization": f"Basic {KEY}"}, 401),
        ("/peek/1", {"Deadline_Ms": "soon"}, 400),
        ("/peek/1", {"Deadline_Ms": "0"}, 400),
        ("/peek/1", {"Deadline_Ms": "nan"}, 400),
        ("/peek/1", {"Attempt_Id": ""}, 400),
    ],
)
async def test_request_that_is_not_allowed_reaches_no_server(
    fleet: Fleet,
    http: httpx.AsyncClient,
    path: str,
    headers: dict[str, str],
    status: int,
) -> None:
    answer = await fleet.request(http, path, **headers)
    assert answer.status_code == status
    assert not any(replica.served for replica in fleet.replicas)


async def test_longest_prefix_chooses_the_route(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    await fleet.request(http, "/peek/deep/1")
    assert [bool(e.served) for e in fleet.plain] == [False, False]
    assert any(engine.served for engine in fleet.engines)


async def test_public_route_accepts_requests_without_a_key(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    answer = await fleet.request(http, "/open/1", Authorization="Bearer wrong")
    assert answer.status_code == 200
    [served] = [s for replica in fleet.plain for s in replica.served]
    assert "tenant" not in served.headers
    assert "authorization" not in served.headers


async def test_stream_is_forwarded_event_by_event(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    for engine in fleet.engines:
        engine.event_s = 0.2
    arrivals: list[float] = []
    url = fleet.url + "/chat/1"
    async with http.stream("POST", url, headers=request_headers(**PROMPT)) as answer:
        text = ""
        async for piece in answer.aiter_text():
            arrivals.append(anyio.current_time())
            text += piece
    assert text == "".join(f"id: {n}\ndata: event {n}\n\n" for n in range(1, 6))
    assert len(arrivals) >= 4
    assert answer.headers["server-seal"] in {"e1", "e2"}


async def test_cut_stream_resumes_on_another_server(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """The first engine's connection breaks in the middle of its third event.

    The caller has two complete events; the rest comes from the other engine, which gets
    the last one's id. No event is lost or repeated; the headers are the first engine's.
    """
    first, second = fleet.engines
    first.faults.cut_after = second.faults.cut_after = 2
    fault_cleared = anyio.Event()

    async def clear_fault() -> None:
        await fleet.wait_until(lambda: first.served or second.served)
        (second if first.served else first).faults.cut_after = None
        fault_cleared.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(clear_fault)
        answer = await fleet.request(http, "/chat/1", "POST", **PROMPT)
    assert answer.text == "".join(f"id: {n}\ndata: event {n}\n\n" for n in range(1, 6))
    served = [s for engine in fleet.engines for s in engine.served]
    resumed = [s.headers.get("last-event-id") for s in served]
    assert sorted(resumed, key=str) == ["2", None]
    broken = next(e for e in fleet.engines if e.faults.cut_after)
    assert answer.headers["server-seal"] == broken.server_id


async def test_stream_whose_rest_is_refused_counts_as_failed(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against an error answer that is sent after the events of a stream."""
    first, second = fleet.engines
    first.faults.cut_after = second.faults.cut_after = 2

    async def refuse_the_rest() -> None:
        await fleet.wait_until(lambda: first.served or second.served)
        other = second if first.served else first
        other.faults.status, other.faults.cut_after = 404, None

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(refuse_the_rest)
        with pytest.raises(httpx.RemoteProtocolError):
            await fleet.request(http, "/chat/1", "POST", **PROMPT)
    [outcome] = [
        sample.labels["outcome"]
        for metric in fleet.node.app.metrics.registry.collect()
        for sample in metric.samples
        if sample.name == "godwit_requests_total"
    ]
    assert outcome == "backend_failed"


async def test_cut_stream_that_may_not_be_resumed_does_not_look_complete(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    for engine in fleet.engines:
        engine.faults.cut_after = 2
    with pytest.raises(httpx.RemoteProtocolError):
        await fleet.request(http, "/digest/1", "POST", **PROMPT)
    assert sum(len(engine.served) for engine in fleet.engines) == 1


async def test_server_that_sheds_everything_fails_no_request(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    fleet.plain[0].faults.sheds = True
    answers = [await fleet.request(http, "/pay/1", "POST") for _ in range(6)]
    assert [answer.status_code for answer in answers] == [200] * 6


async def test_refusal_of_a_request_that_was_not_run_has_status_503_and_retry_after(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    for replica in fleet.plain:
        replica.faults.sheds = True
    answer = await fleet.request(http, "/pay/1", "POST")
    assert answer.status_code == 503
    assert float(answer.headers["retry-after"]) > 0
    assert not any(replica.served for replica in fleet.plain)


async def test_server_error_is_retried_only_where_the_request_may_be_repeated(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    fleet.plain[0].faults.status = 500
    peeks = [await fleet.request(http, "/peek/1") for _ in range(2)]
    assert [answer.status_code for answer in peeks] == [200, 200]
    fleet.plain[1].faults.status = 500
    before = sum(len(replica.served) for replica in fleet.plain)
    paid = await fleet.request(http, "/pay/1", "POST")
    assert paid.status_code == 500
    assert paid.headers["server-seal"] in {"p1", "p2"}
    assert sum(len(replica.served) for replica in fleet.plain) == before + 1


async def test_last_error_is_forwarded_unchanged_when_every_attempt_fails(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    for replica in fleet.plain:
        replica.faults.status = 500
    answer = await fleet.request(http, "/peek/1")
    assert (answer.status_code, answer.content) == (500, b"answer of app")
    assert "server-seal" in answer.headers
    assert sum(len(replica.served) for replica in fleet.plain) == 2


async def test_answer_of_another_request_is_not_forwarded(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """A late answer to an earlier request arrives on a connection that is reused.

    If it were forwarded, a caller would read another one's balance. The connection is
    closed, and the status does not promise that the request was not run.
    """
    for replica in fleet.plain:
        replica.faults.wrong_id = True
    answer = await fleet.request(http, "/pay/1", "POST")
    assert answer.status_code == 502
    assert "server-seal" not in answer.headers
    assert sum(len(replica.served) for replica in fleet.plain) == 1


async def test_incomplete_answer_is_not_forwarded(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    for replica in fleet.plain:
        replica.faults.cut_after = 1
    answer = await fleet.request(http, "/pay/1", "POST")
    assert answer.status_code == 502


async def test_request_ends_at_the_server_when_its_caller_disconnects(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    for engine in fleet.engines:
        engine.event_s = 0.3
    url = fleet.url + "/chat/1"
    async with http.stream("POST", url, headers=request_headers(**PROMPT)) as answer:
        async for _ in answer.aiter_raw():
            break
    await fleet.wait_until(
        lambda: sum(engine.disconnects for engine in fleet.engines) == 1
    )
    await fleet.wait_until(lambda: not fleet.node.app.exchanges)


async def test_route_timeout_is_answered_with_504(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    for replica in fleet.plain:
        replica.faults.hangs = True
    answer = await fleet.request(http, "/brief/1")
    assert answer.status_code == 504
    served = [s for replica in fleet.plain for s in replica.served]
    assert 0 < int(served[0].headers["deadline-ms"]) <= 300


async def test_body_over_the_limit_is_refused_and_the_limit_follows_configuration(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    body = b"x" * 20_000
    assert (await fleet.request(http, "/pay/1", "POST", body)).status_code == 413
    limits = config_of(1)["limits"] | {"maxBodyBytes": 30_000}
    await fleet.configure(2, limits=limits)
    assert (await fleet.request(http, "/pay/1", "POST", body)).status_code == 200


async def test_head_over_the_limit_is_refused(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    answer = await fleet.request(http, "/pay/1", "POST", X_Long="x" * 8_000)
    assert answer.status_code in (400, 431)
    assert not any(replica.served for replica in fleet.plain)


async def test_smuggled_request_is_not_run(fleet: Fleet) -> None:
    """Request smuggling: a second request follows a first one with two lengths.

    Whichever length is applied, no server may receive the second as a request.
    """
    hidden = (
        f"POST /pay/hidden HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: h\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
    )
    first = (
        f"POST /pay/first HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: f\r\n"
        f"Authorization: Bearer {KEY}\r\nTransfer-Encoding: chunked\r\n"
        f"Content-Length: 6\r\nConnection: close\r\n\r\n0\r\n\r\n{hidden}"
    )
    async with await anyio.connect_tcp(
        "127.0.0.1", fleet.node.caller_server.port
    ) as stream:
        await stream.send(first.encode())
        with anyio.move_on_after(5), suppress(anyio.EndOfStream):
            while await stream.receive():
                pass
    targets = [s.target for replica in fleet.plain for s in replica.served]
    assert "/pay/hidden" not in targets


async def test_body_that_stalls_is_refused_as_not_run(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A caller's phone loses its network while it sends a payment's body.

    The status promises that nothing ran, and no server receives an incomplete payment.
    """
    monkeypatch.setattr(frontend, "BODY_TIMEOUT_S", 0.2)
    request = (
        f"POST /pay/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: s\r\n"
        f"Authorization: Bearer {KEY}\r\nDeadline-Ms: 5000\r\n"
        "Content-Length: 11\r\n\r\nten "
    )
    async with await anyio.connect_tcp(
        "127.0.0.1", fleet.node.caller_server.port
    ) as stream:
        await stream.send(request.encode())
        with anyio.fail_after(5):
            answer = await stream.receive()
    assert answer.startswith(b"HTTP/1.1 408 ")
    assert not any(replica.served for replica in fleet.replicas)


async def test_pipelined_requests_are_answered_in_order(fleet: Fleet) -> None:
    request = "".join(
        f"GET /peek/{n} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: i{n}\r\n"
        f"Authorization: Bearer {KEY}\r\n\r\n"
        for n in (1, 2)
    )
    async with await anyio.connect_tcp(
        "127.0.0.1", fleet.node.caller_server.port
    ) as stream:
        await stream.send(request.encode())
        got = b""
        with anyio.fail_after(10):
            while got.count(b"answer of app") < 2:
                got += await stream.receive()
    assert got.index(b"i1") < got.index(b"i2")


async def test_withdrawn_key_is_refused_and_others_still_work(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    tenants = [{"name": "couva", "apiKeys": [OTHER_KEY]}]
    await fleet.configure(2, tenants=tenants)
    assert (await fleet.request(http, "/peek/1")).status_code == 401
    other = await fleet.request(http, "/peek/1", Authorization=f"Bearer {OTHER_KEY}")
    assert other.status_code == 200


async def test_older_or_invalid_configuration_changes_nothing(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    moved = [route("peek", "/moved/", "idempotent", "app")]
    await fleet.configure(5, routes=moved)
    fleet.store.put_config(config_of(4))
    fleet.store.put("op", "config", b"\xff not json")
    fleet.store.put_config({"version": 9, "routes": [{"name": "x"}]})
    moved.append(route("more", "/more/", "idempotent", "app"))
    await fleet.configure(10, routes=moved)
    assert (await fleet.request(http, "/peek/1")).status_code == 404
    assert (await fleet.request(http, "/more/1")).status_code == 200


async def test_routes_split_by_weight(fleet: Fleet, http: httpx.AsyncClient) -> None:
    split = [{"service": "app", "weight": 0}, {"service": "lm", "weight": 3}]
    routes = [route("peek", "/peek/", "idempotent", "none", split=split)]
    await fleet.configure(2, routes=routes)
    for _ in range(4):
        await fleet.request(http, "/peek/1")
    assert sum(len(engine.served) for engine in fleet.engines) == 4


async def test_leaving_server_gets_no_new_requests(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    first, second = fleet.plain
    first.publish_row("draining")
    await fleet.wait_until(lambda: fleet.node.driver.listed_backends["p1"].leaving)
    for _ in range(4):
        assert (await fleet.request(http, "/peek/1")).status_code == 200
    assert not first.served
    fleet.store.remove_server("p1")
    await fleet.wait_until(lambda: "p1" not in fleet.node.driver.listed_backends)
    assert (await fleet.request(http, "/peek/1")).status_code == 200
    assert len(second.served) == 5


@pytest.mark.parametrize(
    "content",
    [
        b"\xff\xfe",
        b"[]",
        b'{"service": "app"}',
        json.dumps({"service": 7, "address": "1.2.3.4:5", "zone": "z1"}).encode(),
        json.dumps(
            {
                "service": "app",
                "address": "nowhere",
                "zone": "z1",
                "state": "ready",
                "batchSlots": 4,
            }
        ).encode(),
        json.dumps(
            {
                "service": "app",
                "address": "127.0.0.1:9",
                "zone": "z1",
                "state": "resting",
                "batchSlots": 4,
            }
        ).encode(),
    ],
)
async def test_row_that_cannot_be_read_adds_no_server_and_removes_none(
    fleet: Fleet, http: httpx.AsyncClient, content: bytes
) -> None:
    fleet.store.put("servers", "odd", content)
    fleet.plain[0].publish_row("ready", coldLeftMs=5)
    fleet.store.put_server("late", {"service": "lm"} | json_of(fleet, "e1"))
    await fleet.wait_until(lambda: "late" in fleet.node.driver.listed_backends)
    assert fleet.node.driver.listed_backends.keys() == {"e1", "e2", "p1", "p2", "late"}
    assert (await fleet.request(http, "/peek/1")).status_code == 200


def json_of(fleet: Fleet, server_id: str) -> dict:
    engine = next(e for e in fleet.engines if e.server_id == server_id)
    return {
        "address": f"127.0.0.1:{engine.server.port}",
        "zone": "z1",
        "version": "v1",
        "state": "ready",
        "batchSlots": 8,
        "coldLeftMs": 0,
        "sequence": 0,
    }


async def test_reused_address_is_detected_and_the_request_runs_elsewhere(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """A server was restarted under another id, at the address of the old row.

    It answers that it is not the addressed server. This proves that nothing ran, so that
    even a payment may be sent to another server.
    """
    fleet.plain[0].server_id = "new"
    answers = [await fleet.request(http, "/pay/1", "POST") for _ in range(4)]
    assert [answer.status_code for answer in answers] == [200] * 4
    assert not fleet.plain[0].served


async def test_usage_is_reported_once_a_window_with_what_began(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    for _ in range(3):
        await fleet.request(http, "/peek/1")
    await fleet.request(http, "/chat/1", "POST", Authorization=f"Bearer {OTHER_KEY}")

    def counted() -> dict[str, int]:
        total: dict[str, int] = {}
        for report in fleet.store.reports:
            for team, count in report.counts.items():
                total[team] = total.get(team, 0) + count
        return total

    await fleet.wait_until(lambda: counted() == {"arima": 3, "couva": 1})
    windows = [report.window for report in fleet.store.reports]
    assert len(windows) == len(set(windows))
    assert {report.holder for report in fleet.store.reports} == {"front-1"}
    fences = [report.fence for report in fleet.store.reports]
    assert fences == sorted(fences)


async def test_unreachable_store_does_not_stop_requests(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    fleet.store.faults.refusal_status = 503
    await fleet.wait_until(
        lambda: fleet.node.followers[0].view.unreachable_since is not None
    )
    assert (await fleet.request(http, "/pay/1", "POST")).status_code == 200
    assert fleet.node.app.ready


async def test_change_missing_from_the_history_is_read_from_a_snapshot(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    fleet.store.faults.refusal_status = 503
    await fleet.wait_until(
        lambda: fleet.node.followers[0].view.unreachable_since is not None
    )
    fleet.store.put_config(config_of(7))
    fleet.store.compact_history()
    fleet.store.faults.refusal_status = None
    await fleet.wait_until(lambda: fleet.node.config_version() == 7)


async def test_node_without_configuration_answers_503() -> None:
    """A VM starts before any configuration is written.

    With a 401 or 404 a caller would give up on a valid request; the VM answers 503, and
    reports to the load balancer that it is not ready.
    """
    async with running(Fleet(configured=False)) as fleet, httpx.AsyncClient() as http:
        await fleet.wait_until(lambda: fleet.node.servers_known)
        ready = f"{fleet.node.readiness_server.url}/api/ready"
        assert (await http.get(ready)).status_code == 503
        assert (await fleet.request(http, "/peek/1")).status_code == 503
        fleet.store.put_config(config_of(1))
        await fleet.wait_until(lambda: fleet.node.app.ready)
        assert (await http.get(ready)).status_code == 200
        metrics = (await http.get(f"{fleet.node.metrics_server.url}/metrics")).text
        assert "godwit_config_version 1.0" in metrics
        assert 'godwit_platform_calls_total{call="follow"}' in metrics
        assert 'godwit_relay_table_age_seconds{table="servers"} 0.' in metrics
        assert 'godwit_table_rows_behind{table="op"} 0.0' in metrics
        assert (
            f'godwit_table_version{{table="op"}} {fleet.node.feed.copies["op"].version}.0'
            in metrics
        )


async def test_stop_gives_requests_five_sixths_of_the_grace_period() -> None:
    """A stream is still running when five sixths of the grace period are over.

    Cut earlier, it is lost although the server would have completed it in time. The
    process must end within the period, or it is killed with usage not yet written.
    """
    async with running(Fleet()) as fleet:
        grace_s = fleet.node.settings.bounds.grace_s
        cut_at = BALANCER_WAIT_S + fleet.node.caller_server.grace_s
        assert grace_s * 5 / 6 < cut_at
        assert cut_at + fleet.node.writer.timing.stop_s < grace_s * 0.95


async def test_stop_completes_open_streams_and_closes_connections(
    http: httpx.AsyncClient,
) -> None:
    """The VM is stopped in the middle of a stream.

    It stops being ready at once, a request that still arrives is served on a
    connection that then closes, the stream is completed, and the lease is released.
    """
    async with running(Fleet()) as fleet, anyio.create_task_group() as tasks:
        for engine in fleet.engines:
            engine.event_s = 0.2
        url = fleet.url + "/chat/1"
        text = ""
        async with http.stream(
            "POST", url, headers=request_headers(**PROMPT)
        ) as answer:
            async for piece in answer.aiter_text():
                if not text:
                    tasks.start_soon(fleet.node.close)
                    await fleet.wait_until(lambda: fleet.node.app.stopping)
                    assert not fleet.node.app.ready
                    late = await fleet.request(http, "/peek/1")
                    assert late.status_code == 200
                    assert late.headers["connection"] == "close"
                text += piece
        assert text.count("data:") == 5
        with anyio.fail_after(10):
            await fleet.node.caller_server.stopped.wait()


SCALE = {
    "min": 1,
    "max": 4,
    "bootTimeS": 4.0,
    "spotPrice": 0.22,
    "zonePrices": {"z1": 1.0},
}
SCALED = [
    {"name": "lm", "engine": {"batchSlots": 8}, "scaleLimits": SCALE},
    {"name": "app"},
]


async def test_holder_orders_cheap_servers_within_the_limits(
    fleet: Fleet,
) -> None:
    """Two on-demand engines run and four are allowed: two cheap ones are ordered first.

    The on-demand engine that they replace is released only once they serve.
    """
    await fleet.configure(2, services=SCALED)
    await fleet.wait_until(lambda: fleet.store.orders)
    [order] = fleet.store.orders
    assert order[2:] == ("lm", "z1", "spot", 2)
    assert order.holder == "front-1"
    assert order.fence >= 1
    for replica in (ReplicaStandin(fleet.store, f"s{n}", "lm") for n in (1, 2)):
        replica.port = fleet.engines[0].port
        replica.publish_row("ready", spot=True)
    await fleet.wait_until(lambda: len(fleet.store.orders) == 2)
    assert fleet.store.orders[1][2:] == ("lm", "z1", "standard", 1)


async def test_unavailable_order_is_not_repeated_each_round(fleet: Fleet) -> None:
    fleet.store.faults.spot_unavailable = True
    await fleet.configure(2, services=SCALED)
    await fleet.wait_until(lambda: ORDER_SERVERS in fleet.store.calls)
    await anyio.sleep(2 * ROUND_S)
    assert fleet.store.calls.count(ORDER_SERVERS) == 1
    assert fleet.store.orders == []


async def test_server_gets_no_more_than_the_rate_that_it_states(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against a server in need that goes on getting its usual share."""
    limited = fleet.engines[0]
    limited.faults.rate_limit = "1.0"
    while not limited.served:
        await fleet.request(http, "/chat/1", "POST")
    before = len(limited.served)
    began_at = time.monotonic()
    for number in range(40):
        answer = await fleet.request(http, "/chat/1", "POST", Attempt_Id=f"b{number}")
        assert answer.status_code == 200
    allowed = 1.5 * (time.monotonic() - began_at) + 5
    assert len(limited.served) - before <= allowed


async def test_server_gets_its_share_again_once_it_states_no_rate(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against a server that stays limited after its need is over."""
    limited = fleet.engines[0]
    limited.faults.rate_limit = "1.0"
    while not limited.served:
        await fleet.request(http, "/chat/1", "POST")
    limited.faults.rate_limit = None
    before = len(limited.served)
    with anyio.fail_after(20):
        while len(limited.served) < before + 12:
            async with anyio.create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(fleet.request, http, "/chat/1", "POST")


async def test_server_that_states_a_limit_rejects_few_requests(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against a server that falls over as it has to reject too many."""
    brittle = fleet.plain[0]
    brittle.faults.sheds = True
    brittle.faults.rejection_limit = "2"
    began_at = time.monotonic()
    for number in range(60):
        headers = {"Attempt-Id": f"b{number}"}
        answer = await fleet.request(http, "/peek/1", "POST", **headers)
        assert answer.status_code == 200
        await anyio.sleep(0.02)
    assert fleet.node.driver.count_rejection_limited_servers() == 1
    allowed = 2 * (time.monotonic() - began_at) + 2
    assert 0 < brittle.shed <= allowed
    brittle.faults.sheds = False
    brittle.faults.rejection_limit = None
    with anyio.fail_after(20):
        while fleet.node.driver.count_rejection_limited_servers():
            async with anyio.create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(fleet.request, http, "/peek/1", "POST")


async def test_usage_of_a_vm_that_stops_in_an_outage_of_the_store_is_written(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against usage that is left behind though most of the grace is over unused."""
    assert (await fleet.request(http, "/pay/1", "POST")).status_code == 200
    fleet.store.faults.refusal_status = 503
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.node.close)
        await anyio.sleep(BALANCER_WAIT_S + 4 * fleet.node.writer.timing.stop_s)
        fleet.store.faults.refusal_status = None
    last = fleet.node.writer.journal.last
    assert last is not None and last.ended
    assert fleet.node.writer.journal.holds_all
