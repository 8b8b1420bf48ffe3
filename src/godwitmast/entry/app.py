"""The entry's HTTP application."""

import itertools
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import msgspec
from anyio import to_thread
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from godwitmast.backends.client import BackendClient
from godwitmast.capacity.demand import DemandKey, DemandMeter
from godwitmast.claims.keeper import ClaimKeeper
from godwitmast.clock import Clock
from godwitmast.config.document import Document, NumberedConfig
from godwitmast.dispatch.messages import CancelReason, RequestSpec
from godwitmast.entry.driver import RouterDriver
from godwitmast.entry.exchange import Exchange, Outbound
from godwitmast.entry.intake import (
    CallerGone,
    Envelope,
    ModelCall,
    fingerprint,
    open_envelope,
    read_body,
    read_model_call,
)
from godwitmast.entry.metrics import EntryMetrics
from godwitmast.entry.refusals import (
    ErrorAnswer,
    answer_denial,
    send_error,
    send_json,
    send_whole,
)
from godwitmast.entry.settings import EntrySettings
from godwitmast.http_server import Receive, Scope, Send
from godwitmast.keys.authorizer import (
    Caller,
    Denial,
    choose_class,
    identify,
    may_use,
    still_granted,
)
from godwitmast.types import ClassName, PoolName, RequestId, TeamName
from godwitmast.usage.meter import Meter, UsageKey

COMPLETION_PATHS = {"/v1/chat/completions": True, "/v1/completions": False}
SERVICES = "/services/"
SAFE_METHODS = frozenset(["GET", "HEAD"])
NOT_READY = ErrorAnswer(
    503, "not_ready", "No configuration is in force here yet.", retry_after_s=1.0
)


class Incoming(NamedTuple):
    """A request whose head, key and body were read."""

    envelope: Envelope
    caller: Caller
    body: bytes
    receive: Receive
    send: Send


