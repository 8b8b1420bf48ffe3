"""One caller's request from admission to the last byte, with every attempt at it.

The router decides when and where an attempt starts or is cancelled; an exchange sends
it, forwards the answer and reports the result. A request that isn't idempotent and has
an idempotency key is claimed before its first byte is sent; no request that isn't
idempotent is sent again once it may have run.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

import anyio
import httpx
from anyio.lowlevel import checkpoint

from godwitmast.backends.answer_limits import (
    AnswerPart,
    check_length,
    read_pieces,
    read_raw,
)
from godwitmast.backends.client import AttemptFailed, BackendClient
from godwitmast.backends.connection_use import ConnectionUse
from godwitmast.backends.framing import Framing, framing_of
from godwitmast.backends.transport import connection_use
from godwitmast.claims.keeper import ClaimedCall
from godwitmast.claims.machine import (
    Answer,
    ClaimGranted,
    ClaimOutcome,
    LookupOutcome,
    Stored,
    Unclaimed,
)
from godwitmast.decoding import parse_whole_number
from godwitmast.dispatch.messages import (
    Action,
    CancelReason,
    FailureKind,
    NotRun,
    RefusalCode,
    Refuse,
    Release,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.router import STOPPING_RETRY_S
from godwitmast.entry.attempt_scope import AttemptScope
from godwitmast.entry.claim_answers import (
    OUTCOME_UNKNOWN,
    answer_claim,
    header_bytes,
    header_texts,
)
from godwitmast.entry.driver import Mailbox, RouterDriver, Sent
from godwitmast.entry.forwarder import Forwarder, answers_send
from godwitmast.entry.frontend import Frontend
from godwitmast.entry.metrics import Timing, TokenTimes
from godwitmast.entry.outbound import (
    EVENT_STREAM_HEADERS,
    ErrorPolicy,
    Outbound,
    RawHeaders,
    StreamReader,
    WholeAnswer,
    is_event_stream,
)
from godwitmast.entry.refusals import (
    NOT_RUN_HEADER,
    NOT_TAKEN,
    ErrorAnswer,
    send_response,
    with_header,
)
from godwitmast.entry.sending import EntryMemory, HeldBytes, Outgoing
from godwitmast.entry.stream_versions import StreamIdentity, StreamVersions
from godwitmast.forwarding.peers import Peer
from godwitmast.forwarding.terms import (
    ATTEMPTS_MADE_HEADER,
    SERVED_BY_HEADER,
    ForwardTerms,
    make_nonce,
)
from godwitmast.http_server import Receive, Send
from godwitmast.keys.authorizer import Caller
from godwitmast.logs import log_event
from godwitmast.memory.budget import Holder
from godwitmast.supervision import record_task_failure
from godwitmast.types import AttemptId, BackendId, TokenCount

ANSWER_ID_CHARACTERS = 40
"""Characters that are logged of an id in an answer, which may be anyone's."""

REPLAYED = (b"godwit-replayed", b"true")
"""Marks the stored answer of an earlier call with the same idempotency key."""

MAY_HAVE_BEGUN = frozenset(
    [FailureKind.CUT, FailureKind.MALFORMED, FailureKind.TIMEOUT]
)
"""Failures after which a plain service may be running what it accepted."""

STREAM_UNKNOWN = ErrorAnswer(
    503,
    "stream_unknown",
    "It is not known here which version of the software began the stream.",
    NotRun.TRUE,
    retry_after_s=1.0,
)

KEY_WITHDRAWN = ErrorAnswer(
    401, "invalid_key", "The key was withdrawn.", NotRun.UNKNOWN
)


async def next_action(mailbox: Mailbox) -> Action:
    """Return the next action, without yielding to the event loop if there is one.

    Most requests start at once, and a pass through the event loop costs more than the
    router's decision.
    """
    try:
        return mailbox.receive_nowait()
    except anyio.WouldBlock:
        return await mailbox.receive()


def attempts_made(failure: AttemptFailed) -> int:
    """Return to how many servers another VM sent a request that it did not answer.

    One that does not say so may have sent it to a single server.
    """
    headers = failure.answer.headers if failure.answer is not None else {}
    text = headers.get(ATTEMPTS_MADE_HEADER.decode(), "")
    return parse_whole_number(text) or 1


def do_nothing() -> None:
    """Default of `Exchange.on_backend_start`."""


async def send_nothing(message: dict[str, Any]) -> None:
    """Discard a message; replaces `send` once the caller has disconnected."""


