"""Answers that arrive again, late, where that of the next request is expected."""

import base64
import random
from collections import defaultdict
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import anyio
import httpx
import pytest
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from fleet import Fleet, request_headers, settings_of
from godwitmast.backends.client import BackendClient, LoadDocument
from godwitmast.backends.transport import MAX_EXCHANGES
from godwitmast.entry import forwarding
from godwitmast.entry.outbound import EVENT_STREAM
from godwitmast.entry.refusals import send_response
from godwitmast.errors import PlatformUnavailable
from godwitmast.http_server import Send
from godwitmast.platform.settings import PlatformFile
from godwitmast.platform.store import DutyClient
from godwitmast.platform.wire import ATTEMPT_ID, LAST_EVENT_ID, REPORT_USAGE, StoredRow
from godwitmast.settings import check_settings
from godwitmast.standins.extra import RepeatingFront
from godwitmast.standins.replica import SEAL_HEADER, ReplicaStandin
from godwitmast.standins.unframed import receive
from godwitmast.types import PoolName
from partition import Cut, Partition
from running import running

pytestmark = pytest.mark.anyio

CALLERS = 3
REQUESTS = 6
SENDS = 3
"""How often a caller sends each of its requests."""

STATUSES = (200, 200, 500, 503)
EVENTS = 3
PATHS = ["/peek/1", "/pay/1", "/chat/1"]
SHORT = {"Deadline-Ms": "1000"}
SEND_ID = "x-send"
"""Header that tells the sends of one request apart."""

REFUSALS = (502, 503, 504)

Kept = Callable[[bytes], int]

KEPT: dict[str, Kept] = {
    "whole": len,
    "status line": lambda answer: answer.index(b"\r\n") + 2,
    "reason": lambda answer: answer.index(b"\r\n") - 1,
    "value": lambda answer: answer.index(b"server-seal: ") + len(b"server-seal: s"),
    "head": lambda answer: answer.index(b"\r\n\r\n") + 4,
    "half the body": lambda answer: (answer.index(b"\r\n\r\n") + 4 + len(answer)) // 2,
}


@dataclass
class MixedReplica(ReplicaStandin):
    """A replica whose answers name their run, and of which some are failures."""

    seed: int = 0
    statuses: tuple[int, ...] = STATUSES
    runs: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    """The status of each run, by the send that it belongs to."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.random = random.Random(f"{self.server_id}/{self.seed}")

    async def answer(self, headers: dict[str, str], send: Send) -> None:
        attempt, send_id = headers[ATTEMPT_ID], headers[SEND_ID]
        status = self.random.choice(self.statuses)
        runs = self.runs[send_id]
        runs.append(status)
        text = f"{self.server_id} {send_id} {len(runs)}"
        head = [(ATTEMPT_ID.encode(), attempt.encode()), (SEAL_HEADER, b"seal")]
        await anyio.sleep(0.002)
        if not self.streams or status != 200:
            await send_response(send, status, head, f"{status} {text}".encode())
            return
        await self.send_head(
            send, 200, [*head, (b"content-type", EVENT_STREAM.encode())]
        )
        for number in range(int(headers.get(LAST_EVENT_ID, "0")) + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {text}\n\n".encode()
            await send({"type": "http.response.body", "body": event, "more_body": True})
        await send({"type": "http.response.body", "body": b""})


@dataclass
class LateFleet(Fleet):
    """One VM, and servers behind fronts that repeat answers."""

    async def start(self, tasks: TaskGroup) -> None:
        await super().start(tasks)
        self.mixed: list[MixedReplica] = []
        self.fronts: list[RepeatingFront] = []

    async def put_behind_fronts(
        self, kept: Kept, pieces: int, ahead_s: float, every: int = 1, servers: int = 2
    ) -> None:
        """Replace the servers of both services by some that are behind fronts."""
        for replica in self.replicas:
            self.store.remove_server(replica.server_id)
        for number in range(servers):
            for service, name in (("app", f"x{number}"), ("lm", f"y{number}")):
                await self.add_server(name, service, kept, pieces, ahead_s, every)
        ports = {front.port for front in self.fronts}
        await self.wait_until(lambda: self.known_ports() == ports)

    async def add_server(
        self,
        name: str,
        service: str,
        kept: Kept,
        pieces: int,
        ahead_s: float,
        every: int,
    ) -> None:
        replica = MixedReplica(self.store, name, service, streams=service == "lm")
        await replica.server.start(self.tasks)
        front = RepeatingFront(replica.server.port, kept, pieces, ahead_s, every)
        await front.start(self.tasks)
        replica.port = front.port
        replica.publish_row("ready")
        self.mixed.append(replica)
        self.fronts.append(front)

    async def close(self) -> None:
        await super().close()
        for replica in self.mixed:
            await replica.close()

    def known_ports(self) -> set[int | None]:
        return {httpx.URL(url).port for url in self.node.driver.urls.values()}

    def runs(self, send_id: str) -> dict[str, int]:
        """Return the statuses of a send's runs, by the text that names the run."""
        return {
            f"{replica.server_id} {send_id} {number}": status
            for replica in self.mixed
            for number, status in enumerate(replica.runs.get(send_id, ()), start=1)
        }


