"""A caller's request from end to end, over real sockets."""

import json

import anyio
import httpx
import pytest
from openai import AsyncOpenAI

from godwitmast.dev.document import MODEL, SERVICE, dev_key
from godwitmast.dev.system import DevSystem
from godwitmast.entry.openai import OpenAiFrontend, is_below
from godwitmast.standins.engine import EngineCrashed
from godwitmast.standins.unframed import UnframedFront
from godwitmast.usage.meter import UsageKey
from running import running

pytestmark = pytest.mark.anyio

KEY = dev_key("arima")
BEARER = {"Authorization": f"Bearer {KEY}"}


def prompt(text: str, **extra: object) -> dict:
    return {"model": MODEL, "messages": [{"role": "user", "content": text}], **extra}


async def test_stock_client_streams_a_whole_answer(system: DevSystem) -> None:
    async with running(system):
        url = system.entries[0].server.url
        async with AsyncOpenAI(base_url=f"{url}/v1", api_key=KEY) as client:
            stream = await client.chat.completions.create(
                model=MODEL,
                messages=[{"role": "user", "content": "hello length=50"}],
                stream=True,
            )
            words = [c.choices[0].delta.content async for c in stream if c.choices]
            whole = await client.chat.completions.create(
                model=MODEL, messages=[{"role": "user", "content": "length=5"}]
            )
            models = [model.id async for model in client.models.list()]
        assert [word.split("-")[1].strip() for word in words] == [
            str(n) for n in range(1, 51)
        ]
        assert whole.usage.completion_tokens == 5
        assert models == [MODEL]
        sums = system.entries[0].meter.sums[UsageKey("arima", "question", MODEL)]
        assert (sums.requests, sums.output_tokens) == (2, 55)


