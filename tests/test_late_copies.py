"""Copies of a server's answer, whole or cut, that arrive before its next answer."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from functools import partial

import anyio
import httpx
import pytest
from anyio.abc import TaskGroup

from fleet import Fleet, request_headers
from godwitmast.http_server import Send
from godwitmast.platform.wire import ATTEMPT_ID
from godwitmast.standins.extra import ExtraFront, ExtraTime
from godwitmast.standins.replica import SEAL_HEADER, ReplicaStandin
from running import running

pytestmark = pytest.mark.anyio

CALLERS = 3
REQUESTS = 12
FAILING = 3
"""One answer in that many is a failure."""

CUTS = {
    "reason": b"HTTP/1.1 200 ",
    "value before the id": b"text/e",
    "name of the id": b"attempt-i",
    "value of the id": b"attempt-id: ",
    "value after the id": b"server-seal: ",
    "end of the head": b"\r\n\r\n",
    "whole": None,
}
"""Where copies are cut: after these bytes, or behind the end."""


def copy_until(mark: bytes | None, answer: bytes) -> bytes:
    """Return a copy of an answer that ends after `mark`, or in the middle without it."""
    if mark is None:
        return answer
    before, found, _ = answer.partition(mark)
    return before + found if found else answer[: len(answer) // 2]


@dataclass
class UnsteadyReplica(ReplicaStandin):
    """A replica of which some answers fail, with an empty body.

    Its streams and plain answers name their request in each piece.
    """

    answered: dict[str, list[tuple[int, bytes]]] = field(default_factory=dict)
    count: int = 0

    async def answer(self, headers: dict[str, str], send: Send) -> None:
        attempt = headers[ATTEMPT_ID]
        self.count += 1
        status = 500 if self.count % FAILING == 0 else 200
        pieces = [f"id: {n}\ndata: {attempt}\n\n".encode() for n in range(1, 6)]
        if status != 200:
            pieces = []
        self.answered.setdefault(attempt, []).append((status, b"".join(pieces)))
        head = [
            (b"content-type", b"text/event-stream"),
            (ATTEMPT_ID.encode(), attempt.encode()),
            (SEAL_HEADER, b"x"),
        ]
        if not pieces:
            head.append((b"content-length", b"0"))
        await self.send_head(send, status, head)
        for piece in pieces:
            await send({"type": "http.response.body", "body": piece, "more_body": True})
        await send({"type": "http.response.body", "body": b""})


@dataclass
class CopyingFleet(Fleet):
    """One VM, and a server of each service whose answers are followed by copies."""

    mark: bytes | None = None

    async def start(self, tasks: TaskGroup) -> None:
        await super().start(tasks)
        for replica in self.replicas:
            self.store.remove_server(replica.server_id)
        await self.wait_until(lambda: not self.node.driver.urls)
        self.unsteady = [
            UnsteadyReplica(self.store, f"u-{service}", service)
            for service in ("app", "lm")
        ]
        self.fronts: list[ExtraFront] = []
        for replica in self.unsteady:
            await replica.server.start(tasks)
            copy = partial(copy_until, self.mark)
            front = ExtraFront(replica.server.port, copy, ExtraTime.NEXT)
            await front.start(tasks)
            self.fronts.append(front)
            replica.port = front.port
            replica.publish_row("ready")
        await self.wait_until(lambda: len(self.node.driver.urls) == 2)

    async def close(self) -> None:
        await super().close()
        for replica in self.unsteady:
            await replica.close()

    async def call_often(self, path: str) -> dict[str, httpx.Response]:
        """Return the answers to requests of several callers at a time, by their ids."""
        answers: dict[str, httpx.Response] = {}

        async def call(caller: int) -> None:
            async with httpx.AsyncClient(trust_env=False, timeout=10) as http:
                for number in range(REQUESTS):
                    attempt = f"a{caller}-{number}"
                    headers = request_headers(attempt, **{"Deadline-Ms": "1000"})
                    answers[attempt] = await http.post(self.url + path, headers=headers)

        async with anyio.create_task_group() as tasks:
            for caller in range(CALLERS):
                tasks.start_soon(call, caller)
        return answers


@pytest.fixture(params=CUTS.values(), ids=CUTS.keys())
async def fleet(request: pytest.FixtureRequest) -> AsyncIterator[CopyingFleet]:
    async with running(CopyingFleet(mark=request.param)) as started:
        yield started


@pytest.mark.parametrize("path", ["/peek/1", "/pay/1", "/chat/1"])
async def test_copy_of_an_earlier_answer_is_no_answer(
    fleet: CopyingFleet, path: str
) -> None:
    """Guards against the status of one answer with the id and body of another: a success
    where the server failed, and a stream that ends as complete without a piece."""
    answers = await fleet.call_often(path)
    assert sum(front.added for front in fleet.fronts) > 0
    answered = {k: v for r in fleet.unsteady for k, v in r.answered.items()}
    for attempt, answer in answers.items():
        if answer.is_success or "server-seal" in answer.headers:
            assert (answer.status_code, answer.content) in answered[attempt]
        else:
            assert answer.status_code in (502, 503, 504)
    assert any(answer.is_success for answer in answers.values())