class Called(NamedTuple):
    """A send of a request, and its answer."""

    send_id: str
    answer: httpx.Response


async def call_again(
    fleet: LateFleet, path: str, sends: int = SENDS, url: str = ""
) -> list[Called]:
    """Return the answers of callers, each of which sends each request several times."""
    called: list[Called] = []

    async def call(caller: int) -> None:
        async with httpx.AsyncClient(trust_env=False, timeout=20) as http:
            for number in range(REQUESTS):
                attempt, send_id = f"a{caller}-{number // sends}", f"{caller}-{number}"
                headers = request_headers(attempt, **SHORT, **{SEND_ID: send_id})
                answer = await http.post((url or fleet.url) + path, headers=headers)
                called.append(Called(send_id, answer))

    async with anyio.create_task_group() as tasks:
        for caller in range(CALLERS):
            tasks.start_soon(call, caller)
    return called


def assert_own_answers(fleet: LateFleet, called: list[Called], path: str) -> None:
    """Check that each answer is that of a run of its own send."""
    for send_id, answer in called:
        runs = fleet.runs(send_id)
        if "server-seal" in answer.headers:
            is_stream = answer.headers.get("content-type") == EVENT_STREAM
            texts = events_of if is_stream else whole_texts
            assert (answer.status_code, answer.text) in texts(runs)
        else:
            assert answer.status_code in REFUSALS, answer.text
        if path.startswith("/pay"):
            assert len(runs) <= 1
        if answer.headers.get("godwit-not-run") == "true":
            assert runs == {}


def whole_texts(runs: dict[str, int]) -> list[tuple[int, str]]:
    return [(status, f"{status} {run}") for run, status in runs.items()]


def events_of(runs: dict[str, int]) -> list[tuple[int, str]]:
    numbers = range(1, EVENTS + 1)
    return [
        (200, "".join(f"id: {number}\ndata: {run}\n\n" for number in numbers))
        for run, status in runs.items()
        if status == 200
    ]


@pytest.fixture
async def fleet() -> AsyncIterator[LateFleet]:
    async with running(LateFleet()) as started:
        yield started


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    "cut, ahead_s",
    [("whole", 0.0), ("whole", 0.03), ("head", 0.0), ("half the body", 0.03)],
)
async def test_late_answer_to_an_earlier_send_is_not_taken(
    fleet: LateFleet, cut: str, ahead_s: float, path: str
) -> None:
    """Guards against the answer to the first send of a request for its second."""
    pieces = 3 if ahead_s else 1
    await fleet.put_behind_fronts(KEPT[cut], pieces, ahead_s)
    called = await call_again(fleet, path)
    assert_own_answers(fleet, called, path)
    assert any("server-seal" in answer.headers for _, answer in called)


@pytest.mark.parametrize("path", ["/peek/1", "/pay/1", "/chat/1"])
@pytest.mark.parametrize("pieces, ahead_s", [(1, 0.0), (3, 0.03)])
async def test_late_answers_to_other_requests_lose_no_request(
    fleet: LateFleet, pieces: int, ahead_s: float, path: str
) -> None:
    """Guards against payments of unknown outcome for a late answer to another one."""
    await fleet.put_behind_fronts(len, pieces, ahead_s, servers=1)
    for replica in fleet.mixed:
        # Its own failures would take a server out of rotation.
        replica.statuses = (200,)
    called = await call_again(fleet, path, sends=1)
    assert_own_answers(fleet, called, path)
    assert all("server-seal" in answer.headers for _, answer in called)
    assert sum(front.added for front in fleet.fronts) > REQUESTS
    # One for each caller, and one for each repeated send.
    repeated = sum(len(runs) - 1 for r in fleet.mixed for runs in r.runs.values())
    assert sum(front.connections for front in fleet.fronts) <= CALLERS + repeated


