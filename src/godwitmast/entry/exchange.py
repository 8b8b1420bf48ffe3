"""The life of one caller's request, from the queue to the last byte."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx
import msgspec
from anyio.lowlevel import checkpoint

from godwitmast.backends.client import (
    LOAD_HEADER,
    AttemptFailed,
    BackendClient,
    read_load,
)
from godwitmast.claims.keeper import ClaimedCall
from godwitmast.claims.machine import (
    Answer,
    Free,
    LookOutcome,
    Stored,
    TakeOutcome,
    Won,
)
from godwitmast.dispatch.messages import (
    Action,
    CancelReason,
    FailureKind,
    NotRun,
    Refuse,
    RequestSpec,
    Start,
)
from godwitmast.entry.claim_answers import OUTCOME_UNKNOWN, answer_claim
from godwitmast.entry.driver import Mailbox, RouterDriver
from godwitmast.entry.events import EventReader, usage_of_answer
from godwitmast.entry.intake import Envelope
from godwitmast.entry.metrics import Timing
from godwitmast.entry.refusals import (
    ErrorAnswer,
    answer_refusal,
    error_body,
    send_error,
    send_whole,
)
from godwitmast.http_server import Receive, Send
from godwitmast.keys.authorizer import Caller
from godwitmast.types import AttemptId, TokenCount

EVENT_STREAM = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-cache"),
]

HOP_HEADERS = frozenset(
    [
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "transfer-encoding",
        # Not of any hop, but not the caller's to know either.
        LOAD_HEADER,
    ]
)

REPLAYED = (b"godwit-replayed", b"true")
"""Says that an answer is the stored one of an earlier call with the same key."""

KEY_WITHDRAWN = ErrorAnswer(
    401, "invalid_key", "The key was withdrawn.", NotRun.UNKNOWN
)


async def next_action(mailbox: Mailbox) -> Action:
    """Return the next action, without a turn of the event loop if it is there.

    Most requests start at once; waiting a turn for what has come already costs more
    than the decision did.
    """
    try:
        return mailbox.receive_nowait()
    except anyio.WouldBlock:
        return await mailbox.receive()


async def send_nothing(message: dict[str, Any]) -> None:
    """Stand in for the connection of a caller that has gone."""


class AttemptScope:
    """Lets the router end an attempt, but not in the middle of passing a token on.

    Were the attempt to end between giving the caller a token and counting it, the next
    attempt would give it again. Between `hold` and `release` a cancel only waits, for
    which anyio's shielded scope was used once, at five times the cost a token.
    """

    def __init__(self) -> None:
        self.scope = anyio.CancelScope()
        self.held = False
        self.due = False

    def cancel(self, reason: CancelReason) -> None:
        self.due = True
        if not self.held:
            self.scope.cancel()

    def hold(self) -> None:
        self.held = True

    def release(self) -> None:
        self.held = False
        if self.due:
            self.scope.cancel()

    @property
    def cancelled(self) -> bool:
        return self.scope.cancelled_caught


@dataclass
class Outbound:
    """What is sent to a backend server: the same for each attempt, but for resuming."""

    method: str
    path: str
    headers: list[tuple[str, str]]
    content: bytes
    model_body: dict[str, Any] | None = None
    stream: bool = False

    def body(self, texts: list[str]) -> bytes:
        """Return the body of an attempt that goes on after the tokens `texts`.

        They are what the caller was given. The router's count can be a token behind,
        when it moved a stream while a token was being passed on.
        """
        if not texts or self.model_body is None:
            return self.content
        resume = {"tokens": len(texts), "text": "".join(texts)}
        return msgspec.json.encode({**self.model_body, "resume": resume})


@dataclass
class Exchange:
    """One request with its caller's connection."""

    driver: RouterDriver
    client: BackendClient
    caller: Caller
    envelope: Envelope
    spec: RequestSpec
    outbound: Outbound
    receive: Receive
    send: Send
    reader: EventReader = field(default_factory=EventReader)
    head_sent: bool = False
    reached_backend: bool = False
    first_token_at: float | None = None
    last_token_at: float = 0.0
    counted: TokenCount | None = None
    end_reason: CancelReason | None = None
    error_code: str | None = None
    claimed: ClaimedCall | None = None
    may_have_run: bool = False
    streamed: list[bytes] = field(default_factory=list)
    replayed: bool = False
    answered: bool = False
    """The caller was sent its whole answer; a hang-up after that is the usual end."""
    kind_tokens: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.scope = anyio.CancelScope()

    async def run(self) -> None:
        """Serve the request until it has its whole answer or its one refusal."""
        if not await self.look_up_claim():
            return
        mailbox = self.driver.submit(self.spec)
        try:
            with self.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.watch_caller)
                    while not await self.carry_out(await next_action(mailbox)):
                        pass
                    tasks.cancel_scope.cancel()
        finally:
            reason = self.end_reason or CancelReason.CALLER_GONE
            self.driver.withdraw(self.spec.request_id, reason)
            self.driver.forget(self.spec.request_id)
            mailbox.close()
            await self.settle()
        if self.end_reason is CancelReason.KEY_WITHDRAWN:
            await self.send_failure(KEY_WITHDRAWN)

    async def watch_caller(self) -> None:
        """End the exchange when the caller hangs up.

        A claimed call that was sent goes on without its caller: it may have run, and
        its stored answer is all that the caller's next try can get.
        """
        while (await self.receive())["type"] != "http.disconnect":
            pass
        if self.claimed is not None and self.may_have_run:
            self.send = send_nothing
        # The server reports the end of every exchange as a hang-up. Taken for one, a
        # finished answer was counted as given up, and its tokens as wasted.
        elif not self.answered:
            self.end(CancelReason.CALLER_GONE)

    def end(self, reason: CancelReason) -> None:
        """Stop serving, whatever is going on."""
        self.end_reason = reason
        self.error_code = reason.value
        self.scope.cancel()

    async def carry_out(self, action: object) -> bool:
        """Do what the router said; return whether the exchange is over."""
        match action:
            case Start():
                return await self.attempt(action)
            case Refuse():
                # A claim is given back before its caller hears "not run", so that
                # the caller's next try does not find it in the way.
                await self.settle()
                await self.send_failure(answer_refusal(action))
                return True
        return False

    async def attempt(self, start: Start) -> bool:
        """Run one attempt; return whether the caller has its whole answer."""
        if self.driver.is_cancelled(start):
            return False
        url = self.driver.urls.get(start.backend_id)
        if url is None:
            self.fail(start, FailureKind.CONNECT)
            return False
        try:
            with self.cancellable(start.attempt_id) as scope:
                if not await self.may_send():
                    return True
                if self.claimed is not None:
                    # If the attempt was cancelled during the claim, it ends here,
                    # while it is still certain that no byte has left.
                    await checkpoint()
                await self.pass_on(start, url + self.outbound.path, scope)
            if scope.cancelled:
                self.reader.restart()
                return False
        except AttemptFailed as failure:
            self.reader.restart()
            self.fail(start, failure.kind)
            return False
        self.driver.finished(self.spec.request_id, start.attempt_id)
        return True

    async def may_send(self) -> bool:
        """Return whether the request may be sent; else its caller was answered."""
        if self.spec.idempotent:
            return True
        if self.may_have_run:
            # Whoever decides where requests go must not send this one again. Were
            # that ever got wrong, a charge would be made twice, so it ends here too.
            await self.send_failure(OUTCOME_UNKNOWN)
            return False
        if self.claimed is None:
            return True
        outcome = await self.claimed.take()
        if isinstance(outcome, Won):
            return True
        await self.answer_claim(outcome)
        return False

    async def look_up_claim(self) -> bool:
        """Return whether the request is to run; else its caller was answered."""
        if self.claimed is None:
            return True
        outcome = await self.claimed.look()
        if isinstance(outcome, Free):
            return True
        await self.answer_claim(outcome)
        return False

    async def answer_claim(self, outcome: LookOutcome | TakeOutcome) -> None:
        """Give the caller the answer that is stored, or say why there is none."""
        if isinstance(outcome, Stored) and outcome.answer is not None:
            kept = outcome.answer
            headers = [(name.encode(), value.encode()) for name, value in kept.headers]
            self.head_sent = True
            self.replayed = True
            await send_whole(self.send, kept.status, [*headers, REPLAYED], kept.body)
            return
        await self.send_failure(answer_claim(outcome, self.driver.clock.wall()))

    async def settle(self, answer: Answer | None = None) -> None:
        """End the claim as what is known now allows; once only."""
        if self.claimed is not None:
            await self.claimed.settle(self.may_have_run, answer)

    @contextmanager
    def cancellable(self, attempt_id: AttemptId) -> Iterator[AttemptScope]:
        """Let the router end this attempt, and no more than this attempt."""
        attempt = AttemptScope()
        self.driver.cancels[attempt_id] = attempt.cancel
        with attempt.scope:
            try:
                yield attempt
            finally:
                del self.driver.cancels[attempt_id]

    async def pass_on(self, start: Start, url: str, scope: AttemptScope) -> None:
        """Send the request and give the caller what comes back."""
        outbound = self.outbound
        content = outbound.body(self.reader.texts)
        is_model = outbound.model_body is not None
        self.may_have_run = True
        async with self.client.exchange(
            outbound.method, url, outbound.headers, content, is_model
        ) as answer:
            self.reached_backend = True
            load = read_load(answer) if is_model else None
            if load is not None:
                self.driver.load_reported(start.backend_id, load)
            if outbound.stream and answer.status_code == 200:
                await self.pass_stream(start, answer, scope)
            else:
                await self.pass_whole(start, answer)

    async def pass_stream(
        self, start: Start, answer: httpx.Response, scope: AttemptScope
    ) -> None:
        """Pass on whole events until the stream says that it is done."""
        reader = self.reader
        async for data in answer.aiter_raw():
            scope.hold()
            await self.pass_events(start, data)
            scope.release()
        if not reader.done:
            raise AttemptFailed(FailureKind.CUT, "the stream ended early")
        if self.claimed is not None:
            head = [(name.decode(), value.decode()) for name, value in EVENT_STREAM]
            await self.settle(Answer(200, head, b"".join(self.streamed)))
        await self.send({"type": "http.response.body", "body": b""})

    async def pass_events(self, start: Start, data: bytes) -> None:
        """Pass on the events that `data` completes, and count their tokens."""
        reader = self.reader
        before = len(reader.texts)
        whole = reader.feed(data)
        if not whole:
            return
        await self.send_head()
        if self.claimed is not None:
            self.streamed.append(whole)
        self.answered = reader.done
        body = {"type": "http.response.body", "body": whole, "more_body": True}
        await self.send(body)
        self.count_tokens(start, len(reader.texts) - before)

    async def send_head(self) -> None:
        """Send the head of a stream, once there is something to stream.

        Until then a failure can still be answered with a status of its own.
        """
        if self.head_sent:
            return
        self.head_sent = True
        await self.send(
            {"type": "http.response.start", "status": 200, "headers": EVENT_STREAM}
        )

    def count_tokens(self, start: Start, count: int) -> None:
        """Note tokens that were passed on."""
        if not count:
            return
        self.last_token_at = self.driver.clock.now()
        if self.first_token_at is None:
            self.first_token_at = self.last_token_at
        self.kind_tokens[self.driver.kind_of(start.backend_id)] += count
        self.driver.tokens_came(self.spec.request_id, start.attempt_id, count)

    async def pass_whole(self, start: Start, answer: httpx.Response) -> None:
        """Pass on an answer that does not stream, with its status."""
        body = await answer.aread()
        passed = [pair for pair in answer.headers.items() if pair[0] not in HOP_HEADERS]
        headers = [(name.encode(), value.encode()) for name, value in passed]
        self.last_token_at = self.driver.clock.now()
        if self.outbound.model_body is not None:
            self.counted = usage_of_answer(body)
        if self.counted:
            kind = self.driver.kind_of(start.backend_id)
            self.kind_tokens[kind] += self.counted.output
            self.driver.tokens_came(
                self.spec.request_id, start.attempt_id, self.counted.output
            )
        await self.settle(Answer(answer.status_code, passed, body))
        self.head_sent = self.answered = True
        await send_whole(self.send, answer.status_code, headers, body)

    def fail(self, start: Start, kind: FailureKind) -> None:
        if kind in (FailureKind.CONNECT, FailureKind.REFUSED):
            # No byte left, or the server itself says that it did not run it.
            self.may_have_run = False
        if kind is not FailureKind.CONNECT:
            self.reached_backend = True
        self.driver.failed(self.spec.request_id, start.attempt_id, kind)

    async def send_failure(self, answer: ErrorAnswer) -> None:
        """Tell the caller that there is no answer, or no more of it."""
        self.error_code = answer.code
        if not self.head_sent:
            self.head_sent = True
            await send_error(self.send, answer)
            return
        event = b"data: " + error_body(answer) + b"\n\n"
        await self.send({"type": "http.response.body", "body": event})

    @property
    def tokens(self) -> TokenCount:
        """Return what the request is to be billed for."""
        counted = self.counted or self.reader.usage
        if counted:
            return counted
        return TokenCount(self.spec.prompt_tokens, len(self.reader.texts))

    @property
    def timing(self) -> Timing:
        arrived = self.spec.arrived
        first = self.first_token_at
        return Timing(
            None if first is None else first - arrived,
            self.last_token_at - arrived,
            self.tokens.output,
        )
