"""The entry's ASGI application, independent of the API that its callers use."""

import math
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

import anyio
import msgspec
from anyio import to_thread
from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Gauge,
    generate_latest,
)

from godwitmast.backends.client import BackendClient
from godwitmast.capacity.demand import DemandKey, DemandMeter
from godwitmast.clock import Clock
from godwitmast.config.document import Document, NumberedConfig
from godwitmast.dispatch.messages import CancelReason, RequestSpec
from godwitmast.entry.driver import RouterDriver
from godwitmast.entry.exchange import Exchange
from godwitmast.entry.forwarder import Forwarder
from godwitmast.entry.frontend import Frontend, Incoming, Prepared, Reply
from godwitmast.entry.metrics import EntryMetrics, add_memory_metrics
from godwitmast.entry.refusals import (
    MEMORY_SHORT,
    NOT_TAKEN,
    ErrorAnswer,
    answer_denial,
    send_json,
    send_response,
)
from godwitmast.entry.request_parsing import CallerGone, read_body
from godwitmast.entry.sending import EntryMemory, HeldBytes
from godwitmast.entry.stream_versions import StreamVersions
from godwitmast.forwarding.terms import ForwardTerms
from godwitmast.http_server import ABORT_CONNECTION, Receive, Scope, Send
from godwitmast.keys.authorizer import Caller, Denial, still_granted
from godwitmast.logs import log_event
from godwitmast.memory.budget import MAX_TIER, Holder
from godwitmast.supervision import TASK_FAILURES
from godwitmast.types import BackendId, RequestId
from godwitmast.usage.meter import Meter, UsageKey

FORWARD_TERMS = "godwitmast.forward_terms"
"""Key in the ASGI scope of a request that another VM forwarded."""

NOT_READY = ErrorAnswer(
    503, "not_ready", "No configuration is in force here yet.", retry_after_s=1.0
)


END_MARGIN_S = 0.1
"""Time for the last answers before the HTTP server cuts what is left."""


