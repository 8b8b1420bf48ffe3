"""HTTP calls to a platform, within a rate budget and with classified failures."""

import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from functools import lru_cache
from typing import Any

import anyio
import httpx
import msgspec

from godwitmast.backends.answer_limits import (
    AnswerTooLong,
    BodiesInProgress,
    read_decoded,
)
from godwitmast.errors import (
    LeaseLost,
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformThrottled,
    PlatformUnavailable,
)
from godwitmast.logs import log_event
from godwitmast.platform_api.calls import CallCounter
from godwitmast.platform_api.limits import CircuitBreaker, Priority, RateBudget
from godwitmast.platform_api.port import WriteHook
from godwitmast.settings import PlatformSettings
from godwitmast.types import Json

MAX_OPEN_CALLS = 8
"""Calls of one process that may be open at a time, so that an outage does not fill it with
calls that wait for their time-outs."""

MAX_URLS = 256
"""URLs of calls that are kept merged; those of tables are a dozen."""

HEAD_BYTES = 128 * 1024
"""The HTTP library takes up to 100 KiB for one head; informational answers come on top."""

ANSWER_BYTES = 8 * 1024 * 1024
"""As much as a frame of a link between VMs. A configuration of 6,300 teams with their keys
is about 2 MB."""

ANSWER_TIMEOUT_S = 15.0
"""Time for the body of an answer: 8 MiB take 13.4 s over a link of 5 Mbit/s. The time-out
of the HTTP client is for each read, and never ends an answer that keeps arriving."""


WRITE_HEAD_EVENT = "http11.send_request_headers.started"
"""Event of the HTTP library just before it writes a request's head to a connection."""


def trace_head(before_write: WriteHook) -> Callable[[str, Any], Awaitable[None]]:
    """Return a trace for the HTTP library that calls a hook before a head is written."""

    async def trace(event: str, info: Any) -> None:
        if event == WRITE_HEAD_EVENT:
            before_write()

    return trace


class CheckedBody:
    """A request's body that calls a hook before its first and before its last byte.

    The kernel may take a body in parts, the last one seconds after the first. The last
    byte is a part of its own, so that it isn't among those that wait for the kernel.
    """

    def __init__(self, content: bytes, before_write: WriteHook) -> None:
        self.content = content
        self.before_write = before_write

    async def __aiter__(self) -> AsyncIterator[bytes]:
        self.before_write()
        yield self.content[:-1]
        self.before_write()
        yield self.content[-1:]


def checked_content(
    body: Json, headers: Mapping[str, str], before_write: WriteHook
) -> dict[str, Any]:
    """Return the arguments of a request that calls a hook before each write."""
    content = msgspec.json.encode(body)
    return {
        "content": CheckedBody(content, before_write),
        "headers": {
            "Content-Type": "application/json",
            "Content-Length": str(len(content)),
            **headers,
        },
        "extensions": {"trace": trace_head(before_write)},
    }


