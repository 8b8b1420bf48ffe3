"""Bytes that a server sends after an answer, which belong to no request."""

from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import anyio
import httpx
import pytest
from anyio.abc import TaskGroup

from fleet import Fleet, request_headers
from godwitmast.entry.refusals import send_response
from godwitmast.http_server import Send
from godwitmast.platform.wire import ATTEMPT_ID
from godwitmast.standins.extra import ExtraFront, ExtraTime
from godwitmast.standins.replica import SEAL_HEADER, ReplicaStandin
from godwitmast.types import BackendId
from running import running

pytestmark = pytest.mark.anyio

CALLERS = 4
REQUESTS = 15
FAILING = 7
"""One answer in that many is a failure."""

SECOND = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Seal: e1\r\n"
    b"Content-Length: 7\r\n\r\nanother"
)
EXTRA = {
    "rejection": b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "second answer": SECOND,
    "answer without an id": SECOND.replace(b"Attempt-Id: other\r\n", b""),
    "half a value": SECOND[: SECOND.index(b"e1") + 1],
    "half a name": SECOND[: SECOND.index(b"Seal")],
    "a reason": b"HTTP/1.1 200 ",
    "a status line": b"HTTP/1.1 200 OK\r\n",
    "half a body": SECOND[:-3],
    "half an interim answer": b"HTTP/1.1 103 Early\r\nLink: x",
    "empty line": b"\r\n",
    "no HTTP": b"\x00\xffnot an answer",
}


@dataclass
class FailingReplica(ReplicaStandin):
    """A replica whose answers repeat their status and id, and of which some fail."""

    runs: Counter[str] = field(default_factory=Counter)
    fails: bool = True

    async def answer(self, headers: dict[str, str], send: Send) -> None:
        attempt = headers[ATTEMPT_ID]
        self.runs[attempt] += 1
        await anyio.sleep(0.002)
        is_failure = self.fails and sum(self.runs.values()) % FAILING == 0
        status = 500 if is_failure else 200
        fields = [(ATTEMPT_ID.encode(), attempt.encode()), (SEAL_HEADER, b"x")]
        await send_response(send, status, fields, f"{status} {attempt}".encode())


@dataclass
class ExtraFleet(Fleet):
    """One VM, and two replicas behind fronts that add bytes."""

    async def start(self, tasks: TaskGroup) -> None:
        await super().start(tasks)
        self.plain = [FailingReplica(self.store, f"p{n}", "app") for n in (1, 2)]
        self.fronts: list[ExtraFront] = []
        for replica in self.plain:
            await replica.server.start(tasks)

    async def add_fronts(
        self, extra: bytes, at: ExtraTime, every: int, servers: int = 2
    ) -> None:
        for replica in self.plain[:servers]:
            front = ExtraFront(replica.server.port, extra, at, every)
            await front.start(self.tasks)
            self.fronts.append(front)
            replica.port = front.port
            replica.publish_row("ready")
        removed = {BackendId(replica.server_id) for replica in self.plain[servers:]}
        for name in removed:
            self.store.remove_server(name)
        await self.wait_until(lambda: not removed & self.node.driver.urls.keys())
        ports = {front.port for front in self.fronts}
        await self.wait_until(lambda: ports <= self.known_ports())

    def known_ports(self) -> set[int | None]:
        return {httpx.URL(url).port for url in self.node.driver.urls.values()}

    async def call_often(self, path: str) -> dict[str, httpx.Response]:
        """Return the answers to requests of several callers at a time, by their ids."""
        answers: dict[str, httpx.Response] = {}

        async def call(caller: int) -> None:
            async with httpx.AsyncClient(trust_env=False, timeout=10) as http:
                for number in range(REQUESTS):
                    attempt = f"a{caller}-{number}"
                    answers[attempt] = await http.post(
                        self.url + path, headers=request_headers(attempt)
                    )

        async with anyio.create_task_group() as tasks:
            for caller in range(CALLERS):
                tasks.start_soon(call, caller)
        return answers


@pytest.fixture
async def fleet() -> AsyncIterator[ExtraFleet]:
    async with running(ExtraFleet()) as started:
        yield started


def runs_of(fleet: ExtraFleet) -> Counter[str]:
    return sum((replica.runs for replica in fleet.plain), Counter[str]())


@pytest.mark.parametrize("path", ["/pay/1", "/peek/1"])
@pytest.mark.parametrize("at", ExtraTime)
@pytest.mark.parametrize("extra", EXTRA.values(), ids=EXTRA.keys())
async def test_bytes_after_an_answer_are_no_answer(
    fleet: ExtraFleet, extra: bytes, at: ExtraTime, path: str
) -> None:
    """Guards against extra bytes that are read as the answer to the next request."""
    await fleet.add_fronts(extra, at, every=3)
    answers = await fleet.call_often(path)
    runs = runs_of(fleet)
    for attempt, answer in answers.items():
        if "server-seal" in answer.headers:
            assert answer.text == f"{answer.status_code} {attempt}"
        else:
            assert answer.status_code in (502, 503, 504)
        if path.startswith("/pay"):
            assert runs[attempt] <= 1
        if answer.status_code == 503:
            assert runs[attempt] == 0
    lost = sum("server-seal" not in answer.headers for answer in answers.values())
    added = sum(front.added for front in fleet.fronts)
    assert added > 0
    # Bytes that arrive after the next request was sent may cost that one, but no other.
    assert lost <= (0 if at is ExtraTime.TOGETHER else added)


@pytest.mark.parametrize("at", ExtraTime)
async def test_server_that_sends_extra_bytes_does_not_count_as_crashed(
    fleet: ExtraFleet, at: ExtraTime
) -> None:
    """Guards against live servers that get no requests, and requests under suspicion."""
    await fleet.add_fronts(EXTRA["second answer"], at, every=3)
    await fleet.call_often("/peek/1")
    router = fleet.node.driver.router
    assert router is not None
    assert not router.crashes
    assert fleet.node.driver.count_suspects() == 0


@pytest.mark.parametrize("path", ["/pay/1", "/peek/1"])
async def test_only_server_that_sends_extra_bytes_goes_on_getting_requests(
    fleet: ExtraFleet, path: str
) -> None:
    """Guards against requests that wait or are refused while their server is idle."""
    fleet.plain[0].fails = False
    await fleet.add_fronts(EXTRA["second answer"], ExtraTime.NEXT, 1, servers=1)
    answers = await fleet.call_often(path)
    [front] = fleet.fronts
    assert front.added > 0
    # The others ran, even if their answers did not arrive.
    assert not any(answer.status_code == 503 for answer in answers.values())


@pytest.mark.parametrize("path", ["/pay/1", "/peek/1"])
async def test_connections_of_sound_servers_are_used_again(
    fleet: ExtraFleet, path: str
) -> None:
    """Guards against a new connection for each request."""
    await fleet.add_fronts(b"", ExtraTime.TOGETHER, every=0)
    answers = await fleet.call_often(path)
    assert len(answers) == CALLERS * REQUESTS
    assert sum(front.connections for front in fleet.fronts) <= 2 * CALLERS
