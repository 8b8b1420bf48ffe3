"""An open-loop load generator over HTTP.

Requests are sent at their scheduled times, however slow the answers are, and latencies
count from these times. A closed loop waits for slow answers before it sends the next
request, so that it has the fewest samples of the slowest periods ("coordinated
omission", Gil Tene).
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
from godwitmast.load.schedule import Planned, RunPlan, draw_schedule, make_prompt

MAX_OPEN = 2_000
REQUEST_TIMEOUT_S = 300.0
BETWEEN_TOKENS_S = 0.028
"""Target for the mean gap between tokens, in classes without a completion target."""

MAX_RESEND_WAIT_S = 10.0
KEY_PREFIX = "gw-example-"
"""The example configurations' keys consist of this prefix and the team's name."""


class CallResult(NamedTuple):
    """Outcome of a call; its times count from the scheduled sending, in seconds."""

    outcome: str
    first_token_s: float | None = None
    whole_s: float = 0.0
    tokens: int = 0
    retry_after_s: float | None = None


@dataclass
class HttpLoad:
    """One run of a plan against one URL."""

    plan: RunPlan
    mix: Mix
    url: str
    key_prefix: str = KEY_PREFIX
    max_open: int = MAX_OPEN
    progress: Callable[[RunResult, int], None] | None = None

    def __post_init__(self) -> None:
        self.result = RunResult(self.plan, self.url)
        self.targets = {item.name: item for item in self.mix.classes}
        self.open = 0
        self.started_at = 0.0

    async def run(self) -> RunResult:
        """Send all requests of the schedule, and wait for the last answer."""
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=None)
        async with (
            httpx.AsyncClient(
                timeout=REQUEST_TIMEOUT_S, limits=limits, trust_env=False
            ) as client,
            anyio.create_task_group() as tasks,
        ):
            self.started_at = time.monotonic()
            for request in draw_schedule(self.plan, self.mix):
                await anyio.sleep(
                    max(0.0, self.started_at + request.at - time.monotonic())
                )
                delay_s = time.monotonic() - self.started_at - request.at
                self.result.sent_late_s = max(self.result.sent_late_s, delay_s)
                if self.open >= self.max_open:
                    self.record_result(request, CallResult(NOT_SENT))
                    continue
                self.open += 1
                tasks.start_soon(self.serve, client, request)
        self.result.took_s = time.monotonic() - self.started_at
        return self.result

    async def serve(self, client: httpx.AsyncClient, request: Planned) -> None:
        """Send one request, and resend it once after a refusal if its caller does."""
        try:
            result = await self.send(client, request)
            if result.retry_after_s is not None and request.resends:
                await anyio.sleep(min(result.retry_after_s, MAX_RESEND_WAIT_S))
                result = await self.send(client, request)
            self.record_result(request, result)
        finally:
            self.open -= 1

    async def send(self, client: httpx.AsyncClient, request: Planned) -> CallResult:
        body = {
            "model": self.mix.model,
            "stream": True,
            "max_tokens": request.answer_tokens,
            "messages": [{"role": "user", "content": make_prompt(request)}],
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
            return CallResult(type(error).__name__)

    async def read_stream(self, answer: httpx.Response, request: Planned) -> CallResult:
        """Read a stream to its end; an early end or an error event is its outcome."""
        start = self.started_at + request.at
        first = None
        last = time.monotonic()
        tokens = 0
        async for line in answer.aiter_lines():
            if line == "data: [DONE]":
                return CallResult(MET, first, last - start, tokens)
            if '"content"' in line or '"text"' in line:
                last = time.monotonic()
                first = first if first is not None else last - start
                tokens += 1
            elif line.startswith('data: {"error"'):
                return CallResult(error_code(line.removeprefix("data: ").encode()))
        return CallResult("cut", first, last - start, tokens)

    def record_result(self, request: Planned, result: CallResult) -> None:
        """Count an outcome; a complete answer is judged by its class's targets."""
        item = self.result.class_result(request.class_name)
        outcome = result.outcome
        if outcome == MET:
            outcome = self.judge(result, self.targets[request.class_name])
            item.tokens += result.tokens
            item.whole.record_value(microseconds(result.whole_s))
            if result.first_token_s is not None:
                item.first_token.record_value(microseconds(result.first_token_s))
            gap = token_gap_s(result)
            if gap is not None:
                item.between.record_value(microseconds(gap))
        item.count(outcome)
        self.result.record_team(request.team, outcome == MET)
        if self.progress:
            self.progress(self.result, self.open)

    def judge(self, result: CallResult, target: ClassMix) -> str:
        first = result.first_token_s or 0.0
        gap = token_gap_s(result) or 0.0
        interactive = target.completion_s is None
        late = (
            (target.first_token_s is not None and first > target.first_token_s)
            or (
                target.completion_s is not None and result.whole_s > target.completion_s
            )
            or (interactive and gap > BETWEEN_TOKENS_S)
        )
        return LATE if late else MET


def token_gap_s(result: CallResult) -> float | None:
    if result.first_token_s is None or result.tokens < 2:
        return None
    return (result.whole_s - result.first_token_s) / (result.tokens - 1)


def microseconds(seconds: float) -> int:
    return max(1, round(seconds * 1e6))


async def read_refusal(answer: httpx.Response) -> CallResult:
    code = error_code(await answer.aread())
    wait = answer.headers.get("retry-after")
    try:
        retry = None if wait is None else float(wait)
    except ValueError:
        retry = None
    return CallResult(f"{answer.status_code} {code}", retry_after_s=retry)


def error_code(body: bytes) -> str:
    try:
        return str(msgspec.json.decode(body)["error"]["code"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return "unknown"
