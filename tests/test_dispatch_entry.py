"""Failures of backend servers, with real sockets from caller to engine."""

import json
from collections.abc import Iterator
from pathlib import Path
from socket import socket

import anyio
import httpx
import pytest

from godwitmast.dev.document import MODEL, SERVICE, dev_document, dev_key
from godwitmast.dev.system import DevSystem
from godwitmast.standins.engine import StandinEngine
from processes import Process, Processes
from running import running

pytestmark = pytest.mark.anyio

BEARER = {"Authorization": f"Bearer {dev_key('arima')}"}


def prompt(text: str) -> dict:
    message = {"role": "user", "content": text}
    return {"model": MODEL, "messages": [message], "stream": True}


async def ask(http: httpx.AsyncClient, url: str, text: str) -> httpx.Response:
    url = f"{url}/v1/chat/completions"
    return await http.post(url, headers=BEARER, json=prompt(text))


def positions(answer: httpx.Response) -> list[int]:
    """Return the positions of the received tokens in the whole answer."""
    events = [x[6:] for x in answer.text.splitlines() if x.startswith("data: ")]
    assert events.pop() == "[DONE]", answer.text[-500:]
    words = [json.loads(e)["choices"][0]["delta"]["content"] for e in events]
    return [int(word.split("-")[1]) for word in words]


def engines_with_tokens(system: DevSystem) -> list[StandinEngine]:
    """Return the engines from which the entry has forwarded tokens."""
    active_requests = system.entries[0].driver.router.active_requests
    return [
        engine
        for engine in system.engines
        if any(
            active.tokens for active in active_requests.on_server(engine.settings.name)
        )
    ]


async def test_streams_of_a_hung_engine_resume_on_other_engines(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    """An engine hangs during six streams, with its connections open.

    The router detects an inter-token gap longer than usual, cancels the attempts there
    and resumes them on the other engines: no token is missing or sent twice.
    """
    async with running(system):
        url = system.entries[0].server.url
        answers: list[httpx.Response] = []

        async def caller(number: int) -> None:
            answers.append(await ask(http, url, f"caller {number} length=120"))

        for _ in range(3):
            await ask(http, url, "warm length=20")
        async with anyio.create_task_group() as tasks:
            for number in range(6):
                tasks.start_soon(caller, number)
            with anyio.fail_after(10):
                while not (busy := engines_with_tokens(system)):
                    await anyio.sleep(0.01)
            busy[0].faults.hang = True
        busy[0].faults.hang = False
        assert len(answers) == 6
        for answer in answers:
            assert positions(answer) == list(range(1, 121))
        resumed = [s for e in system.engines for s in e.served if s["resume_from"]]
        assert resumed
        assert all(record not in busy[0].served for record in resumed)


@pytest.fixture
def unreachable() -> Iterator[str]:
    """Yield a URL that refuses connections, at a port that no other test can take."""
    with socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{bound.getsockname()[1]}"


async def test_unreachable_server_fails_no_request(
    http: httpx.AsyncClient, unreachable: str
) -> None:
    system = DevSystem(engines=2)
    async with running(system):
        urls = [engine.server.url for engine in system.engines]
        system.put_config(dev_document([unreachable, *urls], system.service.server.url))
        entry = system.entries[0]
        with anyio.fail_after(10):
            while unreachable not in entry.driver.urls.values():
                await anyio.sleep(0.02)
        for _ in range(12):
            assert (await ask(http, entry.server.url, "length=3")).status_code == 200


async def test_refusal_to_run_is_retried_and_a_payment_runs_once(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    """A service refuses a payment three times without running it, then runs it."""
    async with running(system):
        url = system.entries[0].server.url
        system.service.faults.refuse = 3
        pay = f"{url}/services/{SERVICE}/payments"
        answer = await http.post(pay, headers=BEARER, json={"amount": 5})
        assert answer.status_code == 200
        assert len(system.service.records) == 1
        system.engines[0].models.clear()
        for _ in range(8):
            assert positions(await ask(http, url, "length=4")) == [1, 2, 3, 4]


async def test_load_header_is_read_and_not_forwarded(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    async with running(system):
        entry = system.entries[0]
        reports = []
        reported = entry.driver.record_load
        entry.driver.record_load = lambda *args: (
            reports.append(args),
            reported(*args),
        )
        answer = await http.post(
            f"{entry.server.url}/v1/chat/completions",
            headers=BEARER,
            json={**prompt("length=2"), "stream": False},
        )
        assert answer.status_code == 200
        assert "engine-load" not in answer.headers
        assert any(report.age_s == 0.0 for _, report in reports)


async def get_ready(http: httpx.AsyncClient, daemon: Process) -> None:
    with anyio.fail_after(20):
        while (await http.get(f"{daemon.url}/readyz")).status_code != 200:
            await anyio.sleep(0.05)


async def test_poison_request_crashes_two_engines_and_not_the_third(
    processes: Processes, http: httpx.AsyncClient, tmp_path: Path
) -> None:
    """A prompt crashes each engine process that receives it; its caller resends it.

    It crashes the first engine, its retry the second one, and then the request is
    refused with 422. The third engine continues to serve, and the streams interrupted
    by the crashes are resumed.
    """
    engines = [
        processes.spawn(f"engine-{n}", "godwitmast.standins.cli", "engine")
        for n in range(3)
    ]
    service = processes.spawn("service", "godwitmast.standins.cli", "service")
    for engine in engines:
        faults = {"crash_on": "boom", "exits": True}
        await http.post(f"{engine.url}/faults", json=faults)
    platform = processes.spawn_platform(
        dev_document([e.url for e in engines], service.url)
    )
    entry = processes.spawn(
        "entry",
        "godwitmast.entry.cli",
        settings=f'node = "n"\nzone = "dev"\nplatform.url = "{platform.url}"',
    )
    await get_ready(http, entry)
    answers: list[httpx.Response] = []

    async def other_caller(number: int) -> None:
        answers.append(await ask(http, entry.url, f"caller {number} length=150"))

    async with anyio.create_task_group() as tasks:
        for number in range(6):
            tasks.start_soon(other_caller, number)
        await anyio.sleep(0.5)
        first_answer = await ask(http, entry.url, "boom")
        assert first_answer.status_code == 422
        assert first_answer.headers["godwit-not-run"] == "unknown"
        second_answer = await ask(http, entry.url, "boom")
        assert second_answer.status_code == 422
        assert second_answer.json()["error"]["code"] == "quarantined"
        assert second_answer.headers["godwit-not-run"] == "true"
    assert sum(engine.popen.poll() is None for engine in engines) == 1
    assert len(answers) == 6
    for answer in answers:
        assert positions(answer) == list(range(1, 151))