class EntryApp:
    """Takes callers' requests, from the key check to the metering."""

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        driver: RouterDriver,
        client: BackendClient,
        meter: Meter,
        claims: ClaimKeeper,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.driver = driver
        self.client = client
        self.meter = meter
        self.claims = claims
        self.metrics = EntryMetrics()
        self.demand = DemandMeter()
        self.config: NumberedConfig | None = None
        self.stopping = False
        self.withdrawn: dict[str, int] = {}
        self.fault_hook: Callable[[frozenset[str]], None] | None = None
        self.peers_listed: Callable[[], list[str]] = list
        self.exchanges: dict[RequestId, Exchange] = {}
        self.numbers = itertools.count(1)
        self.ready_checks: list[Callable[[], bool]] = []
        self.cut_off_s: Callable[[], float] = lambda: 0.0

    def config_changed(self, config: NumberedConfig) -> None:
        """Take a configuration, and end the streams of keys that it withdraws."""
        self.config = config
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
            if exchange.caller.key_hash == key_hash:
                exchange.end(CancelReason.KEY_WITHDRAWN)

    def end_withdrawn(self) -> None:
        """End the streams of keys that are withdrawn, expired or past their grace."""
        wall, cut_off_s = self.clock.wall(), self.cut_off_s()
        for exchange in list(self.exchanges.values()):
            if not still_granted(self.document, exchange.caller, wall, cut_off_s):
                exchange.end(CancelReason.KEY_WITHDRAWN)

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
                body = await read_body(receive, self.settings.limits)
                assert isinstance(body, bytes), "tests send a short list"
                self.fault_hook(msgspec.json.decode(body, type=frozenset[str]))
                await send_json(send, 200, {})
            case "/metrics":
                await send_metrics(send, self.metrics.registry)
            case "/metrics/teams":
                await send_metrics(send, self.metrics.team_registry)
            case _:
                answer = await self.serve(scope, receive, send)
                if answer is not None:
                    await send_error(send, answer)

    def readiness(self) -> dict[str, object]:
        return {
            "ready": self.ready,
            "stopping": self.stopping,
            "config": self.config.version if self.config else None,
            "peers": self.peers_listed(),
        }

    async def serve(
        self, scope: Scope, receive: Receive, send: Send
    ) -> ErrorAnswer | None:
        """Serve a caller, or return the error to answer with.

        The body is read before any error is given: see `read_body`.
        """
        body = await read_body(receive, self.settings.limits)
        if isinstance(body, ErrorAnswer):
            return body
        if self.config is None:
            return NOT_READY
        envelope = open_envelope(scope)
        if isinstance(envelope, ErrorAnswer):
            return envelope
        caller = identify(
            self.document, envelope.key, self.clock.wall(), self.cut_off_s()
        )
        if isinstance(caller, Denial):
            return answer_denial(caller)
        if caller.key_hash in self.withdrawn:
            return answer_denial(Denial.UNKNOWN)
        if envelope.path == "/v1/models":
            await send_json(send, 200, list_models(self.document, caller))
            return None
        exchange = self.prepare(Incoming(envelope, caller, body, receive, send))
        if isinstance(exchange, ErrorAnswer):
            return exchange
        await self.run(exchange)
        return None

    def prepare(self, incoming: Incoming) -> Exchange | ErrorAnswer:
        """Return the exchange that serves a request, or the error to answer with."""
        path = incoming.envelope.path
        if path in COMPLETION_PATHS:
            return self.prepare_model(incoming)
        if path.startswith(SERVICES):
            return self.prepare_service(incoming)
        return ErrorAnswer(404, "not_found", f"There is nothing at {path}.")

    def prepare_model(self, incoming: Incoming) -> Exchange | ErrorAnswer:
        envelope, caller = incoming.envelope, incoming.caller
        if envelope.method != "POST":
            return ErrorAnswer(405, "method_not_allowed", "Completions take POST.")
        call = read_model_call(incoming.body, COMPLETION_PATHS[envelope.path])
        if isinstance(call, ErrorAnswer):
            return call
        model = self.document.models.get(call.model)
        if model is None:
            message = f"There is no model {call.model!r}."
            return ErrorAnswer(404, "model_not_found", message)
        if not may_use(caller, call.model):
            return answer_denial(Denial.MODEL)
        class_name = choose_class(self.document, caller, envelope.class_name)
        if isinstance(class_name, Denial):
            return answer_denial(class_name)
        limit = min(call.max_tokens or model.max_output_tokens, model.max_output_tokens)
        spec = self.make_spec(incoming, class_name, call.model)._replace(
            prompt_tokens=call.prompt_tokens,
            max_tokens=limit,
            idempotent=model.idempotent,
            prefix=call.prefix,
            resumable=call.stream,
        )
        outbound = self.model_outbound(envelope, call, spec, limit)
        return self.make_exchange(incoming, spec, outbound)

    def model_outbound(
        self, envelope: Envelope, call: ModelCall, spec: RequestSpec, limit: int
    ) -> Outbound:
        """Return what an engine is sent: the caller's body, with our priority."""
        tier = self.document.classes[spec.class_name].tier
        body = {**call.body, "priority": tier, "max_tokens": limit}
        body.pop("max_completion_tokens", None)
        headers = [
            ("content-type", "application/json"),
            ("x-request-id", spec.request_id),
        ]
        content = msgspec.json.encode(body)
        return Outbound("POST", envelope.path, headers, content, body, call.stream)

    def prepare_service(self, incoming: Incoming) -> Exchange | ErrorAnswer:
        envelope, caller = incoming.envelope, incoming.caller
        name, _, rest = envelope.path.removeprefix(SERVICES).partition("/")
        service = self.document.services.get(name)
        if service is None:
            return ErrorAnswer(
                404, "service_not_found", f"There is no service {name!r}."
            )
        if not may_use(caller, name):
            return answer_denial(Denial.MODEL)
        wanted = envelope.class_name or service.default_class
        class_name = choose_class(self.document, caller, wanted)
        if isinstance(class_name, Denial):
            return answer_denial(class_name)
        idempotent = envelope.method in SAFE_METHODS or is_below(
            f"/{rest}", service.idempotent_paths
        )
        spec = self.make_spec(incoming, class_name, name)._replace(
            idempotent=idempotent, resumable=False
        )
        query = f"?{envelope.query}" if envelope.query else ""
        path = service_path(envelope.raw_path) + query
        headers = [*envelope.headers, ("accept-encoding", "identity")]
        outbound = Outbound(envelope.method, path, headers, incoming.body)
        return self.make_exchange(incoming, spec, outbound)

    def make_spec(self, incoming: Incoming, class_name: str, pool: str) -> RequestSpec:
        envelope, team = incoming.envelope, incoming.caller.team_name
        now = self.clock.now()
        deadline = None if envelope.deadline_s is None else now + envelope.deadline_s
        return RequestSpec(
            RequestId(f"{self.settings.node}-{next(self.numbers)}"),
            TeamName(team),
            ClassName(class_name),
            PoolName(pool),
            now,
            deadline=deadline,
            fingerprint=fingerprint(team, envelope.path, incoming.body),
        )

    def make_exchange(
        self, incoming: Incoming, spec: RequestSpec, outbound: Outbound
    ) -> Exchange:
        envelope, caller, _, receive, send = incoming
        exchange = Exchange(
            self.driver, self.client, caller, envelope, spec, outbound, receive, send
        )
        if envelope.idempotency_key is not None and not spec.idempotent:
            # What the caller sent, not what goes out: that holds our priority, which
            # the next configuration may change.
            exchange.claimed = self.claims.open_call(
                spec.team,
                envelope.idempotency_key,
                [outbound.method, outbound.path, spec.fingerprint],
            )
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
        """Meter what reached a backend server, and count the outcome."""
        spec = exchange.spec
        for kind, tokens in exchange.kind_tokens.items():
            self.metrics.came_from(kind, tokens)
        if exchange.reached_backend:
            key = UsageKey(spec.team, spec.class_name, spec.pool)
            self.meter.add(key, exchange.tokens)
        if exchange.error_code:
            self.metrics.refused(
                spec.team,
                spec.class_name,
                exchange.error_code,
                len(exchange.reader.texts),
            )
            return
        if exchange.replayed:
            return
        self.demand.answered(demand_key(spec), exchange.tokens.output)
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


def service_path(raw_path: str) -> str:
    """Return what follows the service's name, still encoded as the caller sent it.

    Decoded, a `%3F` in a path would become the start of a query.
    """
    return "/" + raw_path.split("/", 3)[3] if raw_path.count("/") > 2 else "/"


def is_below(path: str, starts: Iterable[str]) -> bool:
    """Return whether `path` is one of `starts` or below it.

    A path with dot segments is below nothing: a service that resolves
    `/drafts/../charge` runs a charge, which must not be repeated as a draft may.
    """
    if any(segment in (".", "..") for segment in path.split("/")):
        return False
    return any(
        path == start or path.startswith(start.rstrip("/") + "/") for start in starts
    )


def list_models(document: Document, caller: Caller) -> dict[str, object]:
    """Return the models that the caller may use, as OpenAI's API lists them."""
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "godwitmast"}
        for name in sorted(document.models)
        if may_use(caller, name)
    ]
    return {"object": "list", "data": data}