async def test_backend_never_sees_the_key(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    async with running(system):
        url = system.entries[0].server.url
        for place in (
            {"headers": {**BEARER, "X-Trace": f"copy of {KEY}"}},
            {"params": {"key": KEY, "page": "2"}},
            {"headers": {"Cookie": f"godwit_key={KEY}; theme=dark; other={KEY}"}},
        ):
            answer = await http.get(f"{url}/services/{SERVICE}/gifts", **place)
            assert answer.status_code == 200
        answer = await http.post(
            f"{url}/v1/chat/completions", headers=BEARER, json=prompt("length=2")
        )
        assert answer.status_code == 200
        seen = json.dumps(system.service.records) + json.dumps(
            [engine.served for engine in system.engines]
        )
        assert KEY not in seen
        assert "page=2" in seen
        assert "theme=dark" in seen


@pytest.mark.parametrize(
    ("change", "status", "code"),
    [
        ({"headers": {}}, 401, "missing_key"),
        ({"headers": {"Authorization": "Bearer nope"}}, 401, "invalid_key"),
        ({"content": b"{not json"}, 422, "bad_json"),
        ({"content": b"[1]"}, 422, "bad_request"),
        ({"json": {**prompt("x"), "model": "no-such"}}, 404, "model_not_found"),
        ({"json": {**prompt("x"), "max_tokens": -1}}, 422, "bad_request"),
        ({"headers": {**BEARER, "Godwit-Class": "no"}}, 403, "class_not_allowed"),
        ({"headers": {**BEARER, "Godwit-Deadline": "x"}}, 422, "bad_deadline"),
        ({"content": b"x" * (9 * 1024 * 1024)}, 413, "body_too_large"),
    ],
)
async def test_bad_input_gets_a_clear_error_and_reaches_no_backend(
    system: DevSystem, http: httpx.AsyncClient, change: dict, status: int, code: str
) -> None:
    request = {"headers": BEARER, **change}
    if "json" not in request and "content" not in request:
        request["json"] = prompt("x")
    async with running(system):
        url = f"{system.entries[0].server.url}/v1/chat/completions"
        answer = await http.post(url, **request)
        assert answer.status_code == status
        assert answer.json()["error"]["code"] == code
        assert answer.headers["godwit-not-run"] == "true"
        assert not any(engine.served for engine in system.engines)


async def test_caller_that_hangs_up_cancels_the_engine_and_is_metered(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    """The caller disconnects after a few tokens of a long answer.

    The entry closes its connection to the engine, which cancels the sequence; otherwise
    the engine would continue to generate unread tokens. Tokens generated so far are
    billed, since they used the engine.
    """
    async with running(system):
        entry = system.entries[0]
        async with http.stream(
            "POST",
            f"{entry.server.url}/v1/chat/completions",
            headers=BEARER,
            json=prompt("length=1000", stream=True),
        ) as answer:
            async for _ in answer.aiter_raw():
                break
        with anyio.fail_after(10):
            while entry.app.exchanges or any(e.model.running for e in system.engines):
                await anyio.sleep(0.02)
        sums = entry.meter.sums[UsageKey("arima", "question", MODEL)]
        assert sums.requests == 1
        assert 0 < sums.output_tokens < 1000


async def test_stream_cut_by_a_crash_is_resumed_without_repeat_or_gap(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    """The caller receives one complete answer although its engine crashes halfway.

    The connection to the engine breaks after some tokens. The entry makes a second
    attempt on another engine, which continues after the last token that the caller has.
    """
    async with running(system):
        url = f"{system.entries[0].server.url}/v1/chat/completions"
        text = ""
        async with http.stream(
            "POST", url, headers=BEARER, json=prompt("length=80", stream=True)
        ) as answer:
            async for piece in answer.aiter_text():
                text += piece
                busy = [e for e in system.engines if e.model.running]
                if text.count("data:") >= 20 and not any(
                    e.faults.crashed for e in system.engines
                ):
                    with pytest.raises(EngineCrashed):
                        busy[0].crash()
        events = [line[6:] for line in text.splitlines() if line.startswith("data: ")]
        assert events.pop() == "[DONE]"
        words = [json.loads(e)["choices"][0]["delta"]["content"] for e in events]
        assert [int(w.split("-")[1]) for w in words] == list(range(1, 81))
        assert sum(len(engine.served) for engine in system.engines) == 2


async def test_caller_that_stalls_in_its_body_gets_an_error(system: DevSystem) -> None:
    """The caller starts a request and never completes its body.

    The entry answers 408 after its time limit, so that stalled callers cannot hold
    connections and memory indefinitely. No engine receives the request.
    """
    async with running(system):
        frontend = system.entries[0].app.frontend
        assert isinstance(frontend, OpenAiFrontend)
        frontend.request_limits = frontend.request_limits._replace(body_timeout_s=0.2)
        port = system.entries[0].server.port
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(
                b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: 100\r\n\r\n{"
            )
            with anyio.fail_after(10):
                answer = await stream.receive()
        assert answer.startswith(b"HTTP/1.1 408")
        assert b"godwit-not-run: true" in answer.lower()
        assert not any(engine.served for engine in system.engines)


@pytest.mark.parametrize(
    ("path", "below"),
    [
        ("/drafts", True),
        ("/drafts/7", True),
        ("/draftsale", False),
        ("/drafts/../charge", False),
        ("/drafts/./../charge", False),
        ("/charge", False),
    ],
)
async def test_path_that_climbs_out_of_an_idempotent_one_is_not_below_it(
    path: str, below: bool
) -> None:
    """`/drafts` may be retried, `/charge` may not, and `/drafts/../charge` is a charge.

    If it counted as a draft, a charge whose connection broke would be sent again.
    """
    assert is_below(path, ["/drafts"]) is below


async def test_path_is_passed_on_as_it_was_encoded(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    async with running(system):
        url = f"{system.entries[0].server.url}/services/{SERVICE}/a%3Fb%20c?page=2"
        answer = await http.get(url, headers=BEARER)
        assert answer.status_code == 200
        [record] = system.service.records
        assert (record["path"], record["query"]) == ("/a?b c", "page=2")


async def test_completion_broken_off_without_framing_is_not_forwarded(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    """Guards against half a document that looks complete with its connection's end."""
    system.engines = system.engines[:1]
    async with running(system), anyio.create_task_group() as tasks:
        entry, engine = system.entries[0], system.engines[0]
        front = UnframedFront(engine.server.port)
        await front.start(tasks)
        urls = entry.driver.urls
        [name] = [name for name, url in urls.items() if url == engine.server.url]
        urls[name] = f"http://127.0.0.1:{front.port}"
        url = f"{entry.server.url}/v1/chat/completions"
        whole = await http.post(url, headers=BEARER, json=prompt("length=5"))
        front.max_bytes = 40
        hurried = {**BEARER, "Godwit-Deadline": "1"}
        cut = await http.post(url, headers=hurried, json=prompt("length=5"))
        tasks.cancel_scope.cancel()
    assert whole.status_code == 200
    assert whole.json()["usage"]["completion_tokens"] == 5
    assert (cut.status_code, cut.headers["godwit-not-run"]) == (504, "unknown")