class PlatformHttp:
    """Calls that either return an answer or raise a PlatformError.

    Calls wait for this process's rate budget, and fail at once while the circuit
    breaker is open. PlatformUnavailable means that nothing took effect.
    PlatformOutcomeUnknown means that a write may have taken effect; its caller has to
    read again to find out.
    """

    def __init__(self, settings: PlatformSettings, http: httpx.AsyncClient) -> None:
        self.http = http
        self.timeout_s = settings.timeout_s
        self.priority = Priority.CONTROL
        self.reads = RateBudget(settings.reads_per_s)
        self.writes = RateBudget(settings.writes_per_s)
        self.breaker = CircuitBreaker()
        self.calls = CallCounter()
        self.open_calls = anyio.CapacityLimiter(MAX_OPEN_CALLS)
        self.failure_listeners: list[Callable[[], None]] = []
        self.bodies = BodiesInProgress()
        self.limit_listeners: list[Callable[[AnswerTooLong], None]] = []

    async def close(self) -> None:
        await self.http.aclose()

    def budget_for(self, method: str, path: str) -> RateBudget:
        """Return the budget that a call counts against."""
        return self.reads if method == "GET" else self.writes

    def call_name(self, path: str) -> str:
        """Return the name under which a call is counted."""
        return path

    async def send(
        self,
        method: str,
        path: str,
        good: tuple[int, ...] = (200,),
        rows: int = 1,
        bypass_breaker: bool = False,
        before_write: WriteHook | None = None,
        **content: Any,
    ) -> httpx.Response:
        """Return an answer with a status in `good`, or raise a PlatformError.

        A call with `bypass_breaker` is sent although the circuit breaker is open, or many
        calls are, so that it succeeds as soon as the platform answers again; its caller
        has to pace it. `before_write` is called after all waits, for a turn, for the
        budget, for a connection and for the kernel to take the body of `json`.
        """
        if before_write is not None:
            body, headers = content.pop("json"), content.pop("headers", {})
            content |= checked_content(body, headers, before_write)
        if self.http.is_closed:
            raise PlatformUnavailable(f"{path}: closed")
        if not bypass_breaker and not self.breaker.allow_call(time.monotonic()):
            raise PlatformUnavailable(f"{path}: not sent, as recent calls failed")
        budget = self.budget_for(method, path)
        try:
            await self.wait_for_budget(budget, path, rows)
            if bypass_breaker:
                answer = await self.request(method, path, **content)
            else:
                answer = await self.request_in_turn(method, path, **content)
            return self.check_status(path, answer, good, budget)
        except (PlatformThrottled, LeaseLost):
            raise
        except PlatformError:
            self.breaker.record_failure(time.monotonic())
            for listener in self.failure_listeners:
                listener()
            raise
        finally:
            # Also for a call that was cancelled or that exceeded this process's budget.
            if not bypass_breaker:
                self.breaker.end_call()

    async def wait_for_budget(self, budget: RateBudget, path: str, rows: int) -> None:
        """Wait for this process's rate budget, at most as long as for an answer."""
        deadline = time.monotonic() + self.timeout_s
        while delay := budget.take_or_delay(rows, self.priority, time.monotonic()):
            if time.monotonic() + delay > deadline:
                raise PlatformThrottled(f"{path}: over this process's rate budget")
            await anyio.sleep(delay * random.uniform(1.0, 1.2))

    async def request_in_turn(
        self, method: str, path: str, **content: Any
    ) -> httpx.Response:
        """Make a call once fewer than `MAX_OPEN_CALLS` are open.

        The connection pool has no such limit: it loses a place for each call that is
        cancelled while it waits for one.
        """
        acquired = False
        with anyio.move_on_after(self.timeout_s):
            await self.open_calls.acquire()
            acquired = True
        if not acquired:
            raise PlatformUnavailable(f"{path}: not sent, as other calls are open")
        try:
            return await self.request(method, path, **content)
        finally:
            self.open_calls.release()

    async def request(self, method: str, path: str, **content: Any) -> httpx.Response:
        if self.http.is_closed:
            # It may have been closed while the call waited for its turn.
            raise PlatformUnavailable(f"{path}: closed")
        self.calls.add(self.call_name(path))
        try:
            url = merge_url(self.http.base_url, path)
            async with self.http.stream(method, url, **content) as answer:
                return await self.read_answer(answer)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise PlatformUnavailable(f"{path}: {error!r}") from None
        except AnswerTooLong as error:
            self.report_limit(path, error)
            raise PlatformOutcomeUnknown(f"{path}: {error}") from None
        except TimeoutError:
            detail = f"no whole answer in {ANSWER_TIMEOUT_S} s"
            raise PlatformOutcomeUnknown(f"{path}: {detail}") from None
        except httpx.HTTPError as error:
            raise PlatformOutcomeUnknown(f"{path}: {error!r}") from None

    async def read_answer(self, answer: httpx.Response) -> httpx.Response:
        """Return an answer with its body, which is bounded in bytes and in time."""
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            body = await read_decoded(answer, ANSWER_BYTES, self.bodies)
        headers = answer.headers.copy()
        headers.pop("content-encoding", None)
        return httpx.Response(
            answer.status_code, headers=headers, content=body, request=answer.request
        )

    def report_limit(self, path: str, error: AnswerTooLong) -> None:
        """Report an answer that exceeded a limit."""
        log_event(
            "store_answer_limit_exceeded",
            level="WARNING",
            call=self.call_name(path),
            server=self.http.base_url,
            limit=error.part.value,
            allowed=error.allowed,
            bytes=error.found,
        )
        for listener in self.limit_listeners:
            listener(error)

    def check_status(
        self,
        path: str,
        answer: httpx.Response,
        good: tuple[int, ...],
        budget: RateBudget,
    ) -> httpx.Response:
        """Return an answer with an expected status, or raise the error for its status."""
        if answer.status_code in good:
            self.breaker.record_success()
            return answer
        if answer.status_code == 429:
            budget.record_throttled(time.monotonic())
            raise PlatformThrottled(path)
        if answer.status_code == 503:
            raise PlatformUnavailable(f"{path}: 503")
        raise PlatformOutcomeUnknown(f"{path}: {answer.status_code}")


@lru_cache(maxsize=MAX_URLS)
def merge_url(base: httpx.URL, path: str) -> httpx.URL:
    """Return the URL of a call, as the HTTP client merges it anew for each call."""
    return base.copy_with(
        raw_path=base.raw_path + httpx.URL(path).raw_path.lstrip(b"/")
    )
