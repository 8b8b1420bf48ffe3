"""Pools that lose all of their entries in the list of servers at once."""

from collections.abc import AsyncIterator

import anyio
import httpx
import pytest

from fleet import Fleet, route
from godwitmast.config.document import Backend
from godwitmast.dispatch.backends import RETURN_WAIT_S
from godwitmast.entry.last_servers import LastServers
from godwitmast.platform.wire import DRAINING, READY
from running import running

pytestmark = pytest.mark.anyio

KEPT_S = 0.4
"""Less than the time for which servers are used without entries."""


PATIENT = [route("pay", "/pay/", "non_idempotent", "app", sloMs=4000, attempts=1)]


def server(*pools: str, leaving: bool = False) -> Backend:
    return Backend("http://10.0.0.1:80", "z1", frozenset(pools), leaving=leaving)


def listed(**servers: Backend) -> dict[str, Backend]:
    return servers


@pytest.fixture
def last() -> LastServers:
    return LastServers(keep_s=2.0)


def test_last_servers_of_a_pool_are_kept_until_they_may_have_ended(
    last: LastServers,
) -> None:
    before = listed(a=server("app"), b=server("app"), c=server("lm"))
    last.update(before, listed(c=server("lm")), 10.0)
    assert last.kept.keys() == {"a", "b"}
    assert not last.has_expired(11.9)
    assert last.has_expired(12.0)
    last.update(listed(c=server("lm")), listed(c=server("lm")), 12.0)
    assert not last.kept


def test_server_that_was_removed_shortly_before_the_last_one_is_kept_too(
    last: LastServers,
) -> None:
    both, one = listed(a=server("app"), b=server("app")), listed(b=server("app"))
    last.update(both, one, 10.0)
    assert not last.kept
    last.update(one, {}, 11.0)
    assert last.kept.keys() == {"a", "b"}
    last.update({}, {}, 12.5)
    assert last.kept.keys() == {"b"}


@pytest.mark.parametrize("back", ["a", "other"])
def test_nothing_is_kept_once_the_pool_has_a_server_again(
    last: LastServers, back: str
) -> None:
    last.update(listed(a=server("app")), {}, 10.0)
    last.update({}, {back: server("app")}, 10.5)
    assert not last.kept


def test_server_that_was_leaving_is_not_kept_and_serves_no_pool(
    last: LastServers,
) -> None:
    leaving = server("app", leaving=True)
    last.update(listed(a=server("app"), b=leaving), listed(b=leaving), 10.0)
    assert last.kept.keys() == {"a"}
    last.update(listed(b=leaving), {}, 10.5)
    assert last.kept.keys() == {"a"}


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with running(Fleet()) as started:
        yield started


async def remove_entries(fleet: Fleet) -> None:
    """Remove the entries of all plain servers, and wait until the VM knows it."""
    for replica in fleet.plain:
        fleet.store.remove_server(replica.server_id)
    await fleet.wait_until(
        lambda: not {"p1", "p2"} & fleet.node.driver.listed_backends.keys()
    )


@pytest.mark.parametrize("path", ["/pay/1", "/peek/1"])
async def test_requests_are_served_while_all_entries_of_their_servers_are_missing(
    fleet: Fleet, http: httpx.AsyncClient, path: str
) -> None:
    """Guards against requests that are refused though their servers answer."""
    await remove_entries(fleet)
    removed_at = anyio.current_time()
    while anyio.current_time() < removed_at + KEPT_S:
        assert (await fleet.request(http, path, "POST")).status_code == 200
        await anyio.sleep(0.05)


async def test_requests_wait_for_servers_whose_entries_are_back_soon(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against requests that are refused at once in a gap of a second or two."""
    await fleet.configure(2, routes=PATIENT)
    await remove_entries(fleet)
    await fleet.wait_until(lambda: not fleet.node.driver.last_servers.kept)
    statuses = []

    async def pay(number: int) -> None:
        answer = await fleet.request(http, "/pay/1", "POST", attempt_id=f"a{number}")
        statuses.append(answer.status_code)

    async with anyio.create_task_group() as tasks:
        for number in range(5):
            tasks.start_soon(pay, number)
        await anyio.sleep(1.0)
        assert statuses == []
        fleet.plain[0].publish_row(READY)
    assert statuses == [200] * 5


async def test_requests_are_refused_once_their_servers_are_gone_for_long(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against requests that wait until their deadline for servers that left."""
    await fleet.configure(2, routes=PATIENT)
    await remove_entries(fleet)
    await fleet.wait_until(lambda: not fleet.node.driver.last_servers.kept)
    emptied_at = anyio.current_time()
    answer = await fleet.request(http, "/pay/1", "POST")
    assert (answer.status_code, answer.headers["godwit-not-run"]) == (503, "true")
    assert "no_backend" in answer.text
    assert anyio.current_time() < emptied_at + RETURN_WAIT_S + 1.0
    again_at = anyio.current_time()
    answer = await fleet.request(http, "/pay/1", "POST")
    assert (answer.status_code, answer.headers["retry-after"]) == (503, "1.000")
    assert anyio.current_time() < again_at + RETURN_WAIT_S / 2


async def test_requests_that_wait_in_vain_for_servers_may_return_soon(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against callers that are sent away for longer, the more of them wait."""
    await remove_entries(fleet)
    await fleet.wait_until(lambda: not fleet.node.driver.last_servers.kept)
    answers = []

    async def peek(number: int) -> None:
        answers.append(
            await fleet.request(http, "/peek/1", "POST", attempt_id=f"a{number}")
        )

    async with anyio.create_task_group() as tasks:
        for number in range(20):
            tasks.start_soon(peek, number)
    assert {(a.status_code, a.headers["retry-after"]) for a in answers} == {
        (503, "1.000")
    }


async def test_draining_server_without_an_entry_gets_no_requests(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against requests that reach a server which has said that it leaves."""
    for replica in fleet.plain:
        replica.publish_row(DRAINING)
    await fleet.wait_until(
        lambda: all(
            fleet.node.driver.listed_backends[name].leaving for name in ("p1", "p2")
        )
    )
    await remove_entries(fleet)
    assert not fleet.node.driver.last_servers.kept
    answer = await fleet.request(http, "/pay/1", "POST")
    assert (answer.status_code, answer.headers["godwit-not-run"]) == (503, "true")
    assert not any(replica.served for replica in fleet.plain)
