"""Exceptions in what is recorded of an answer that a backend server has given."""

from collections.abc import AsyncIterator
from operator import attrgetter
from typing import NamedTuple

import anyio
import httpx
import pytest

from fleet import PROMPT, Fleet
from godwitmast.claims.machine import Settlement
from godwitmast.dev.document import MODEL, SERVICE, dev_key
from godwitmast.dev.system import DevSystem
from godwitmast.supervision import TASK_FAILURES
from godwitmast.types import PoolName
from partition import Cut, Partition
from running import running

pytestmark = pytest.mark.anyio

BEARER = {"Authorization": f"Bearer {dev_key('arima')}"}
PATHS = ["/pay/1", "/peek/1", "/chat/1"]


class Recorder(NamedTuple):
    """What is recorded of an answer, and the method of a VM's component that does it."""

    task: str
    component: str
    method: str
    paths: list[str] = PATHS


RECORDERS = [
    Recorder("record_head", "driver", "record_heard"),
    Recorder("on_backend_start", "meter", "count_request"),
    Recorder("record_stream_begin", "stream_versions", "record_begin", ["/chat/1"]),
    Recorder("count_tokens", "driver", "record_tokens", ["/chat/1"]),
    Recorder("record_outcome", "app.metrics", "count_answer"),
]
CASES = [
    pytest.param(recorder, path, id=f"{recorder.task}-{path}")
    for recorder in RECORDERS
    for path in recorder.paths
]


def fail_always(*args: object) -> None:
    raise ZeroDivisionError


def failures_of(task: str) -> float:
    return TASK_FAILURES.labels(f"Exchange.{task}")._value.get()


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with running(Fleet()) as started:
        yield started


@pytest.mark.parametrize("recorder, path", CASES)
async def test_answer_is_passed_on_whatever_fails_to_record_it(
    fleet: Fleet,
    http: httpx.AsyncClient,
    monkeypatch: pytest.MonkeyPatch,
    recorder: Recorder,
    path: str,
) -> None:
    """Guards against a request that ran and is answered with an error, or half, as
    something of its answer could not be recorded."""
    whole = await fleet.request(http, path, "POST", **PROMPT)
    before = failures_of(recorder.task)
    component = attrgetter(recorder.component)(fleet.node)
    monkeypatch.setattr(component, recorder.method, fail_always)
    answer = await fleet.request(http, path, "POST", **PROMPT)
    assert (answer.status_code, len(answer.content)) == (200, len(whole.content))
    assert "server-seal" in answer.headers
    assert failures_of(recorder.task) == before + 1


async def test_answer_of_another_vm_is_passed_on_whatever_fails_to_record_it(
    fleet: Fleet, http: httpx.AsyncClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a payment that another VM had run and that is answered with an
    error, as what its answer says of the server could not be recorded."""
    await fleet.add_vm("front-2")
    Partition(fleet.node).set(Cut.RESET)
    forwarder, app = fleet.node.forwarder, PoolName("app")
    with anyio.fail_after(20):
        while not forwarder.choice.is_available(app, fleet.node.clock.now()):
            await fleet.request(http, "/peek/1")
    before = failures_of("record_departure")
    parser = fleet.node.client.header_parser
    monkeypatch.setattr(parser, "parse_statement", fail_always)
    answer = await fleet.request(http, "/pay/1", "POST")
    assert answer.status_code == 200 and "server-seal" in answer.headers
    assert failures_of("record_departure") > before


@pytest.mark.parametrize("streams", [False, True])
async def test_completion_is_passed_on_although_its_tokens_cannot_be_recorded(
    system: DevSystem,
    http: httpx.AsyncClient,
    monkeypatch: pytest.MonkeyPatch,
    streams: bool,
) -> None:
    """Guards against completions that are replaced or cut by an error."""
    async with running(system):
        [entry] = system.entries
        monkeypatch.setattr(entry.driver, "record_tokens", fail_always)
        answer = await http.post(
            f"{entry.server.url}/v1/completions",
            headers=BEARER,
            json={"model": MODEL, "prompt": "hello", "stream": streams},
        )
        assert answer.status_code == 200
        assert not streams or answer.content.endswith(b"data: [DONE]\n\n")


async def test_answer_of_a_claimed_call_is_passed_on_although_it_cannot_be_stored(
    system: DevSystem, http: httpx.AsyncClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a charge that ran and is answered with an error; a repeat must
    not run."""
    monkeypatch.setattr(Settlement, "steps", fail_always)
    async with running(system):
        url = f"{system.entries[0].server.url}/services/{SERVICE}/charge"
        headers = {**BEARER, "Idempotency-Key": "k1"}
        answer = await http.post(url, headers=headers)
        assert answer.status_code == 200
        assert (await http.post(url, headers=headers)).status_code == 409
        assert len(system.service.records) == 1
