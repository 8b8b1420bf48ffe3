"""An open-loop generator over HTTP.

Requests leave when the schedule says so, however slow the answers are, and latencies
count from that moment. A closed loop waits for slow answers before it sends the next
request, so the slowest moments are measured least ("coordinated omission", Gil Tene).
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import anyio
import httpx
import msgspec

from godwitmast.load.mixes import ClassMix, Mix
from godwitmast.load.result import LATE, MET, NOT_SENT, RunResult
from godwitmast.load.schedule import Planned, RunPlan, draw_schedule, prompt_of

MOST_OPEN = 2_000
REQUEST_TIMEOUT_S = 300.0
BETWEEN_TOKENS_S = 0.028
"""The target between tokens of classes that name one for the first token."""

MOST_RESEND_WAIT_S = 10.0
KEY_PREFIX = "gw-example-"
"""The keys of the example configurations are this and the team's name."""


class Heard(NamedTuple):
    """What came back; times count from the intended sending, in seconds."""

    outcome: str
    first_token_s: float | None = None
    whole_s: float = 0.0
    tokens: int = 0
    retry_after_s: float | None = None


@dataclass
class HttpLoad:
    """One run against one address."""

    plan: RunPlan
    mix: Mix
    url: str
    key_prefix: str = KEY_PREFIX
    most_open: int = MOST_OPEN
    progress: Callable[[RunResult, int], None] | None = None

    def __post_init__(self) -> None:
        self.result = RunResult(self.plan, self.url)
        self.targets = {item.name: item for item in self.mix.classes}
        self.open = 0
        self.began = 0.0

    async def run(self) -> RunResult:
        """Send the whole schedule, and wait for the last answer."""
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=None)
        async with (
            httpx.AsyncClient(
                timeout=REQUEST_TIMEOUT_S, limits=limits, trust_env=False
            ) as client,
            anyio.create_task_group() as tasks,
        ):
            self.began = time.monotonic()
            for request in draw_schedule(self.plan, self.mix):
                await anyio.sleep(max(0.0, self.began + request.at - time.monotonic()))
                behind = time.monotonic() - self.began - request.at
                self.result.sent_late_s = max(self.result.sent_late_s, behind)
                if self.open >= self.most_open:
                    self.note(request, Heard(NOT_SENT))
                    continue
                self.open += 1
                tasks.start_soon(self.serve, client, request)
        self.result.took_s = time.monotonic() - self.began
        return self.result

    async def serve(self, client: httpx.AsyncClient, request: Planned) -> None:
        """Send one request, and once more if its caller is of that kind."""
        try:
            heard = await self.send(client, request)
            if heard.retry_after_s is not None and request.resends:
                await anyio.sleep(min(heard.retry_after_s, MOST_RESEND_WAIT_S))
                heard = await self.send(client, request)
            self.note(request, heard)
        finally:
            self.open -= 1

    async def send(self, client: httpx.AsyncClient, request: Planned) -> Heard:
        body = {
            "model": self.mix.model,
            "stream": True,
            "max_tokens": request.answer_tokens,
            "messages": [{"role": "user", "content": prompt_of(request)}],
        }
        headers = {
            "Authorization": f"Bearer {self.key_prefix}{request.team}",
            "Godwit-Class": request.class_name,
        }
        url = f"{self.url.rstrip('/')}/v1/chat/completions"
        try:
            async with client.stream("POST", url, json=body, headers=headers) as answer:
                if answer.status_code != 200:
                    return await read_refusal(answer)
                return await self.read_stream(answer, request)
        except httpx.HTTPError as error:
            return Heard(type(error).__name__)

    async def read_stream(self, answer: httpx.Response, request: Planned) -> Heard:
        """Read a stream to its end; one that ends early or in an error failed."""
        start = self.began + request.at
        first = None
        last = time.monotonic()
        tokens = 0
        async for line in answer.aiter_lines():
            if line == "data: [DONE]":
                return Heard(MET, first, last - start, tokens)
            if '"content"' in line or '"text"' in line:
                last = time.monotonic()
                first = first if first is not None else last - start
                tokens += 1
            elif line.startswith('data: {"error"'):
                return Heard(error_code(line.removeprefix("data: ").encode()))
        return Heard("cut", first, last - start, tokens)

    def note(self, request: Planned, heard: Heard) -> None:
        """Count an outcome, and judge a whole answer by its class's targets."""
        item = self.result.of(request.class_name)
        outcome = heard.outcome
        if outcome == MET:
            outcome = self.judge(heard, self.targets[request.class_name])
            item.tokens += heard.tokens
            item.whole.record_value(microseconds(heard.whole_s))
            if heard.first_token_s is not None:
                item.first_token.record_value(microseconds(heard.first_token_s))
            gap = between_tokens(heard)
            if gap is not None:
                item.between.record_value(microseconds(gap))
        item.count(outcome)
        self.result.note_team(request.team, outcome == MET)
        if self.progress:
            self.progress(self.result, self.open)

    def judge(self, heard: Heard, target: ClassMix) -> str:
        first = heard.first_token_s or 0.0
        gap = between_tokens(heard) or 0.0
        interactive = target.completion_s is None
        late = (
            (target.first_token_s is not None and first > target.first_token_s)
            or (target.completion_s is not None and heard.whole_s > target.completion_s)
            or (interactive and gap > BETWEEN_TOKENS_S)
        )
        return LATE if late else MET


def between_tokens(heard: Heard) -> float | None:
    if heard.first_token_s is None or heard.tokens < 2:
        return None
    return (heard.whole_s - heard.first_token_s) / (heard.tokens - 1)


def microseconds(seconds: float) -> int:
    return max(1, round(seconds * 1e6))


async def read_refusal(answer: httpx.Response) -> Heard:
    code = error_code(await answer.aread())
    wait = answer.headers.get("retry-after")
    try:
        retry = None if wait is None else float(wait)
    except ValueError:
        retry = None
    return Heard(f"{answer.status_code} {code}", retry_after_s=retry)


def error_code(body: bytes) -> str:
    try:
        return str(msgspec.json.decode(body)["error"]["code"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return "unknown"
