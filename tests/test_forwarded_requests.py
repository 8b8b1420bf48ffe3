"""Requests that one VM forwarded to another that can't serve them, over real sockets."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import httpx
import pytest

from fleet import OTHER_KEY
from partition import Cut
from running import running
from test_unreachable_servers import ROUTES, Callers, VmFleet, assert_served, text_of

pytestmark = pytest.mark.anyio

WORK_S = 1.5
PATHS = ["/chat/1", "/peek/1", "/pay/1"]


@pytest.fixture
async def fleet() -> AsyncIterator[VmFleet]:
    async with running(VmFleet()) as started:
        yield started


@asynccontextmanager
async def forwarded_requests(
    fleet: VmFleet,
    http: httpx.AsyncClient,
    count: int,
    lost: int = 1,
    work_s: float = WORK_S,
) -> AsyncIterator[dict[str, list[httpx.Response]]]:
    """Yield the answers, by path, of requests that other VMs run for the first one.

    The first `lost` VMs are cut off from all backend servers, which then take `work_s`.
    """
    callers = Callers(fleet, http)
    node, *_ = fleet.cut(Cut.RESET, lost)
    await fleet.settle(callers, [node])
    for replica in fleet.plain:
        replica.work_s = work_s
    for engine in fleet.engines:
        engine.event_s = work_s / engine.events
    answers: dict[str, list[httpx.Response]] = {path: [] for path in PATHS}

    async def send(path: str) -> None:
        answers[path].append(await callers.send(node, path))

    async with anyio.create_task_group() as tasks:
        for path in PATHS:
            for _ in range(count):
                tasks.start_soon(send, path)
        places = sum(replica.places for replica in fleet.replicas)
        running_count = min(count * len(PATHS), places)
        await fleet.wait_until(
            lambda: sum(r.running for r in fleet.replicas) >= running_count
        )
        yield answers


@pytest.mark.parametrize("stopped", [[0], [1], [2], [1, 2], [0, 1, 2]])
async def test_forwarded_requests_are_answered_by_vms_that_stop(
    fleet: VmFleet, http: httpx.AsyncClient, stopped: list[int]
) -> None:
    """Guards against an answer that is lost as either of its two VMs stops."""
    async with forwarded_requests(fleet, http, 3) as answers:
        for number in stopped:
            fleet.tasks.start_soon(fleet.nodes[number].close)
    for path, received in answers.items():
        assert {(a.status_code, a.text) for a in received} == {(200, text_of(path))}


def ran(fleet: VmFleet, path: str) -> list[str]:
    """Return the ids of the requests to a path that backend servers have run."""
    return [
        served.headers["attempt-id"]
        for replica in fleet.replicas
        for served in replica.served
        if served.target == path
    ]


@pytest.mark.parametrize("stopped", [1, 2])
async def test_requests_that_wait_at_a_vm_that_stops_go_on_elsewhere(
    fleet: VmFleet, http: httpx.AsyncClient, stopped: int
) -> None:
    """Guards against payments that run twice, and refusals that are a VM's own matter."""
    async with forwarded_requests(fleet, http, 40) as answers:
        fleet.tasks.start_soon(fleet.nodes[stopped].close)
    assert len(ran(fleet, "/pay/1")) == len(set(ran(fleet, "/pay/1")))
    for path, received in answers.items():
        refused = [answer for answer in received if answer.status_code != 200]
        assert {a.text for a in received if a not in refused} == {text_of(path)}
        assert {(a.status_code, a.headers["godwit-not-run"]) for a in refused} <= {
            (503, "true")
        }


async def test_requests_that_outlast_the_grace_of_a_vm_go_on_elsewhere(
    fleet: VmFleet, http: httpx.AsyncClient
) -> None:
    """Guards against callers that are told of the stop of a VM that isn't theirs."""
    async with forwarded_requests(fleet, http, 4, lost=2, work_s=60.0) as answers:
        for replica in fleet.replicas:
            replica.work_s = replica.event_s = 0.0
        fleet.partitions[1].set(Cut.NONE)
        await fleet.nodes[2].close()
    assert len(ran(fleet, "/pay/1")) == len(set(ran(fleet, "/pay/1")))
    assert {(a.status_code, a.text) for a in answers["/peek/1"]} == {
        (200, text_of("/peek/1"))
    }
    assert {a.text for a in answers["/chat/1"]} == {text_of("/chat/1")}
    for answer in answers["/pay/1"]:
        found = answer.status_code, answer.headers["godwit-not-run"]
        assert found == (502, "unknown")
        assert "backend_failed" in answer.text


async def test_vm_short_of_memory_takes_no_requests_of_others(
    fleet: VmFleet, http: httpx.AsyncClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a refusal by another VM for a reason of its own."""
    callers = Callers(fleet, http)
    [node] = fleet.cut(Cut.RESET, 1)
    await fleet.settle(callers, [node])
    for number in (1, 2):
        memory = fleet.nodes[number].app.memory
        monkeypatch.setattr(memory, "admits", lambda *args: False)
        for _ in range(3):
            await assert_served(callers, [node])
        monkeypatch.undo()


async def test_forwarded_requests_of_a_withdrawn_key_are_ended(
    fleet: VmFleet, http: httpx.AsyncClient
) -> None:
    """Guards against requests that outlive their key as two VMs serve them."""
    for node in fleet.nodes:
        node.app.ends_withdrawn_streams = True
    async with forwarded_requests(fleet, http, 2, work_s=4.0) as answers:
        tenants = [{"name": "couva", "apiKeys": [OTHER_KEY]}]
        await fleet.configure(3, routes=ROUTES, tenants=tenants)
        with anyio.fail_after(2):
            while any(len(received) < 2 for received in answers.values()):
                await anyio.sleep(0.02)
    await fleet.wait_until(lambda: not any(r.running for r in fleet.replicas))
    for received in answers.values():
        found = {(a.status_code, a.headers["godwit-not-run"]) for a in received}
        assert found == {(401, "unknown")}
    assert len(ran(fleet, "/pay/1")) == len(set(ran(fleet, "/pay/1")))
