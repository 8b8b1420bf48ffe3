"""The entry's HTTP application, whatever interface its callers speak."""

from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
from anyio import to_thread
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from godwitmast.backends.client import BackendClient
from godwitmast.capacity.demand import DemandKey, DemandMeter
from godwitmast.clock import Clock
from godwitmast.config.document import Document, NumberedConfig
from godwitmast.dispatch.messages import CancelReason, RequestSpec
from godwitmast.entry.driver import RouterDriver
from godwitmast.entry.exchange import Exchange
from godwitmast.entry.front import Front, Incoming, Prepared, Reply
from godwitmast.entry.intake import CallerGone, read_body
from godwitmast.entry.metrics import EntryMetrics
from godwitmast.entry.refusals import (
    ErrorAnswer,
    answer_denial,
    send_json,
    send_whole,
)
from godwitmast.http_server import Receive, Scope, Send
from godwitmast.keys.authorizer import Caller, Denial, still_granted
from godwitmast.logs import log_event
from godwitmast.types import RequestId
from godwitmast.usage.meter import Meter, UsageKey

NOT_READY = ErrorAnswer(
    503, "not_ready", "No configuration is in force here yet.", retry_after_s=1.0
)


class EntryApp:
    """Takes callers' requests, from the key check to the metering."""

    def __init__(
        self,
        clock: Clock,
        driver: RouterDriver,
        client: BackendClient,
        meter: Meter,
        front: Front,
    ) -> None:
        self.clock = clock
        self.driver = driver
        self.client = client
        self.meter = meter
        self.front = front
        self.metrics = EntryMetrics()
        self.demand = DemandMeter()
        self.config: NumberedConfig | None = None
        self.stopping = False
        self.withdrawn: dict[str, int] = {}
        self.fault_hook: Callable[[frozenset[str]], None] | None = None
        self.peers_listed: Callable[[], list[str]] = list
        self.exchanges: dict[RequestId, Exchange] = {}
        self.ready_checks: list[Callable[[], bool]] = []
        self.cut_off_s: Callable[[], float] = lambda: 0.0
        self.ends_withdrawn = True
        """Whether an open stream ends once its key is withdrawn."""

    def config_changed(self, config: NumberedConfig) -> None:
        """Take a configuration, and end the streams of keys that it withdraws."""
        self.config = config
        self.front.config_changed(config)
        self.metrics.config_changed(config)
        self.driver.config_changed(config)
        self.withdrawn = {
            key_hash: version
            for key_hash, version in self.withdrawn.items()
            if version > config.version
        }
        self.end_withdrawn()

    def withdraw_key(self, key_hash: str, version: int) -> None:
        """Refuse a key that configuration `version` withdraws, before it is here.

        A peer may have it much earlier than a node that lags and needs the whole of
        it. Numbers only rise, so nothing that comes later can make this wrong, but
        the configuration that is in force by then has the last word.
        """
        if self.config is None or version <= self.config.version:
            return
        self.withdrawn[key_hash] = version
        for exchange in list(self.exchanges.values()):
            if exchange.caller and exchange.caller.key_hash == key_hash:
                exchange.abort(CancelReason.KEY_WITHDRAWN)

    def end_withdrawn(self) -> None:
        """End the streams of keys that are withdrawn, expired or past their grace."""
        if not self.ends_withdrawn:
            return
        wall, cut_off_s = self.clock.wall(), self.cut_off_s()
        for exchange in list(self.exchanges.values()):
            caller = exchange.caller
            if caller and not still_granted(self.document, caller, wall, cut_off_s):
                exchange.abort(CancelReason.KEY_WITHDRAWN)

    @property
    def document(self) -> Document:
        assert self.config is not None, "requests are taken only once ready"
        return self.config.document

    @property
    def ready(self) -> bool:
        checks = all(check() for check in self.ready_checks)
        return self.config is not None and not self.stopping and checks

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        if self.stopping and scope["http_version"].startswith("1"):
            send = closing(send)
        try:
            await self.route(scope, receive, send)
        except CallerGone:
            return

    async def route(self, scope: Scope, receive: Receive, send: Send) -> None:
        match scope["path"]:
            case "/livez":
                await send_json(send, 200, {"live": True})
            case "/readyz":
                await send_json(send, 200 if self.ready else 503, self.readiness())
            case "/_peers/cut" if self.fault_hook:
                body = await read_body(receive, self.front.limits())
                assert isinstance(body, bytes), "tests send a short list"
                self.fault_hook(msgspec.json.decode(body, type=frozenset[str]))
                await send_json(send, 200, {})
            case "/metrics":
                await send_metrics(send, self.metrics.registry)
            case "/metrics/teams":
                await send_metrics(send, self.metrics.team_registry)
            case _:
                await self.take(scope, receive, send)

    def readiness(self) -> dict[str, object]:
        return {
            "ready": self.ready,
            "stopping": self.stopping,
            "config": self.config.version if self.config else None,
            "peers": self.peers_listed(),
        }

    async def take(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve a caller, or tell it what is wrong with its request."""
        try:
            error = await self.serve(scope, receive, send)
        except CallerGone:
            raise
        except Exception as fault:
            # The server would answer 500 and say nothing of what went wrong here.
            log_event("request_broke", level="ERROR", error=repr(fault))
            raise
        if error is not None:
            await self.front.send_error(send, error, False)

    async def serve(
        self, scope: Scope, receive: Receive, send: Send
    ) -> ErrorAnswer | None:
        """Serve a caller, or return the error to answer with.

        The body is read before any error is given: see `read_body`.
        """
        arrived = self.clock.now()
        body = await read_body(receive, self.front.limits())
        if isinstance(body, ErrorAnswer):
            return body
        if self.config is None:
            return NOT_READY
        envelope = self.front.open(scope)
        if isinstance(envelope, ErrorAnswer):
            return envelope
        caller = self.front.identify(envelope, self.cut_off_s())
        if isinstance(caller, ErrorAnswer):
            return caller
        if caller is not None and caller.key_hash in self.withdrawn:
            return answer_denial(Denial.UNKNOWN)
        match self.front.prepare(Incoming(envelope, caller, body, arrived)):
            case Prepared() as prepared:
                await self.run(self.make_exchange(prepared, caller, receive, send))
            case Reply(status, content):
                await send_json(send, status, content)
            case ErrorAnswer() as error:
                return error
        return None

    def make_exchange(
        self, prepared: Prepared, caller: Caller | None, receive: Receive, send: Send
    ) -> Exchange:
        exchange = Exchange(
            self.driver,
            self.client,
            self.front,
            caller,
            prepared.spec,
            prepared.outbound,
            receive,
            send,
            give_up_at=prepared.give_up_at,
            claimed=prepared.claimed,
        )
        exchange.on_backend_start = partial(self.meter.began, usage_key(prepared.spec))
        return exchange

    async def run(self, exchange: Exchange) -> None:
        """Run an exchange, then meter it and count how it ended."""
        spec = exchange.spec
        self.exchanges[spec.request_id] = exchange
        self.demand.arrived(demand_key(spec), spec.prompt_tokens)
        self.metrics.open_requests.inc()
        try:
            await exchange.run()
        finally:
            del self.exchanges[exchange.spec.request_id]
            self.metrics.open_requests.dec()
            self.account(exchange)

    def waiting(self) -> dict[DemandKey, int]:
        """Return how many requests wait for a backend server."""
        return Counter(
            demand_key(exchange.spec)
            for exchange in self.exchanges.values()
            if not exchange.reached_backend
        )

    def account(self, exchange: Exchange) -> None:
        """Meter what reached a backend server, and count and log the outcome."""
        spec = exchange.spec
        first_s, total_s, tokens = exchange.timing
        gap_s, gap_ended_at = exchange.token_times.longest_gap
        log_event(
            "request_ended",
            request=spec.request_id,
            team=spec.team,
            class_name=spec.class_name,
            pool=spec.pool,
            outcome=exchange.error_code or "answered",
            status=exchange.status,
            backend=exchange.last_backend,
            attempts=exchange.attempts,
            may_have_run=exchange.may_have_run,
            first_s=first_s,
            total_s=self.clock.now() - spec.arrived,
            tokens=tokens,
            gap_s=gap_s,
            gap_ended_s=None if gap_ended_at is None else gap_ended_at - spec.arrived,
            config=self.config.version if self.config else None,
        )
        for kind, tokens in exchange.tokens_by_kind.items():
            self.metrics.came_from(kind, tokens)
        if exchange.reached_backend:
            exchange.record_backend_start()
            self.meter.add(usage_key(spec), exchange.billed_tokens)
        if exchange.error_code:
            self.metrics.refused(
                spec.team,
                spec.class_name,
                exchange.error_code,
                exchange.reader.given,
            )
            return
        if exchange.replayed:
            return
        self.demand.answered(demand_key(spec), exchange.billed_tokens.output)
        target = self.document.classes.get(spec.class_name)
        if target:
            self.metrics.answered(spec.team, spec.class_name, target, exchange.timing)


async def send_metrics(send: Send, registry: CollectorRegistry) -> None:
    """Send a page of metrics, written in a thread.

    With thousands of teams writing it takes most of a second. On the event loop every
    stream of the entry stood still for that long at each scrape.
    """
    headers = [(b"content-type", CONTENT_TYPE_LATEST.encode())]
    body = await to_thread.run_sync(generate_latest, registry)
    await send_whole(send, 200, headers, body)


def demand_key(spec: RequestSpec) -> DemandKey:
    return DemandKey(spec.pool, spec.class_name)


def usage_key(spec: RequestSpec) -> UsageKey:
    return UsageKey(spec.team, spec.class_name, spec.pool)


def closing(send: Send) -> Send:
    """Return a `send` whose answer tells the caller that its connection ends.

    A caller that keeps its connection would else send its next request just when the
    entry closes it, and lose it.
    """

    async def send_and_close(message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            headers = [*message["headers"], (b"connection", b"close")]
            message = {**message, "headers": headers}
        await send(message)

    return send_and_close