@pytest.fixture
async def cut_off(fleet: LateFleet) -> LateFleet:
    """Return a fleet whose first VM reaches no server, but another VM through a front."""
    await fleet.put_behind_fronts(len, 1, 0.0, every=0)
    other = await fleet.add_vm("front-2")
    front = RepeatingFront(other.forwarded_server.port, every=0)
    await front.start(fleet.tasks)
    fleet.fronts = [front]
    address = other.forwarder.address = f"127.0.0.1:{front.port}"
    other.forwarder.on_change()
    rows = fleet.store.rows
    await fleet.wait_until(lambda: any(holds(row, address) for row in rows.values()))
    Partition(fleet.node).set(Cut.RESET)
    async with anyio.create_task_group() as sends:
        for path in PATHS:
            sends.start_soon(call_again, fleet, path)
    for pool in ("app", "lm"):
        await fleet.wait_until(lambda p=PoolName(pool): is_available(fleet, p))
    for replica in fleet.mixed:
        replica.runs.clear()
    front.every, front.connections = 3, 0
    return fleet


def is_available(fleet: LateFleet, pool: PoolName) -> bool:
    forwarder = fleet.node.forwarder
    return forwarder.choice.is_available(pool, fleet.node.clock.now())


def holds(row: StoredRow, address: str) -> bool:
    return address.encode() in base64.b64decode(row.value)


@pytest.mark.parametrize(
    "path, cut, sends",
    [
        ("/peek/1", "whole", 1),
        ("/peek/1", "half the body", SENDS),
        ("/pay/1", "whole", SENDS),
        ("/chat/1", "whole", 1),
        ("/chat/1", "half the body", 1),
    ],
)
async def test_late_answer_of_another_vm_is_not_taken(
    cut_off: LateFleet, path: str, cut: str, sends: int
) -> None:
    """Guards against the answer to another request that another VM sends late."""
    [front] = cut_off.fronts
    front.kept = KEPT[cut]
    called = await call_again(cut_off, path, sends)
    assert_own_answers(cut_off, called, path)
    assert front.added > 0
    assert any("server-seal" in answer.headers for _, answer in called)


