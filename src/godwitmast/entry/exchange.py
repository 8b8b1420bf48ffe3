"""The life of one caller's request, from the queue to the last byte."""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx
from anyio.lowlevel import checkpoint

from godwitmast.backends.client import AttemptFailed, BackendClient
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
    RefusalCode,
    Refuse,
    RequestSpec,
    Start,
)
from godwitmast.entry.claim_answers import OUTCOME_UNKNOWN, answer_claim
from godwitmast.entry.driver import Mailbox, RouterDriver
from godwitmast.entry.front import Front
from godwitmast.entry.metrics import Timing, TokenTimes
from godwitmast.entry.outbound import (
    EVENT_STREAM,
    ErrorPolicy,
    Outbound,
    StreamReader,
    WholeAnswer,
)
from godwitmast.entry.refusals import ErrorAnswer, send_whole
from godwitmast.http_server import Receive, Send
from godwitmast.keys.authorizer import Caller
from godwitmast.logs import log_event
from godwitmast.types import AttemptId, BackendId, TokenCount

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


def nothing() -> None:
    """Do nothing."""


async def read_raw(answer: httpx.Response) -> bytes:
    """Return a body as it came over the wire, encoded as it may be."""
    return b"".join([piece async for piece in answer.aiter_raw()])


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
class Exchange:
    """One request with its caller's connection."""

    driver: RouterDriver
    client: BackendClient
    front: Front
    caller: Caller | None
    spec: RequestSpec
    outbound: Outbound
    receive: Receive
    send: Send
    began: Callable[[], None] = nothing
    """Called once, when a backend server is known to have begun on the request."""
    give_up_at: float | None = None
    """When the caller gets its final answer, whatever there is by then."""
    has_begun: bool = False
    attempts: int = 0
    status: int | None = None
    """What the caller was answered; None if it left before that."""
    last_backend: BackendId | None = None
    failed_answer: WholeAnswer | None = None
    """What a server answered that failed, for when no other makes it good."""
    head_sent: bool = False
    reached_backend: bool = False
    token_times: TokenTimes = field(default_factory=TokenTimes)
    counted: TokenCount | None = None
    end_reason: CancelReason | None = None
    error_code: str | None = None
    claimed: ClaimedCall | None = None
    may_have_run: bool = False
    ran_before: bool = False
    streamed: list[bytes] = field(default_factory=list)
    replayed: bool = False
    answered: bool = False
    """The caller was sent its whole answer, or its refusal; a hang-up after that is the
    usual end."""
    kind_tokens: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.scope = anyio.CancelScope()

    @property
    def reader(self) -> StreamReader:
        return self.outbound.reader

    async def run(self) -> None:
        """Serve the request until it has its whole answer or its one refusal."""
        if not await self.look_up_claim():
            return
        mailbox = self.driver.submit(self.spec)
        try:
            with self.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.watch_caller)
                    if self.give_up_at is not None:
                        tasks.start_soon(self.watch_time, self.give_up_at)
                    while not await self.carry_out(await next_action(mailbox)):
                        pass
                    tasks.cancel_scope.cancel()
        finally:
            reason = self.end_reason or CancelReason.CALLER_GONE
            self.driver.withdraw(self.spec.request_id, reason)
            self.driver.forget(self.spec.request_id)
            mailbox.close()
            await self.settle()
        match self.end_reason:
            case CancelReason.KEY_WITHDRAWN:
                await self.send_failure(KEY_WITHDRAWN)
            case CancelReason.DEADLINE:
                await self.give_up()

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

    async def watch_time(self, at: float) -> None:
        """End the exchange when the caller is to be kept waiting no longer."""
        await anyio.sleep(at - self.driver.clock.now())
        if not self.answered:
            self.end(CancelReason.DEADLINE)

    async def give_up(self) -> None:
        """Give the caller what there is at the end of its time."""
        if self.failed_answer is not None and not self.head_sent:
            await self.send_answer(self.failed_answer)
            return
        not_run = NotRun.UNKNOWN if self.may_have_run else NotRun.TRUE
        refusal = Refuse(self.spec.request_id, RefusalCode.DEADLINE, not_run)
        await self.send_failure(self.front.answer_refusal(refusal))

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
                if self.failed_answer is not None and not self.head_sent:
                    await self.send_answer(self.failed_answer)
                    return True
                await self.send_failure(self.front.answer_refusal(action))
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
                await self.pass_on(start, url, scope)
            if scope.cancelled:
                self.reader.restart()
                return False
        except AttemptFailed as failure:
            self.reader.restart()
            log_event(
                "attempt_failed",
                request=self.spec.request_id,
                backend=start.backend_id,
                attempt=start.attempt_id,
                kind=failure.kind.value,
                detail=failure.detail,
            )
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
        source = self.driver.address_of(start.fetch_from)
        sending = outbound.attempt(start.backend_id, self.driver.clock.now(), source)
        self.attempts += 1
        self.last_backend = start.backend_id
        self.ran_before = self.may_have_run
        self.may_have_run = True
        async with self.client.exchange(
            outbound.method, url, outbound.path, sending.headers, sending.content
        ) as answer:
            if not outbound.is_ours(answer):
                # What an earlier request left on the connection; the answer to this
                # one may follow, and would in turn be taken for the next one's.
                await answer.extensions["network_stream"].aclose()
                raise AttemptFailed(FailureKind.CUT, "another request's answer")
            self.reached_backend = True
            load = self.client.wire.read_load(answer) if outbound.reports_load else None
            if load is not None:
                self.driver.load_reported(start.backend_id, load)
            if answer.status_code >= 500 and outbound.errors is not ErrorPolicy.ANSWER:
                await self.keep_failure(answer)
            if outbound.streams and answer.status_code == 200:
                await self.pass_stream(start, answer, scope)
            else:
                await self.pass_whole(start, answer)

    async def keep_failure(self, answer: httpx.Response) -> None:
        """Fail the attempt, and keep what the server said if the caller may see it."""
        if self.outbound.errors is ErrorPolicy.RETRY_OR_ANSWER:
            self.failed_answer = WholeAnswer(
                answer.status_code,
                self.outbound.whole_head(answer),
                await read_raw(answer),
            )
        raise AttemptFailed(FailureKind.ERROR, f"status {answer.status_code}")

    async def pass_stream(
        self, start: Start, answer: httpx.Response, scope: AttemptScope
    ) -> None:
        """Pass on whole events until the stream says that it is done."""
        reader = self.reader
        async for data in answer.aiter_raw():
            scope.hold()
            await self.pass_events(start, answer, data)
            scope.release()
        rest = reader.end()
        if not reader.done:
            raise AttemptFailed(FailureKind.CUT, "the stream ended early")
        await self.send_head(answer)
        self.answered = True
        if self.claimed is not None:
            head = [(name.decode(), value.decode()) for name, value in EVENT_STREAM]
            await self.settle(Answer(200, head, b"".join(self.streamed)))
        await self.send({"type": "http.response.body", "body": rest})

    async def pass_events(
        self, start: Start, answer: httpx.Response, data: bytes
    ) -> None:
        """Pass on the events that `data` completes, and count their tokens."""
        reader = self.reader
        before = reader.given
        whole = reader.feed(data)
        if not whole:
            return
        self.note_begun()
        await self.send_head(answer)
        if self.claimed is not None:
            self.streamed.append(whole)
        self.answered = reader.done
        body = {"type": "http.response.body", "body": whole, "more_body": True}
        await self.send(body)
        self.count_tokens(start, reader.given - before)

    async def send_head(self, answer: httpx.Response) -> None:
        """Send the head of a stream, once there is something to stream.

        Until then a failure can still be answered with a status of its own. A stream
        that another server goes on with keeps the head of the first one.
        """
        if self.head_sent:
            return
        self.head_sent = True
        self.status = 200
        headers = self.outbound.stream_head(answer)
        await self.send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )

    def note_begun(self) -> None:
        """Count the request as begun, once."""
        if not self.has_begun:
            self.has_begun = True
            self.began()

    def count_tokens(self, start: Start, count: int) -> None:
        """Note tokens that were passed on."""
        if not count:
            return
        self.token_times.token_came(self.driver.clock.now())
        self.kind_tokens[self.driver.kind_of(start.backend_id)] += count
        self.driver.tokens_came(self.spec.request_id, start.attempt_id, count)

    async def pass_whole(self, start: Start, answer: httpx.Response) -> None:
        """Pass on an answer that does not stream, with its status."""
        body = await read_raw(answer)
        self.note_begun()
        self.token_times.last_at = self.driver.clock.now()
        self.counted = self.outbound.usage(body)
        if self.counted:
            kind = self.driver.kind_of(start.backend_id)
            self.kind_tokens[kind] += self.counted.output
            self.driver.tokens_came(
                self.spec.request_id, start.attempt_id, self.counted.output
            )
        headers = self.outbound.whole_head(answer)
        if self.claimed is not None:
            kept = [(name.decode(), value.decode()) for name, value in headers]
            await self.settle(Answer(answer.status_code, kept, body))
        await self.send_answer(WholeAnswer(answer.status_code, headers, body))

    async def send_answer(self, answer: WholeAnswer) -> None:
        """Give the caller a backend server's answer as it was."""
        self.head_sent = self.answered = True
        self.status = answer.status
        await send_whole(self.send, *answer)

    def fail(self, start: Start, kind: FailureKind) -> None:
        if kind in (FailureKind.CONNECT, FailureKind.REFUSED):
            # No byte left, or the server itself says that it did not run it. What is
            # known of an earlier attempt stays.
            self.may_have_run = self.ran_before
        if kind is not FailureKind.CONNECT:
            self.reached_backend = True
        self.driver.failed(self.spec.request_id, start.attempt_id, kind)

    async def send_failure(self, answer: ErrorAnswer) -> None:
        """Tell the caller that there is no answer, or no more of it."""
        self.error_code = answer.code
        self.answered = True
        began, self.head_sent = self.head_sent, True
        if not began:
            self.status = answer.status
        await self.front.send_error(self.send, answer, began)

    @property
    def tokens(self) -> TokenCount:
        """Return what the request is to be billed for."""
        counted = self.counted or self.reader.usage
        if counted:
            return counted
        return TokenCount(self.spec.prompt_tokens, self.reader.given)

    @property
    def timing(self) -> Timing:
        arrived = self.spec.arrived
        first = self.token_times.first_at
        return Timing(
            None if first is None else first - arrived,
            self.token_times.last_at - arrived,
            self.tokens.output,
        )
