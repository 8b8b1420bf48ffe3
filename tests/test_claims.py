"""Calls that may run at most once, over real sockets."""

import time

import anyio
import httpx
import pytest
from anyio.abc import SocketAttribute, SocketStream

from godwitmast.claims.keeper import SETTLE_WAIT_S
from godwitmast.dev.document import MODEL, SERVICE, dev_document, dev_key
from godwitmast.dev.system import DevSystem
from godwitmast.dispatch.messages import FailureKind, Start
from godwitmast.entry.claim_answers import header_bytes
from godwitmast.entry.exchange import Exchange
from godwitmast.keys.hashing import hash_key
from raw_server import RawServer, answer_of
from running import running

pytestmark = pytest.mark.anyio

BEARER = {"Authorization": f"Bearer {dev_key('arima')}"}


def keyed(key: str) -> dict[str, str]:
    return {**BEARER, "Idempotency-Key": key}


def charge_urls(system: DevSystem) -> list[str]:
    return [f"{e.server.url}/services/{SERVICE}/charge" for e in system.entries]


async def test_repeat_gets_the_first_answer_from_any_entry(
    http: httpx.AsyncClient,
) -> None:
    system = DevSystem(entries=2)
    async with running(system):
        first, second = charge_urls(system)
        one = await http.post(first, headers=keyed("k1"), content=b"10 dollars")
        two = await http.post(second, headers=keyed("k1"), content=b"10 dollars")
        assert one.status_code == two.status_code == 200
        assert one.content == two.content
        assert two.headers["godwit-replayed"] == "true"
        other = await http.post(second, headers=keyed("k1"), content=b"20 dollars")
        assert other.status_code == 409
        assert other.json()["error"]["code"] == "idempotency_conflict"
        assert other.headers["godwit-not-run"] == "true"
        assert len(system.service.records) == 1