@pytest.fixture
def older_version(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have VMs repeat no nonce in their answers."""
    monkeypatch.setattr(forwarding, "with_nonce", lambda send, nonce: send)


async def test_vm_that_repeats_no_nonce_is_forwarded_to(
    older_version: None, cut_off: LateFleet
) -> None:
    """Guards against requests that VMs of the version before cannot take."""
    [front] = cut_off.fronts
    front.every = 1
    called = await call_again(cut_off, "/pay/1")
    assert_own_answers(cut_off, called, "/pay/1")
    assert all("server-seal" in answer.headers for _, answer in called)
    assert front.connections >= len(called)


@pytest.mark.parametrize("path", ["/pay/1", "/chat/1"])
async def test_late_answers_of_another_vm_lose_no_request(
    cut_off: LateFleet, path: str
) -> None:
    """Guards against a VM that counts as lost as it answers twice."""
    [front] = cut_off.fronts
    front.every = 1
    for replica in cut_off.mixed:
        replica.statuses = (200,)
    called = await call_again(cut_off, path, 1)
    assert_own_answers(cut_off, called, path)
    assert all("server-seal" in answer.headers for _, answer in called)
    assert front.added > 0


async def test_connections_to_another_vm_are_used_again(cut_off: LateFleet) -> None:
    """Guards against a new connection for each request that is forwarded."""
    [front] = cut_off.fronts
    front.every = 0
    called = await call_again(cut_off, "/pay/1", 1)
    assert_own_answers(cut_off, called, "/pay/1")
    assert front.connections <= 4 * CALLERS


@pytest.mark.parametrize("cut", ["status line", "reason", "value"])
async def test_part_of_a_late_answer_is_not_joined_with_the_next_one(
    fleet: LateFleet, cut: str
) -> None:
    """Guards against an answer with the status of one send and the body of another."""
    await fleet.put_behind_fronts(KEPT[cut], 1, 0.0)
    assert_own_answers(fleet, await call_again(fleet, "/peek/1"), "/peek/1")


async def test_connection_carries_many_requests_but_each_only_once(
    tasks: TaskGroup,
) -> None:
    """Guards against a new connection for each request, and one for a second send."""
    server = AnsweringServer()
    await server.start(tasks)
    client = BackendClient()
    for number in range(MAX_EXCHANGES):
        await call_server(client, server, f"a{number}")
    assert server.connections == 1
    await call_server(client, server, "b1")
    assert server.connections == 2
    await call_server(client, server, "b2")
    assert server.connections == 2
    await call_server(client, server, "b1")
    assert server.connections == 3
    for _ in range(3):
        await call_server(client, server, "")
    assert server.connections == 3
    await client.close()


async def test_each_of_several_sends_at_once_gets_a_connection(
    tasks: TaskGroup,
) -> None:
    """Guards against sends that wait for each other, or for a connection for ever."""
    server = AnsweringServer()
    await server.start(tasks)
    client = BackendClient()
    with anyio.fail_after(10):
        for _ in range(3):
            async with anyio.create_task_group() as sends:
                for _ in range(5):
                    sends.start_soon(call_server, client, server, "a1")
    assert server.connections <= 15
    await client.close()


async def test_late_answer_is_not_read_as_a_load_nor_a_load_as_an_answer(
    tasks: TaskGroup,
) -> None:
    """Guards against answers without an id that are taken from another request."""
    server = AnsweringServer()
    await server.start(tasks)
    front = RepeatingFront(httpx.URL(server.url).port or 0)
    await front.start(tasks)
    client, url = BackendClient(), f"http://127.0.0.1:{front.port}"
    for number in range(1, 11):
        document = await client.get_json(f"{url}/load", LoadDocument, 1.0)
        assert document == LoadDocument(2 * number - 1, 0)
        async with client.exchange("GET", url, "/", [("host", "x")], b"") as answer:
            assert (await answer.aread())[:1] != b"{"
    await client.close()


@pytest.mark.parametrize("statuses", [(200, 503), (503, 200)])
async def test_late_answer_to_a_duty_call_is_not_taken_for_the_next_one(
    tasks: TaskGroup, statuses: tuple[int, int]
) -> None:
    """Guards against usage that was never accepted and counts as reported."""
    server = AnsweringServer()
    server.statuses = list(statuses)
    await server.start(tasks)
    front = RepeatingFront(httpx.URL(server.url).port or 0)
    await front.start(tasks)
    raw = settings_of(front.port)
    duties = DutyClient(check_settings(raw, PlatformFile, "settings"))
    assert [await report(duties) for _ in statuses] == list(statuses)
    await duties.close()


async def report(duties: DutyClient) -> int:
    """Return the status with which a report of usage was answered."""
    try:
        answer = await duties.send(
            "POST", REPORT_USAGE, before_write=lambda: None, json={}
        )
    except PlatformUnavailable:
        return 503
    return answer.status_code


class AnsweringServer:
    """Answers each request with the id that it bears, and `/load` with their count."""

    def __init__(self) -> None:
        self.connections = 0
        self.requests = 0
        self.statuses: list[int] = []
        """Statuses of the next answers; 200 after them."""
        self.url = ""

    async def start(self, tasks: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.url = f"http://127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        tasks.start_soon(listener.serve, self.serve)

    async def serve(self, stream: SocketStream) -> None:
        self.connections += 1
        async with stream:
            while data := await receive(stream):
                while b"content-length: " in data.lower() and not data.endswith(b"}"):
                    data += await receive(stream)
                await stream.send(self.answer(data))

    def answer(self, request: bytes) -> bytes:
        self.requests += 1
        status = self.statuses.pop(0) if self.statuses else 200
        name = request.partition(b"attempt-id: ")[2].partition(b"\r\n")[0].decode()
        is_load = request.startswith(b"GET /load")
        body = f'{{"running": {self.requests}, "waiting": 0}}' if is_load else "ok"
        head = f"HTTP/1.1 {status} X\r\nAttempt-Id: {name}\r\n"
        return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()


async def call_server(
    client: BackendClient, server: AnsweringServer, name: str
) -> None:
    headers = [("host", "x"), ("attempt-id", name)]
    async with client.exchange(
        "GET", server.url, "/", headers, b"", answer_id=name
    ) as answer:
        assert await answer.aread() == b"ok"


@pytest.fixture
async def tasks() -> AsyncIterator[TaskGroup]:
    async with anyio.create_task_group() as group:
        yield group
        group.cancel_scope.cancel()