@dataclass
class Exchange:
    """One request with its caller's connection."""

    driver: RouterDriver
    client: BackendClient
    frontend: Frontend
    caller: Caller | None
    spec: RequestSpec
    outbound: Outbound
    receive: Receive
    send: Send
    on_backend_start: Callable[[], None] = do_nothing
    """Called once, when a backend server is known to have started the request."""
    answer_deadline: float | None = None
    """Time on the entry's clock by which the caller gets its final answer."""
    backend_started: bool = False
    may_have_begun: bool = False
    """A server answered by itself, or broke off, without a first event to tell when the
    request began."""
    attempts: int = 0
    status: int | None = None
    """Status sent to the caller; None if it disconnected before that."""
    last_backend: BackendId | None = None
    failed_answer: WholeAnswer | None = None
    """A server's error answer, sent to the caller if no other server succeeds."""
    framing: Framing | None = None
    """Framing of the last backend server's answer."""
    use: ConnectionUse | None = None
    """The exchange on a connection that carried the last attempt or forward."""
    partial_bytes: int = 0
    """Length of the incomplete event with which the last attempt at a stream ended."""
    head_sent: bool = False
    reached_backend: bool = False
    token_times: TokenTimes = field(default_factory=TokenTimes)
    reported_usage: TokenCount | None = None
    abort_reason: CancelReason | None = None
    error_code: str | None = None
    claimed: ClaimedCall | None = None
    """This arrival of a call that may run at most once, claimed or not yet; else None."""
    may_have_run: bool = False
    may_have_run_before: bool = False
    streamed_events: list[bytes] = field(default_factory=list)
    streamed_bytes: int = 0
    replayed: bool = False
    answered: bool = False
    """The whole answer or an error was sent; a disconnect after that is normal."""
    tokens_by_kind: Counter[str] = field(default_factory=Counter)
    forwarder: Forwarder | None = None
    forwarded_to: str | None = None
    """The VM that served the request, or the last one that it was offered to."""
    forwarded_tokens: int = 0
    """Tokens that another VM delivered, which that one meters."""
    is_forwarded: bool = False
    """Another VM forwarded the request to this one."""
    stream: StreamIdentity | None = None
    stream_versions: StreamVersions | None = None
    memory: EntryMemory = field(default_factory=EntryMemory)
    is_passed_on: bool = False
    """A whole answer is sent while it is still read, as memory is short."""
    unrecorded: set[str] = field(default_factory=set)
    """What of its answers could not be recorded."""

    def __post_init__(self) -> None:
        name = self.spec.request_id
        self.outgoing = Outgoing(name, self.send, self.memory, self.end_slow_caller)
        self.held_events = HeldBytes(self.memory, Holder.CLAIM)
        if self.memory.is_bounded:
            self.send = self.outgoing.send
        self.scope = anyio.CancelScope()
        self.mailbox: Mailbox | None = None
        self.key_withdrawn = anyio.Event()

    @property
    def reader(self) -> StreamReader:
        return self.outbound.reader

    async def run(self) -> None:
        """Serve the request until its whole answer or one error has been sent."""
        if not await self.look_up_claim():
            return
        try:
            with self.scope:
                async with anyio.create_task_group() as tasks:
                    self.outgoing.start(tasks)
                    tasks.start_soon(self.watch_disconnect)
                    if self.claimed is not None:
                        tasks.start_soon(self.watch_key)
                    if self.answer_deadline is not None:
                        tasks.start_soon(self.watch_deadline, self.answer_deadline)
                    await self.serve()
                    await self.outgoing.flush()
                    tasks.cancel_scope.cancel()
        except Exception as error:
            request_id = self.spec.request_id
            record_task_failure("Exchange.run", error, request=request_id)
            self.abort_reason = CancelReason.FAILED
            self.error_code = RefusalCode.INTERNAL.value
        finally:
            self.outgoing.close()
            self.held_events.close()
            reason = self.abort_reason or CancelReason.CALLER_GONE
            self.driver.cancel_request(self.spec.request_id, reason)
            self.driver.forget(self.spec.request_id)
            if self.mailbox is not None:
                self.mailbox.close()
            await self.settle_claim()
        match self.abort_reason:
            case CancelReason.KEY_WITHDRAWN:
                await self.send_error_answer(KEY_WITHDRAWN)
            case CancelReason.DEADLINE:
                await self.send_last_answer(RefusalCode.DEADLINE)
            case CancelReason.STOPPING if self.is_forwarded:
                await self.hand_back()
            case CancelReason.STOPPING:
                await self.send_last_answer(RefusalCode.STOPPING)
            case CancelReason.FAILED if self.is_forwarded and not self.answered:
                await self.hand_back()
            case CancelReason.FAILED if not self.answered:
                await self.send_refusal(RefusalCode.INTERNAL)

    @contextmanager
    def recording(self, what: str, **fields: Any) -> Iterator[None]:
        """Log an exception in recording something of an answer, which is passed on.

        The server has run the request; an error in place of its answer would have the
        caller believe that it failed. Of several exceptions in the same, such as one for
        each event of a stream, the first is logged and counted.
        """
        try:
            yield
        except Exception as error:
            if what not in self.unrecorded:
                fields |= {"request": self.spec.request_id}
                record_task_failure(f"Exchange.{what}", error, **fields)
            self.unrecorded.add(what)

    async def serve(self) -> None:
        """Have another VM serve the request, or carry out the router's actions."""
        if not await self.bind_to_version():
            return
        forwarder = self.forwarder
        forwards = forwarder is not None and forwarder.may_forward(self.spec)
        if forwards and await self.forward_to_peer(self.spec.attempts):
            return
        mailbox = self.mailbox = self.driver.submit(self.spec)
        while not await self.execute(await next_action(mailbox)):
            pass

    async def bind_to_version(self) -> bool:
        """Bind a stream that the caller takes up to the version that began it.

        Return False if the caller was refused, as the version cannot be learned.
        """
        versions, stream = self.stream_versions, self.stream
        if versions is None or stream is None or stream.resumes is None:
            return True
        pool = self.spec.pool
        version = await versions.find(self.spec.team, stream.resumes, pool)
        if version is not None:
            self.spec = self.spec._replace(version=version)
            versions.record_resumed(self.spec.team, stream.attempt_id, pool, version)
            return True
        await self.send_error_answer(STREAM_UNKNOWN)
        return False

    def record_stream_begin(self, start: Start | None, answer: httpx.Response) -> None:
        """Record which server is about to send the first event of a stream."""
        versions, stream = self.stream_versions, self.stream
        if versions is None or stream is None or self.spec.version is not None:
            return
        served_by = answer.headers.get(SERVED_BY_HEADER.decode())
        backend_id = start.backend_id if start is not None else served_by
        if backend_id is None:
            return
        server = versions.servers.get(BackendId(backend_id))
        if start is None and server is not None:
            self.driver.set_stream_version(self.spec.request_id, server.version)
        versions.record_begin(
            self.spec.team, stream.attempt_id, self.spec.pool, BackendId(backend_id)
        )

    async def serve_released(self, attempts: int | None) -> bool:
        """Have another VM serve a request that the router released.

        Return whether the caller has been answered; else the router has it again.
        """
        if self.is_forwarded:
            await self.hand_back()
            return True
        if self.forwarder is not None and await self.forward_to_peer(attempts):
            return True
        self.driver.take_back(self.spec.request_id)
        return False

    async def hand_back(self) -> None:
        """Tell the VM that forwarded the request that another one has to serve it."""
        if not self.may_have_run and not self.head_sent:
            await self.send_error_answer(NOT_TAKEN)
            return
        made = (ATTEMPTS_MADE_HEADER, str(self.attempts).encode())
        self.send = with_header(self.send, made)
        await self.refuse_failed()

    async def forward_to_peer(self, attempts: int | None) -> bool:
        """Have another VM serve the request; return whether the caller is answered.

        `attempts` is how many servers may still run it, if that is bounded. A VM that
        does not take the request has not run it, and the next one is asked.
        """
        assert self.forwarder is not None
        tried: set[str] = set()
        while (peer := self.forwarder.choose(self.spec.pool, tried)) is not None:
            tried.add(peer.address)
            self.forwarded_to = peer.name
            self.may_have_run_before = self.may_have_run
            try:
                await self.forward_via(peer, attempts)
            except AttemptFailed as failure:
                self.discard_partial_event()
                log_event(
                    "forward_failed",
                    request=self.spec.request_id,
                    peer=peer.name,
                    kind=failure.kind.value,
                    detail=failure.detail,
                    **self.failure_source(failure),
                )
                self.forwarder.record_failure(peer, self.spec.pool, failure.kind)
                if self.end_passed_on():
                    return True
                if failure.kind in (FailureKind.CONNECT, FailureKind.REFUSED):
                    self.may_have_run = self.may_have_run_before
                elif attempts is not None:
                    attempts = max(0, attempts - attempts_made(failure))
                if attempts == 0 or (self.may_have_run and not self.spec.idempotent):
                    await self.refuse_failed()
                    return True
                continue
            self.forwarder.record_answer(peer, self.spec.pool)
            # The other VM counts what it ran.
            self.reached_backend = self.backend_started
            return True
        self.forwarder.record_exhausted(self.spec.pool)
        return False

    async def refuse_failed(self) -> None:
        """Refuse a request that another VM may have run, and that may not be repeated."""
        code = RefusalCode.BACKEND_FAILED
        refusal = Refuse(self.spec.request_id, code, NotRun.UNKNOWN)
        await self.send_error_answer(self.frontend.answer_refusal(refusal))

    async def forward_via(self, peer: Peer, attempts: int | None) -> None:
        """Send the request to another VM and pass its answer on."""
        assert self.forwarder is not None
        request = self.outbound.build_forwarded(self.driver.clock.now())
        version = self.forwarder.config_version()
        terms = ForwardTerms(
            version,
            self.spec.pool,
            attempts,
            self.backend_started,
            nonce=make_nonce(),
        )
        self.may_have_run = True
        async with self.forwarder.client.exchange(
            self.outbound.method,
            f"http://{peer.address}",
            self.outbound.path,
            terms.add_to(request.headers),
            request.content,
            belongs=partial(answers_send, terms),
            answer_id=terms.nonce,
        ) as answer:
            self.use = connection_use(answer.request)
            with self.recording("record_departure"):
                self.record_departure(answer)
            not_run = answer.headers.get(NOT_RUN_HEADER.decode())
            if not_run is not None:
                await self.pass_refusal(answer, not_run == NotRun.TRUE.value)
                return
            self.check_continuation(answer)
            if self.outbound.streams and self.is_stream(answer):
                await self.forward_stream(None, answer, AttemptScope())
            else:
                await self.forward_whole(None, answer)

    def record_departure(self, answer: httpx.Response) -> None:
        """Record that the server of another VM's answer states to be leaving."""
        served_by = answer.headers.get(SERVED_BY_HEADER.decode())
        statement = self.client.header_parser.parse_statement(answer)
        if served_by is not None and statement.is_leaving:
            backend_id = BackendId(served_by)
            incarnation = self.driver.incarnation(backend_id)
            self.driver.record_departure(backend_id, incarnation)

    async def pass_refusal(self, answer: httpx.Response, not_run: bool) -> None:
        """Pass on another VM's refusal; a stream that has begun may go on elsewhere."""
        body = await self.read_body(answer)
        if ATTEMPTS_MADE_HEADER.decode() in answer.headers:
            raise AttemptFailed(FailureKind.ERROR, "handed back by another VM")
        if not_run:
            self.may_have_run = self.may_have_run_before
        if self.head_sent and not_run:
            detail = f"status {answer.status_code} of another VM"
            raise AttemptFailed(FailureKind.REFUSED, detail)
        if self.head_sent:
            await self.refuse_failed()
            return
        self.error_code = "refused_by_peer"
        headers = self.outbound.whole_headers(answer)
        await self.send_answer(WholeAnswer(answer.status_code, headers, body))

    async def watch_disconnect(self) -> None:
        """Abort the exchange when the caller disconnects.

        A claimed call that was sent continues without its caller: it may have run, and
        the caller's next try can get nothing but its stored answer.
        """
        while (await self.receive())["type"] != "http.disconnect":
            pass
        if self.must_store_answer:
            self.send = send_nothing
        # Hypercorn also reports a disconnect at the end of each complete exchange. If
        # that aborted it, a finished answer would count as abandoned and its tokens as
        # wasted.
        elif not self.answered:
            self.abort(CancelReason.CALLER_GONE)

    async def watch_deadline(self, at: float) -> None:
        """Abort the exchange at `at`, unless it is answered by then."""
        await anyio.sleep(max(0.0, at - self.driver.clock.now()))
        if not self.answered:
            self.abort(CancelReason.DEADLINE)

    async def send_last_answer(self, code: RefusalCode) -> None:
        """Send the last server error, or else a refusal, when the time is over."""
        if self.failed_answer is not None and not self.head_sent:
            await self.send_answer(self.failed_answer)
            return
        await self.send_refusal(code)

    async def send_refusal(self, code: RefusalCode) -> None:
        """Refuse the request; "not run" is promised only if it was sent to no server."""
        not_run = NotRun.UNKNOWN if self.may_have_run else NotRun.TRUE
        may_return = code is RefusalCode.STOPPING and not self.may_have_run
        after_s = STOPPING_RETRY_S if may_return else None
        refusal = Refuse(self.spec.request_id, code, not_run, after_s)
        await self.send_error_answer(self.frontend.answer_refusal(refusal))

    def end_slow_caller(self) -> None:
        """End the exchange as memory is short; see `watch_disconnect` for claimed calls."""
        if self.must_store_answer:
            self.send = send_nothing
        else:
            self.abort(CancelReason.CALLER_SLOW)

    def withdraw_key(self) -> None:
        """Refuse the caller, whose key is no longer valid; see `watch_disconnect`."""
        if self.must_store_answer:
            self.key_withdrawn.set()
        else:
            self.abort(CancelReason.KEY_WITHDRAWN)

    async def watch_key(self) -> None:
        """Answer the caller once its key is withdrawn, while its call goes on."""
        await self.key_withdrawn.wait()
        if self.answered:
            return
        self.error_code = KEY_WITHDRAWN.code
        send, self.send = self.send, send_nothing
        await self.frontend.send_error(send, KEY_WITHDRAWN, self.head_sent)

    @property
    def must_store_answer(self) -> bool:
        """Whether this is a claimed call that was sent, and goes on without its caller."""
        return self.claimed is not None and self.may_have_run

    def abort(self, reason: CancelReason) -> None:
        """Stop serving, and cancel whatever is in progress."""
        self.abort_reason = reason
        self.error_code = reason.value
        self.scope.cancel()

    async def execute(self, action: object) -> bool:
        """Execute an action of the router; return whether the exchange is over."""
        match action:
            case Start():
                return await self.run_attempt(action)
            case Release(attempts=attempts):
                return await self.serve_released(attempts)
            case Refuse(code=RefusalCode.STOPPING) if self.is_forwarded:
                await self.hand_back()
                return True
            case Refuse():
                if self.may_have_run:
                    # The router does not know of a run through another VM.
                    action = replace(action, not_run=NotRun.UNKNOWN)
                # The claim is released before the caller gets "not run", so that it
                # doesn't block the caller's next try.
                await self.settle_claim()
                if self.failed_answer is not None and not self.head_sent:
                    await self.send_answer(self.failed_answer)
                    return True
                await self.send_error_answer(self.frontend.answer_refusal(action))
                return True
        return False

    async def run_attempt(self, start: Start) -> bool:
        """Run one attempt; return whether the caller has been answered."""
        if self.driver.is_cancelled(start):
            return False
        url = self.driver.urls.get(start.backend_id)
        if url is None:
            self.may_have_run_before = self.may_have_run
            self.record_attempt_failure(start, FailureKind.CONNECT)
            return False
        try:
            with self.cancellable(start.attempt_id) as scope:
                if not await self.ensure_may_send():
                    return True
                if self.claimed is not None:
                    # An attempt cancelled during the claim ends here, while it is
                    # certain that no byte has been sent.
                    await checkpoint()
                await self.forward(start, url, scope)
            if scope.cancelled:
                self.discard_partial_event()
                return self.end_passed_on()
        except AttemptFailed as failure:
            self.discard_partial_event()
            log_event(
                "attempt_failed",
                request=self.spec.request_id,
                backend=start.backend_id,
                attempt=start.attempt_id,
                kind=failure.kind.value,
                detail=failure.detail,
                framing=self.framing.value if self.framing else None,
                partial_bytes=self.partial_bytes,
                **self.failure_source(failure),
            )
            self.record_attempt_failure(start, failure.kind)
            return self.end_passed_on()
        # A slow caller may still take its answer, but the server has done its part.
        if self.status is not None and self.status >= 500:
            self.driver.record_error_answer(self.spec.request_id, start.attempt_id)
        else:
            self.driver.record_completion(self.spec.request_id, start.attempt_id)
        return True

    def failure_source(self, failure: AttemptFailed) -> dict[str, Any]:
        """Return the fields of a log line that say where a failure came from."""
        use = self.use = failure.use
        answer_id: str | None = None
        if failure.answer is not None:
            answer_id = self.outbound.found_id(failure.answer)
        return {
            "connection": use.connection if use else None,
            "exchange": use.exchange if use else None,
            "age_s": use.age_s if use else None,
            "answer_id": answer_id and answer_id[:ANSWER_ID_CHARACTERS],
        }

    def end_passed_on(self) -> bool:
        """Return whether the caller has got a part of a whole answer, which then ends.

        Its connection is closed within the body, so that the part doesn't look complete.
        """
        if self.is_passed_on:
            self.error_code = RefusalCode.BACKEND_FAILED.value
        else:
            self.outgoing.release_read()
        return self.is_passed_on

    async def ensure_may_send(self) -> bool:
        """Claim the call if need be; return False if its caller was answered instead."""
        if self.spec.idempotent:
            return True
        if self.may_have_run:
            # The router must not retry this request. A wrong retry would run a charge
            # twice, so the exchange refuses it as well.
            await self.send_error_answer(OUTCOME_UNKNOWN)
            return False
        if self.claimed is None:
            return True
        if self.key_withdrawn.is_set():
            return False
        outcome = await self.claimed.claim()
        if isinstance(outcome, ClaimGranted):
            return True
        await self.answer_claim(outcome)
        return False

    async def look_up_claim(self) -> bool:
        """Read the claim; return False if it answered the caller already."""
        if self.claimed is None:
            return True
        outcome = await self.claimed.look_up()
        if isinstance(outcome, Unclaimed):
            return True
        await self.answer_claim(outcome)
        return False

    async def answer_claim(self, outcome: LookupOutcome | ClaimOutcome) -> None:
        """Send the stored answer, or an error that says why there is none."""
        if isinstance(outcome, Stored) and outcome.answer is not None:
            stored = outcome.answer
            headers = header_bytes(stored.headers)
            self.head_sent = True
            self.replayed = True
            await send_response(
                self.send, stored.status, [*headers, REPLAYED], stored.body
            )
            return
        await self.send_error_answer(answer_claim(outcome, self.driver.clock.wall()))

    async def store_answer(self, answer: Answer) -> None:
        """Settle the claim with an answer, which is passed on even if that fails."""
        with self.recording("store_answer"):
            await self.settle_claim(answer)

    async def settle_claim(self, answer: Answer | None = None) -> None:
        """Settle the claim with `answer` or by whether the call may have run."""
        if self.claimed is not None:
            await self.claimed.settle(self.may_have_run, answer)

    @contextmanager
    def cancellable(self, attempt_id: AttemptId) -> Iterator[AttemptScope]:
        """Let the router cancel this attempt without ending the exchange."""
        attempt = AttemptScope()
        self.driver.cancel_callbacks[attempt_id] = attempt.cancel
        with attempt.scope:
            try:
                yield attempt
            finally:
                del self.driver.cancel_callbacks[attempt_id]

    async def forward(self, start: Start, url: str, scope: AttemptScope) -> None:
        """Send the request to a backend server and forward its answer."""
        outbound = self.outbound
        source = self.driver.backend_address(start.fetch_from)
        attempt_request = outbound.build_attempt(
            start.backend_id, self.driver.clock.now(), source
        )
        self.attempts += 1
        self.framing, self.partial_bytes = None, 0
        self.last_backend = start.backend_id
        self.may_have_run_before = self.may_have_run
        self.may_have_run = True
        sent = self.driver.sent_now(start.backend_id)
        async with self.client.exchange(
            outbound.method,
            url,
            outbound.path,
            attempt_request.headers,
            attempt_request.content,
            lambda head: self.record_head(start.backend_id, head, sent),
            outbound.belongs_to_request,
            outbound.answer_id,
        ) as answer:
            self.use = connection_use(answer.request)
            self.reached_backend = True
            begins_with_event = outbound.streams and self.is_stream(answer)
            self.may_have_begun = self.may_have_begun or not begins_with_event
            self.framing = framing_of(answer)
            if (
                answer.status_code >= 500
                and outbound.error_policy is not ErrorPolicy.ANSWER
            ):
                await self.raise_server_error(answer)
            self.check_continuation(answer)
            if outbound.streams and self.is_stream(answer):
                await self.forward_stream(start, answer, scope)
            else:
                await self.forward_whole(start, answer)

    def record_head(
        self, backend_id: BackendId, answer: httpx.Response, sent: Sent
    ) -> None:
        """Record what the headers of an answer, also of a rejection, say of its
        server; whatever comes of that, the answer itself is passed on."""
        with self.recording("record_head", backend=backend_id):
            self.driver.record_heard(backend_id)
            statement = self.client.header_parser.parse_statement(answer)
            if not self.outbound.reports_load:
                statement = statement._replace(load=None)
            self.driver.record_statement(backend_id, statement, sent)

    async def raise_server_error(self, answer: httpx.Response) -> None:
        """Fail the attempt; keep the server's answer if the caller may get it."""
        if self.outbound.error_policy is ErrorPolicy.RETRY_OR_ANSWER:
            self.failed_answer = WholeAnswer(
                answer.status_code,
                self.answer_headers(self.outbound.whole_headers(answer)),
                await self.read_body(answer),
            )
        raise AttemptFailed(FailureKind.ERROR, f"status {answer.status_code}")

    async def read_body(self, answer: httpx.Response) -> bytes:
        """Return the body of an answer that is not streamed."""
        client = self.client
        return await read_raw(answer, client.limits.body_bytes, client.bodies)

    def is_stream(self, answer: httpx.Response) -> bool:
        """Return whether an answer to a streamed request consists of events.

        What continues a stream that has begun does in any case.
        """
        if answer.status_code != 200:
            return False
        return self.head_sent or is_event_stream(answer)

    def check_continuation(self, answer: httpx.Response) -> None:
        """Fail an attempt whose answer cannot continue a stream that has begun."""
        if self.head_sent and answer.status_code != 200:
            detail = f"status {answer.status_code} for the rest of a stream"
            raise AttemptFailed(FailureKind.ERROR, detail)

    async def forward_stream(
        self, start: Start | None, answer: httpx.Response, scope: AttemptScope
    ) -> None:
        """Forward complete events until the stream is complete."""
        reader = self.reader
        before = reader.delivered
        async for data in answer.aiter_raw():
            if start is not None:
                with self.recording("record_heard"):
                    self.driver.record_heard(start.backend_id)
            scope.defer_cancel()
            await self.forward_events(start, answer, data)
            scope.allow_cancel()
        self.partial_bytes = len(reader.partial_event)
        if framing_of(answer) is Framing.CLOSE and reader.delivered == before:
            # Its server may have failed at once; no event says otherwise.
            raise AttemptFailed(FailureKind.CUT, "the connection ended without events")
        rest = reader.end()
        if not reader.done:
            raise AttemptFailed(
                FailureKind.CUT, "the stream ended before its last event"
            )
        await self.send_head(answer)
        self.answered = True
        if self.claimed is not None:
            head = header_texts(EVENT_STREAM_HEADERS)
            await self.store_answer(Answer(200, head, b"".join(self.streamed_events)))
        await self.send({"type": "http.response.body", "body": rest})

    async def forward_events(
        self, start: Start | None, answer: httpx.Response, data: bytes
    ) -> None:
        """Forward the events that `data` completes, and count their tokens."""
        reader = self.reader
        before = reader.delivered
        events = reader.feed(data)
        limits = self.client.limits
        held = len(reader.partial_event)
        check_length(AnswerPart.EVENT, limits.event_bytes, held)
        if not events:
            return
        if start is not None:
            self.record_backend_start()
        if not self.head_sent:
            with self.recording("record_stream_begin"):
                self.record_stream_begin(start, answer)
        await self.send_head(answer)
        if self.claimed is not None:
            self.streamed_bytes += len(events)
            check_length(AnswerPart.BODY, limits.body_bytes, self.streamed_bytes)
            self.streamed_events.append(events)
            self.held_events.charge(len(events))
        self.answered = reader.done
        body = {"type": "http.response.body", "body": events, "more_body": True}
        await self.send(body)
        with self.recording("count_tokens"):
            self.count_tokens(start, reader.delivered - before)

    async def send_head(self, answer: httpx.Response) -> None:
        """Send the status and headers of a stream, before its first event.

        Until then a failure can still be answered with an error status. A stream that
        another server resumes keeps the headers of the first one.
        """
        if self.head_sent:
            return
        self.head_sent = True
        self.status = 200
        headers = self.answer_headers(self.outbound.stream_headers(answer))
        await self.send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )

    def answer_headers(self, headers: RawHeaders) -> RawHeaders:
        """Return a server's headers; another VM is told which server it was."""
        if not self.is_forwarded or self.last_backend is None:
            return headers
        return [*headers, (SERVED_BY_HEADER, self.last_backend.encode())]

    def record_backend_start(self) -> None:
        """Report once that a backend server has started the request."""
        if not self.backend_started:
            self.backend_started = True
            with self.recording("on_backend_start"):
                self.on_backend_start()

    def count_tokens(self, start: Start | None, count: int) -> None:
        """Record tokens that were forwarded."""
        if not count:
            return
        self.token_times.record_arrival(self.driver.clock.now())
        if start is None:
            self.forwarded_tokens += count
            return
        self.tokens_by_kind[self.driver.backend_kind(start.backend_id)] += count
        self.driver.record_tokens(self.spec.request_id, start.attempt_id, count)

    async def forward_whole(self, start: Start | None, answer: httpx.Response) -> None:
        """Forward an answer that isn't streamed, with its status."""
        is_read = self.outbound.reads_body or self.claimed is not None
        if self.memory.is_bounded and not is_read:
            await self.relay_whole(start, answer)
            return
        body = await self.read_body(answer)
        is_unframed = framing_of(answer) is Framing.CLOSE
        if (
            is_unframed
            and answer.status_code == 200
            and self.outbound.is_truncated(body)
        ):
            raise AttemptFailed(FailureKind.CUT, "the answer ended before it was whole")
        self.token_times.last_at = self.driver.clock.now()
        if start is not None:
            self.record_backend_start()
            with self.recording("record_usage"):
                self.record_usage(start, body)
        headers = self.answer_headers(self.outbound.whole_headers(answer))
        if self.claimed is not None:
            texts = header_texts(headers)
            await self.store_answer(Answer(answer.status_code, texts, body))
        await self.send_answer(WholeAnswer(answer.status_code, headers, body))

    def record_usage(self, start: Start, body: bytes) -> None:
        """Record the tokens that a whole answer states."""
        self.reported_usage = self.outbound.usage(body)
        if not self.reported_usage:
            return
        count = self.reported_usage.output
        self.tokens_by_kind[self.driver.backend_kind(start.backend_id)] += count
        self.driver.record_tokens(self.spec.request_id, start.attempt_id, count)

    async def relay_whole(self, start: Start | None, answer: httpx.Response) -> None:
        """Forward an answer whose content isn't read here, within the memory budget.

        Its caller gets nothing until the answer is whole, so that another server can
        still give one. If memory is short before that, it is sent as it is read.
        """
        pieces: list[bytes] = []
        async for piece in read_pieces(answer, self.client.limits.body_bytes):
            pieces.append(piece)
            if not self.is_passed_on and not self.outgoing.hold(len(piece)):
                if framing_of(answer) is Framing.CLOSE:
                    # Only its end shows whether such an answer is whole.
                    await self.outgoing.wait_to_hold()
                    continue
                self.is_passed_on = True
            if self.is_passed_on:
                await self.send_pieces(start, answer, pieces, None)
                pieces = []
        self.token_times.last_at = self.driver.clock.now()
        self.answered = True
        length = sum(len(piece) for piece in pieces)
        await self.send_pieces(start, answer, pieces[:-1], length)
        last = pieces[-1] if pieces else b""
        await self.send({"type": "http.response.body", "body": last})

    async def send_pieces(
        self,
        start: Start | None,
        answer: httpx.Response,
        pieces: list[bytes],
        length: int | None,
    ) -> None:
        """Send pieces of a whole answer, after its head; `length` is None if unknown."""
        self.outgoing.release_read()
        if not self.head_sent:
            self.head_sent = True
            self.status = answer.status_code
            if start is not None:
                self.record_backend_start()
            headers = self.answer_headers(self.outbound.whole_headers(answer))
            stated = answer.headers.get("content-length")
            text = str(length) if length is not None else stated
            if text is not None:
                headers = [*headers, (b"content-length", text.encode())]
            await self.send(
                {
                    "type": "http.response.start",
                    "status": answer.status_code,
                    "headers": headers,
                }
            )
        for piece in pieces:
            await self.send(
                {"type": "http.response.body", "body": piece, "more_body": True}
            )

    async def send_answer(self, answer: WholeAnswer) -> None:
        """Send a backend server's answer unchanged."""
        self.head_sent = self.answered = True
        self.status = answer.status
        await send_response(self.send, *answer)

    def discard_partial_event(self) -> None:
        """Drop what an attempt that ended left of an incomplete event."""
        self.partial_bytes = len(self.reader.partial_event)
        self.reader.discard_partial_event()

    def record_attempt_failure(self, start: Start, kind: FailureKind) -> None:
        if kind in (FailureKind.CONNECT, FailureKind.REFUSED):
            # No byte was sent, or the server says that it did not run the request;
            # only an earlier attempt may have run it.
            self.may_have_run = self.may_have_run_before
        if self.key_withdrawn.is_set() and not self.may_have_run:
            self.abort(CancelReason.KEY_WITHDRAWN)
        if kind in (FailureKind.CONNECT, FailureKind.CUT):
            self.driver.record_broken_connection(start.backend_id)
        if kind is not FailureKind.CONNECT:
            self.reached_backend = True
        if kind in MAY_HAVE_BEGUN and not self.outbound.streams:
            # A plain service runs what it accepts. An engine that ends without a first
            # event may have had the request in its queue.
            self.may_have_begun = True
        self.driver.record_failure(self.spec.request_id, start.attempt_id, kind)

    async def send_error_answer(self, answer: ErrorAnswer) -> None:
        """Send an error instead of an answer, or of the rest of a stream."""
        self.error_code = answer.code
        self.answered = True
        was_sent, self.head_sent = self.head_sent, True
        if not was_sent:
            self.status = answer.status
        await self.frontend.send_error(self.send, answer, was_sent)

    @property
    def billed_tokens(self) -> TokenCount:
        """Return the tokens to bill: the server's count, or else an estimate."""
        reported_usage = self.reported_usage or self.reader.usage
        if reported_usage:
            return reported_usage
        delivered = self.reader.delivered - self.forwarded_tokens
        return TokenCount(self.spec.prompt_tokens, delivered)

    @property
    def timing(self) -> Timing:
        arrived = self.spec.arrived
        first = self.token_times.first_at
        return Timing(
            None if first is None else first - arrived,
            self.token_times.last_at - arrived,
            self.billed_tokens.output,
        )