class EntryApp:
    """Serves callers' requests, from authentication to metering."""

    def __init__(
        self,
        clock: Clock,
        driver: RouterDriver,
        client: BackendClient,
        meter: Meter,
        frontend: Frontend,
        memory: EntryMemory | None = None,
    ) -> None:
        self.clock = clock
        self.memory = memory or EntryMemory(clock=clock)
        self.driver = driver
        self.client = client
        self.meter = meter
        self.frontend = frontend
        self.metrics = EntryMetrics()
        count = partial(self.metrics.count_long_answer, "server")
        self.client.limit_listeners.append(count)
        count_dropped = partial(self.metrics.count_dropped_connection, "server")
        self.client.drop_listeners.append(count_dropped)
        add_memory_metrics(self.memory, self.metrics.registry)
        self.metrics.registry.register(TASK_FAILURES)
        failing = Gauge(
            "godwit_ticks_failing",
            "1 while the router's ticks, or one of their steps, fail again and again.",
            registry=self.metrics.registry,
        )
        failing.set_function(self.driver.is_failing)
        self.demand = DemandMeter()
        self.config: NumberedConfig | None = None
        self.stopping = False
        self.ends_at = math.inf
        self.withdrawn: dict[str, int] = {}
        self.fault_hook: Callable[[frozenset[str]], None] | None = None
        self.list_peers: Callable[[], list[str]] = list
        self.exchanges: dict[RequestId, Exchange] = {}
        self.ready_checks: list[Callable[[], bool]] = []
        self.seconds_since_contact: Callable[[], float] = lambda: 0.0
        self.forwarder: Forwarder | None = None
        self.stream_versions: StreamVersions | None = None
        """Forwards requests to other VMs while this one reaches no server."""
        self.ends_withdrawn_streams = True
        """Whether an open stream is ended when its key is withdrawn."""

    def record_room(self) -> None:
        """Bring the metrics of decisions by the room of all VMs up to date."""
        if self.driver.router is not None:
            room = self.driver.router.room
            summaries = room.summaries(self.clock.now())
            self.metrics.record_room(room.pop_counts(), summaries)

    def config_changed(self, config: NumberedConfig) -> None:
        """Apply a configuration, and end the streams of keys that it withdraws."""
        self.config = config
        self.frontend.config_changed(config)
        self.metrics.config_changed(config)
        self.client.set_limits(config.document.answers)
        self.driver.config_changed(config)
        self.withdrawn = {
            key_hash: version
            for key_hash, version in self.withdrawn.items()
            if version > config.version
        }
        self.end_withdrawn_streams()

    def withdraw_key(self, key_hash: str, version: int) -> None:
        """Refuse a key that configuration `version` withdraws, until that one arrives.

        A peer may have the configuration much earlier than a node that lags and needs a
        full snapshot. Version numbers only rise, so a late message can't undo a newer
        configuration; once `version` is in force here, it alone decides.
        """
        if self.config is None or version <= self.config.version:
            return
        self.withdrawn[key_hash] = version
        for exchange in list(self.exchanges.values()):
            if exchange.caller and exchange.caller.key_hash == key_hash:
                exchange.withdraw_key()

    def end_withdrawn_streams(self) -> None:
        """End streams whose key is withdrawn, expired or past the offline grace."""
        if not self.ends_withdrawn_streams:
            return
        wall, offline_s = self.clock.wall(), self.seconds_since_contact()
        for exchange in list(self.exchanges.values()):
            caller = exchange.caller
            if caller and not still_granted(self.document, caller, wall, offline_s):
                exchange.withdraw_key()

    def stop(self, grace_s: float) -> None:
        """Be unready from now on; open requests end after the grace at the latest."""
        self.stopping = True
        self.ends_at = self.clock.now() + grace_s - END_MARGIN_S
        self.driver.stop(self.ends_at)

    async def end_exchanges(self) -> None:
        """Give each request that is still open at the end of the grace its last answer.

        Later the HTTP server would cut it, which tells nobody whether it has run.
        """
        await anyio.sleep(max(0.0, self.ends_at - self.clock.now()))
        open_exchanges = [e for e in self.exchanges.values() if not e.answered]
        if open_exchanges:
            log_event(
                "grace_ended",
                level="WARNING",
                requests=len(open_exchanges),
                sent=sum(e.may_have_run for e in open_exchanges),
            )
        for exchange in open_exchanges:
            exchange.abort(CancelReason.STOPPING)

    @property
    def document(self) -> Document:
        assert self.config is not None, "requests are served only once ready"
        return self.config.document

    @property
    def ready(self) -> bool:
        checks = all(check() for check in self.ready_checks)
        if self.memory.budget.is_exhausted:
            return False
        return self.config is not None and not self.stopping and checks

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        if scope["http_version"].startswith("1"):
            send = self.with_connection_close(send)
        try:
            await self.route(scope, receive, send)
        except CallerGone:
            return

    def with_connection_close(self, send: Send) -> Send:
        """Return a `send` that adds `Connection: close` to answers while this VM stops.

        Otherwise a caller that reuses its connection could send its next request while
        the entry closes it, and lose that request.
        """

        async def send_and_close(message: dict[str, Any]) -> None:
            if self.stopping and message["type"] == "http.response.start":
                headers = [*message["headers"], (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        return send_and_close

    async def route(self, scope: Scope, receive: Receive, send: Send) -> None:
        match scope["path"]:
            case "/livez":
                await send_json(send, 200, {"live": True})
            case "/readyz":
                await send_json(send, 200 if self.ready else 503, self.readiness())
            case "/_peers/cut" if self.fault_hook:
                body = await read_body(receive, self.frontend.limits())
                assert isinstance(body, bytes), "tests send a short list"
                self.fault_hook(msgspec.json.decode(body, type=frozenset[str]))
                await send_json(send, 200, {})
            case "/metrics":
                self.record_room()
                await send_metrics(send, self.metrics.registry)
            case "/metrics/teams":
                await send_metrics(send, self.metrics.team_registry)
            case _:
                await self.handle_request(scope, receive, send)

    def readiness(self) -> dict[str, object]:
        return {
            "ready": self.ready,
            "stopping": self.stopping,
            "config": self.config.version if self.config else None,
            "peers": self.list_peers(),
        }

    async def handle_request(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve a request, or answer it with the error that it caused."""
        held_body = HeldBytes(self.memory, Holder.REQUEST)
        try:
            error = await self.serve(scope, receive, send, held_body)
        except CallerGone:
            raise
        except Exception as exception:
            # The HTTP server answers 500 but does not log the exception.
            log_event("request_broke", level="ERROR", error=repr(exception))
            raise
        finally:
            held_body.close()
        if error is MEMORY_SHORT and FORWARD_TERMS in scope:
            error = NOT_TAKEN
        if error is not None:
            await self.frontend.send_error(send, error, False)

    async def serve(
        self, scope: Scope, receive: Receive, send: Send, held_body: HeldBytes
    ) -> ErrorAnswer | None:
        """Serve a request, or return the error to answer with.

        The body is read before any error is returned; see `read_body`.
        """
        arrived = self.clock.now()
        limits = self.frontend.limits()
        body = await read_body(receive, limits, held_body.acquire)
        if isinstance(body, ErrorAnswer):
            return body
        if self.config is None:
            return NOT_READY
        head = self.frontend.open(scope)
        if isinstance(head, ErrorAnswer):
            return head
        caller = self.frontend.authenticate(head, self.seconds_since_contact())
        if isinstance(caller, ErrorAnswer):
            return caller
        if caller is not None and caller.key_hash in self.withdrawn:
            return answer_denial(Denial.UNKNOWN)
        match self.frontend.prepare(Incoming(head, caller, body, arrived)):
            case Prepared() as prepared:
                if not self.has_memory_for(prepared.spec, len(body)):
                    return MEMORY_SHORT
                terms = scope.get(FORWARD_TERMS)
                exchange = self.make_exchange(prepared, caller, receive, send)
                abort = scope.get("extensions", {}).get(ABORT_CONNECTION)
                if abort is not None:
                    exchange.outgoing.abort_connection = abort
                await self.run(apply_terms(exchange, terms) if terms else exchange)
            case Reply(status, content):
                await send_json(send, status, content)
            case ErrorAnswer() as error:
                return error
        return None

    def has_memory_for(self, request: RequestSpec, body_bytes: int) -> bool:
        """Return whether a request is taken; large ones that aren't urgent go first."""
        target = self.document.classes.get(request.class_name)
        tier = target.tier if target is not None else MAX_TIER
        if self.memory.admits(request, body_bytes, tier):
            return True
        code = MEMORY_SHORT.code
        self.metrics.record_refusal(request.team, request.class_name, code)
        return False

    def make_exchange(
        self, prepared: Prepared, caller: Caller | None, receive: Receive, send: Send
    ) -> Exchange:
        exchange = Exchange(
            self.driver,
            self.client,
            self.frontend,
            caller,
            prepared.spec,
            prepared.outbound,
            receive,
            send,
            answer_deadline=prepared.answer_deadline,
            claimed=prepared.claimed,
            memory=self.memory,
        )
        exchange.forwarder = self.forwarder
        exchange.stream = prepared.stream
        exchange.stream_versions = self.stream_versions
        exchange.on_backend_start = partial(
            self.meter.count_request, usage_key(prepared.spec)
        )
        return exchange

    async def run(self, exchange: Exchange) -> None:
        """Run an exchange, then meter it and record its outcome."""
        spec = exchange.spec
        self.exchanges[spec.request_id] = exchange
        self.demand.record_request(demand_key(spec), spec.prompt_tokens)
        self.metrics.open_requests.inc()
        try:
            await exchange.run()
        finally:
            del self.exchanges[exchange.spec.request_id]
            self.metrics.open_requests.dec()
            # Its connection may carry more requests.
            with exchange.recording("record_outcome"):
                self.record_outcome(exchange)

    def count_waiting(self) -> dict[DemandKey, int]:
        """Return the number of requests that wait for a backend server, by demand key."""
        return Counter(
            demand_key(exchange.spec)
            for exchange in self.exchanges.values()
            if not exchange.reached_backend
        )

    def version_of(self, backend_id: BackendId | None) -> str | None:
        """Return the software version of a backend server, if it states one."""
        backend = self.driver.backends.get(backend_id) if backend_id else None
        return backend.version or None if backend is not None else None

    def record_outcome(self, exchange: Exchange) -> None:
        """Meter a request that reached a backend server; count and log its outcome."""
        spec = exchange.spec
        first_s, total_s, tokens = exchange.timing
        gap_s, gap_ended_at = exchange.token_times.longest_gap
        log_event(
            "request_ended",
            request=spec.request_id,
            team=spec.team,
            class_name=spec.class_name,
            pool=spec.pool,
            fingerprint=spec.fingerprint,
            outcome=exchange.error_code or "answered",
            status=exchange.status,
            backend=exchange.last_backend,
            version=self.version_of(exchange.last_backend),
            resumes=exchange.stream.resumes if exchange.stream else None,
            forwarded_to=exchange.forwarded_to,
            forwarded=exchange.is_forwarded,
            attempts=exchange.attempts,
            may_have_run=exchange.may_have_run,
            framing=exchange.framing.value if exchange.framing else None,
            partial_bytes=exchange.partial_bytes,
            connection=exchange.use.connection if exchange.use else None,
            exchange=exchange.use.exchange if exchange.use else None,
            first_s=first_s,
            total_s=self.clock.now() - spec.arrived,
            tokens=tokens,
            gap_s=gap_s,
            gap_ended_s=None if gap_ended_at is None else gap_ended_at - spec.arrived,
            config=self.config.version if self.config else None,
        )
        if exchange.framing is not None:
            self.metrics.count_answer(exchange.framing.value, exchange.error_code)
        for kind, tokens in exchange.tokens_by_kind.items():
            self.metrics.count_server_tokens(kind, tokens)
        if exchange.reached_backend:
            if exchange.may_have_begun:
                exchange.record_backend_start()
            if exchange.backend_started:
                self.meter.count_tokens(usage_key(spec), exchange.billed_tokens)
        if exchange.error_code:
            self.metrics.record_refusal(
                spec.team,
                spec.class_name,
                exchange.error_code,
                exchange.reader.delivered,
            )
            return
        if exchange.replayed:
            return
        self.demand.record_answer(demand_key(spec), exchange.billed_tokens.output)
        target = self.document.classes.get(spec.class_name)
        if target:
            self.metrics.record_answer(
                spec.team, spec.class_name, target, exchange.timing
            )


async def send_metrics(send: Send, registry: CollectorRegistry) -> None:
    """Send the metrics of a registry, which are formatted in a thread.

    With thousands of teams that takes most of a second. On the event loop it would
    stall every stream of the entry for that long at each scrape.
    """
    headers = [(b"content-type", CONTENT_TYPE_LATEST.encode())]
    body = await to_thread.run_sync(generate_latest, registry)
    await send_response(send, 200, headers, body)


def apply_terms(exchange: Exchange, terms: ForwardTerms) -> Exchange:
    """Apply the terms of a request that another VM forwarded; it is not passed on."""
    exchange.forwarder = None
    exchange.is_forwarded = True
    exchange.backend_started = terms.metered
    allowed = exchange.spec.attempts
    if terms.attempts is not None:
        allowed = min(terms.attempts, terms.attempts if allowed is None else allowed)
    exchange.spec = exchange.spec._replace(attempts=allowed)
    return exchange


def demand_key(spec: RequestSpec) -> DemandKey:
    return DemandKey(spec.pool, spec.class_name)


def usage_key(spec: RequestSpec) -> UsageKey:
    return UsageKey(spec.team, spec.class_name, spec.pool)
