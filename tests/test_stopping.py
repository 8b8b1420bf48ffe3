"""Answers to callers while an entry stops."""

import json

import anyio
import httpx
import pytest
from anyio.abc import TaskGroup

from godwitmast.dev.document import MODEL, dev_key
from godwitmast.dev.system import DevSystem
from running import running

pytestmark = pytest.mark.anyio

BEARER = {"Authorization": f"Bearer {dev_key('arima')}"}
FAR_BELOW_STOP_TIMEOUT_S = 20
"""An entry waits up to 120 s for open requests; without any it must stop long before."""


def streamed(length: int) -> dict:
    message = {"role": "user", "content": f"length={length}"}
    return {"model": MODEL, "messages": [message], "stream": True}


def read_word_numbers(text: str) -> list[int]:
    """Return the word numbers of a streamed answer, which must be complete."""
    events = [line[6:] for line in text.splitlines() if line.startswith("data: ")]
    assert events.pop() == "[DONE]"
    words = [json.loads(e)["choices"][0]["delta"]["content"] for e in events]
    return [int(word.split("-")[1]) for word in words]


async def test_open_stream_completes_while_the_entry_stops(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    """An entry is stopped in the middle of an answer.

    Its listener closes and hypercorn shuts down; the stream continues to its last
    token, and only then the entry is closed.
    """
    async with running(system), anyio.create_task_group() as tasks:
        entry = system.entries[0]
        url = f"{entry.server.url}/v1/chat/completions"
        text = ""
        async with http.stream("POST", url, headers=BEARER, json=streamed(150)) as got:
            async for piece in got.aiter_text():
                if not text:
                    tasks.start_soon(entry.close)
                text += piece
        assert read_word_numbers(text) == list(range(1, 151))
        with anyio.fail_after(FAR_BELOW_STOP_TIMEOUT_S):
            await entry.server.stopped.wait()


async def test_idle_connections_do_not_delay_the_stop(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    """Callers keep idle connections open between requests; the stop ignores these."""
    async with running(system):
        entry = system.entries[0]
        assert (await http.get(f"{entry.server.url}/livez")).status_code == 200
        with anyio.fail_after(FAR_BELOW_STOP_TIMEOUT_S):
            await entry.close()


async def test_answers_during_the_balancer_wait_close_their_connections(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    """A caller that reuses its connection could send a request while it is closed.

    While the entry waits for the load balancer it is unready but still serves, and
    each answer has the header `Connection: close`.
    """
    async with running(system):
        entry = system.entries[0]
        url = entry.server.url
        before = await http.get(f"{url}/v1/models", headers=BEARER)
        assert "close" not in before.headers.get("connection", "")
        entry.app.stopping = True
        assert (await http.get(f"{url}/readyz")).status_code == 503
        answer = await http.get(f"{url}/v1/models", headers=BEARER)
        assert answer.status_code == 200
        assert answer.headers["connection"] == "close"
        text = (
            await http.post(
                f"{url}/v1/chat/completions", headers=BEARER, json=streamed(5)
            )
        ).text
        assert read_word_numbers(text) == [1, 2, 3, 4, 5]


async def test_callers_of_a_failed_entry_are_all_answered_by_another(
    http: httpx.AsyncClient,
) -> None:
    """An entry fails, and two hundred callers connect to the next one at once.

    Each gets an answer or a refusal with a retry-after; none waits without an answer,
    and the entry stays ready.
    """
    system = DevSystem(entries=2)
    async with running(system):
        url = system.entries[1].server.url
        statuses: list[int] = []

        async def call() -> None:
            answer = await http.post(
                f"{url}/v1/chat/completions", headers=BEARER, json=streamed(3)
            )
            if answer.status_code != 200:
                assert answer.headers["godwit-not-run"] == "true"
                assert int(answer.headers["retry-after"]) >= 1
            statuses.append(answer.status_code)

        async def connect_all(tasks: TaskGroup) -> None:
            for _ in range(200):
                tasks.start_soon(call)

        async with anyio.create_task_group() as tasks:
            await connect_all(tasks)
            assert (await http.get(f"{url}/readyz")).status_code == 200
        assert len(statuses) == 200
        assert set(statuses) <= {200, 429, 503}
        assert statuses.count(200) > 0