async def test_call_is_refused_as_not_run_while_the_table_is_down(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    """Without the table no call can be claimed, and without a claim none is sent.

    The caller is answered at once that the call was not run, with a Retry-After; an
    idempotent call is served meanwhile.
    """
    async with running(system):
        [url] = charge_urls(system)
        system.platform.faults.outage = True
        refused = await http.post(url, headers=keyed("k1"))
        assert refused.status_code == 503
        assert refused.json()["error"]["code"] == "claim_unavailable"
        assert refused.headers["godwit-not-run"] == "true"
        assert int(refused.headers["retry-after"]) >= 1
        assert (await http.get(url, headers=BEARER)).status_code == 200
        system.platform.faults.outage = False
        answer = refused
        while answer.status_code == 503:
            answer = await http.post(url, headers=keyed("k1"))
        assert answer.status_code == 200
        assert sum(r["method"] == "POST" for r in system.service.records) == 1


async def test_lost_answers_of_the_table_never_run_a_call_twice(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    """The claim is written but the table's answer is lost; the entry reads the row."""
    async with running(system):
        [url] = charge_urls(system)
        system.platform.faults.lose_answers = 1
        answer = await http.post(url, headers=keyed("k1"))
        assert answer.status_code == 200
        again = await http.post(url, headers=keyed("k1"))
        assert again.content == answer.content
        assert len(system.service.records) == 1


async def test_call_whose_server_failed_stays_unknown_for_ever(
    http: httpx.AsyncClient,
) -> None:
    """The service receives the call and closes the connection without an answer.

    Whether the charge was made cannot be known, so every entry answers each retry that
    the outcome is unknown, and none sends the call again.
    """
    system = DevSystem(entries=2)
    calls: list[bytes] = []

    async def die(stream: SocketStream) -> None:
        async with stream:
            data = await stream.receive()
            if data.startswith(b"POST"):
                calls.append(data)

    async with (
        running(system),
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(listener.serve, die)
        port = listener.extra(SocketAttribute.local_port)
        urls = [engine.server.url for engine in system.engines]
        system.put_config(dev_document(urls, f"http://127.0.0.1:{port}"))
        await version_in_force(system, 2)
        for url in charge_urls(system) * 2:
            answer = await http.post(url, headers=keyed("k1"))
            assert answer.status_code in (409, 503)
            assert answer.headers["godwit-not-run"] == "unknown"
        assert answer.status_code == 409
        assert answer.json()["error"]["code"] == "outcome_unknown"
        assert "retry-after" not in answer.headers
        assert len(calls) == 1
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("value", [b"Jos\xe9", "José".encode(), b"\xff\x80"])
async def test_answer_with_a_header_that_is_not_ascii_is_passed_on_and_stored(
    http: httpx.AsyncClient, value: bytes
) -> None:
    """Guards against a charge that ran and is answered with an error for ever, as its
    answer's headers could not be stored."""
    system = DevSystem(entries=2)
    service = RawServer(answer_of(b"paid", b"X-Clerk: " + value))
    async with running(system), running(service):
        urls = [engine.server.url for engine in system.engines]
        system.put_config(dev_document(urls, service.url))
        await version_in_force(system, 2)
        for url in charge_urls(system) * 2:
            answer = await http.post(url, headers=keyed("k1"), content=b"10 dollars")
            assert (answer.status_code, answer.content) == (200, b"paid")
            values = [v for name, v in answer.headers.raw if name.lower() == b"x-clerk"]
            assert values == [value]
        assert len(service.requests) == 1


@pytest.mark.parametrize("text", ["José", "10 \N{EURO SIGN}"])
def test_stored_header_of_an_older_version_is_sent(text: str) -> None:
    """Guards against answers that were stored as UTF-8 and can't be repeated."""
    [(_, value)] = header_bytes([("x-clerk", text)])
    assert text in (value.decode("latin-1"), value.decode("utf-8", "replace"))


async def test_call_completes_without_its_caller_and_its_answer_is_stored(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    """The caller times out while its charge runs, and retries with the same key."""
    async with running(system):
        [url] = charge_urls(system)
        system.service.faults.work_s = 0.6
        with pytest.raises(httpx.ReadTimeout):
            await http.post(url, headers=keyed("k1"), timeout=0.3)
        early = await http.post(url, headers=keyed("k1"))
        assert early.status_code == 409
        assert "retry-after" in early.headers
        with anyio.fail_after(10):
            answer = early
            while answer.status_code == 409:
                await anyio.sleep(0.05)
                answer = await http.post(url, headers=keyed("k1"))
        assert answer.status_code == 200
        assert answer.json()["number"] == 1
        assert len(system.service.records) == 1


async def test_claim_is_released_when_no_server_could_be_reached(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    async with running(system):
        [url] = charge_urls(system)
        urls = [engine.server.url for engine in system.engines]
        good = system.service.server.url
        system.put_config(dev_document(urls, "http://127.0.0.1:1"))
        await version_in_force(system, 2)
        answer = await http.post(url, headers=keyed("k1"))
        assert answer.status_code == 503
        assert answer.headers["godwit-not-run"] == "true"
        system.put_config(dev_document(urls, good))
        await version_in_force(system, 3)
        with anyio.fail_after(10):
            while answer.status_code == 503:
                answer = await http.post(url, headers=keyed("k1"))
        assert answer.status_code == 200, answer.text
        assert len(system.service.records) == 1


async def test_streamed_model_call_marked_non_idempotent_is_replayed_whole(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    async with running(system):
        urls = [engine.server.url for engine in system.engines]
        document = dev_document(urls, system.service.server.url)
        document["models"][MODEL]["idempotent"] = False
        system.put_config(document)
        await version_in_force(system, 2)
        url = f"{system.entries[0].server.url}/v1/chat/completions"
        body = {
            "model": MODEL,
            "stream": True,
            "messages": [{"role": "user", "content": "length=9"}],
        }
        one = await http.post(url, headers=keyed("k1"), json=body)
        two = await http.post(url, headers=keyed("k1"), json=body)
        assert one.text == two.text
        assert one.text.count('"content"') == 9
        assert two.headers["content-type"] == "text/event-stream"
        assert sum(len(engine.served) for engine in system.engines) == 1


async def version_in_force(system: DevSystem, number: int) -> None:
    """Wait until every entry has the configuration of version `number`."""
    with anyio.fail_after(10):
        while any(entry.follower.version < number for entry in system.entries):
            await anyio.sleep(0.02)


async def put_grant(system: DevSystem, **grant: float) -> None:
    """Publish a configuration with another grant of the key of arima; await it."""
    urls = [engine.server.url for engine in system.engines]
    document = dev_document(urls, system.service.server.url)
    document["keys"][hash_key(dev_key("arima"))] |= grant
    await version_in_force(system, system.platform.put_config(document))


async def test_answer_of_a_call_whose_key_is_withdrawn_meanwhile_is_stored(
    http: httpx.AsyncClient,
) -> None:
    """Guards against a charge that ran, and whose repeats get 409 for ever."""
    system = DevSystem(entries=2)
    system.service.faults.work_s = 3.0
    answers: list[httpx.Response] = []

    async def charge(url: str) -> None:
        answers.append(await http.post(url, headers=keyed("k1")))

    async with running(system), anyio.create_task_group() as tasks:
        first, second = charge_urls(system)
        tasks.start_soon(charge, first)
        with anyio.fail_after(10):
            while not system.service.running:
                await anyio.sleep(0.02)
        await put_grant(system, expires_at=time.time() - 1.0)
        with anyio.fail_after(2):
            while not answers:
                await anyio.sleep(0.02)
        assert system.service.running
        assert answers[0].status_code == 401
        assert answers[0].headers["godwit-not-run"] == "unknown"
        await put_grant(system)
        with anyio.fail_after(10):
            while system.service.running:
                await anyio.sleep(0.02)
        await anyio.sleep(SETTLE_WAIT_S)
        repeat = await http.post(second, headers=keyed("k1"))
        assert (repeat.status_code, repeat.json()["number"]) == (200, 1)
        assert len(system.service.records) == 1


async def test_call_of_a_withdrawn_key_is_not_sent_to_another_server(
    http: httpx.AsyncClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a retry that runs a call after its key was withdrawn, and against
    a claim of it that stays."""
    record_failure = Exchange.record_attempt_failure

    def withdraw_first(exchange: Exchange, start: Start, kind: FailureKind) -> None:
        exchange.withdraw_key()
        record_failure(exchange, start, kind)

    monkeypatch.setattr(Exchange, "record_attempt_failure", withdraw_first)
    system = DevSystem()
    system.service.faults.refuse = 1
    async with running(system):
        url = charge_urls(system)[0]
        answer = await http.post(url, headers=keyed("k1"))
        assert answer.status_code == 401
        assert system.service.records == []
        repeat = await http.post(url, headers=keyed("k1"))
        with anyio.fail_after(5):
            while repeat.status_code == 409:
                await anyio.sleep(0.1)
                repeat = await http.post(url, headers=keyed("k1"))
        assert repeat.status_code == 200
        assert len(system.service.records) == 1
