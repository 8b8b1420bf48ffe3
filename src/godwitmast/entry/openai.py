"""The entry's own API, which OpenAI clients can use."""

import itertools
from collections.abc import Iterable

import msgspec

from godwitmast.backends.client import LOAD_HEADER
from godwitmast.claims.keeper import ClaimKeeper
from godwitmast.clock import Clock
from godwitmast.config.document import Document, NumberedConfig
from godwitmast.dispatch.messages import Refuse, RequestSpec
from godwitmast.entry.frontend import Incoming, Prepared, Reply
from godwitmast.entry.outbound import ModelOutbound, Outbound, PlainOutbound
from godwitmast.entry.refusals import (
    ErrorAnswer,
    answer_denial,
    answer_refusal,
    error_body,
    send_error,
)
from godwitmast.entry.request_parsing import (
    Limits,
    ModelCall,
    RequestHead,
    fingerprint,
    parse_head,
    read_model_call,
)
from godwitmast.http_server import Scope, Send
from godwitmast.keys.authorizer import (
    Caller,
    Denial,
    authenticate,
    choose_class,
    may_use,
)
from godwitmast.types import ClassName, PoolName, RequestId, TeamName

COMPLETION_PATHS = {"/v1/chat/completions": True, "/v1/completions": False}
SERVICES_PREFIX = "/services/"
SAFE_METHODS = frozenset(["GET", "HEAD"])


class OpenAiFrontend:
    """Completions, the list of models, and plain services; every caller needs a key."""

    def __init__(
        self, node: str, limits: Limits, clock: Clock, claims: ClaimKeeper
    ) -> None:
        self.node = node
        self.request_limits = limits
        self.clock = clock
        self.claims = claims
        self.config: NumberedConfig | None = None
        self.request_numbers = itertools.count(1)

    def config_changed(self, config: NumberedConfig) -> None:
        """Apply the configuration that is now in force."""
        self.config = config

    @property
    def document(self) -> Document:
        assert self.config is not None, "requests are served only once ready"
        return self.config.document

    def limits(self) -> Limits:
        return self.request_limits

    def open(self, scope: Scope) -> RequestHead | ErrorAnswer:
        return parse_head(scope)

    def authenticate(self, head: RequestHead, offline_s: float) -> Caller | ErrorAnswer:
        wall = self.clock.wall()
        caller = authenticate(self.document, head.key, wall, offline_s)
        return answer_denial(caller) if isinstance(caller, Denial) else caller

    def answer_refusal(self, refusal: Refuse) -> ErrorAnswer:
        return answer_refusal(refusal)

    async def send_error(self, send: Send, answer: ErrorAnswer, began: bool) -> None:
        if not began:
            await send_error(send, answer)
            return
        event = b"data: " + error_body(answer) + b"\n\n"
        await send({"type": "http.response.body", "body": event})

    def prepare(self, incoming: Incoming) -> Prepared | Reply | ErrorAnswer:
        path = incoming.head.path
        if path == "/v1/models":
            return Reply(
                200, list_models(self.document, require_caller(incoming.caller))
            )
        if path in COMPLETION_PATHS:
            return self.prepare_model(incoming)
        if path.startswith(SERVICES_PREFIX):
            return self.prepare_service(incoming)
        return ErrorAnswer(404, "not_found", f"There is nothing at {path}.")

    def prepare_model(self, incoming: Incoming) -> Prepared | ErrorAnswer:
        head, caller = incoming.head, require_caller(incoming.caller)
        if head.method != "POST":
            return ErrorAnswer(405, "method_not_allowed", "Completions take POST.")
        call = read_model_call(incoming.body, COMPLETION_PATHS[head.path])
        if isinstance(call, ErrorAnswer):
            return call
        model = self.document.models.get(call.model)
        if model is None:
            message = f"There is no model {call.model!r}."
            return ErrorAnswer(404, "model_not_found", message)
        if not may_use(caller, call.model):
            return answer_denial(Denial.MODEL)
        class_name = choose_class(self.document, caller, head.class_name)
        if isinstance(class_name, Denial):
            return answer_denial(class_name)
        limit = min(call.max_tokens or model.max_output_tokens, model.max_output_tokens)
        spec = self.make_spec(incoming, class_name, call.model)._replace(
            prompt_tokens=call.prompt_tokens,
            max_tokens=limit,
            idempotent=model.idempotent,
            prefix=call.prefix,
            resumable=call.stream,
            streams=call.stream,
        )
        outbound = self.model_outbound(head, call, spec, limit)
        return self.prepare_claimed(incoming, spec, outbound)

    def model_outbound(
        self, head: RequestHead, call: ModelCall, spec: RequestSpec, limit: int
    ) -> ModelOutbound:
        """Return the request to an engine: the caller's body with its class's priority."""
        priority = self.document.classes[spec.class_name].effective_engine_priority
        body = {**call.body, "priority": priority, "max_tokens": limit}
        body.pop("max_completion_tokens", None)
        headers = [
            ("content-type", "application/json"),
            ("x-request-id", spec.request_id),
        ]
        content = msgspec.json.encode(body)
        return ModelOutbound(
            "POST", head.path, headers, content, LOAD_HEADER, call.stream, body=body
        )

    def prepare_service(self, incoming: Incoming) -> Prepared | ErrorAnswer:
        head, caller = incoming.head, require_caller(incoming.caller)
        name, _, rest = head.path.removeprefix(SERVICES_PREFIX).partition("/")
        service = self.document.services.get(name)
        if service is None:
            return ErrorAnswer(
                404, "service_not_found", f"There is no service {name!r}."
            )
        if not may_use(caller, name):
            return answer_denial(Denial.MODEL)
        requested_class = head.class_name or service.default_class
        class_name = choose_class(self.document, caller, requested_class)
        if isinstance(class_name, Denial):
            return answer_denial(class_name)
        idempotent = head.method in SAFE_METHODS or is_below(
            f"/{rest}", service.idempotent_paths
        )
        spec = self.make_spec(incoming, class_name, name)._replace(
            idempotent=idempotent, resumable=False, streams=False
        )
        query = f"?{head.query}" if head.query else ""
        path = service_path(head.raw_path) + query
        headers = [*head.headers, ("accept-encoding", "identity")]
        outbound = PlainOutbound(head.method, path, headers, incoming.body, LOAD_HEADER)
        return self.prepare_claimed(incoming, spec, outbound)

    def make_spec(self, incoming: Incoming, class_name: str, pool: str) -> RequestSpec:
        head, team = incoming.head, require_caller(incoming.caller).team_name
        now = self.clock.now()
        deadline = None if head.deadline_s is None else now + head.deadline_s
        return RequestSpec(
            RequestId(f"{self.node}-{next(self.request_numbers)}"),
            TeamName(team),
            ClassName(class_name),
            PoolName(pool),
            now,
            deadline=deadline,
            fingerprint=fingerprint(team, head.path, incoming.body),
        )

    def prepare_claimed(
        self, incoming: Incoming, spec: RequestSpec, outbound: Outbound
    ) -> Prepared:
        """Return the prepared request, with a claim if its idempotency key needs one."""
        key = incoming.head.idempotency_key
        if key is None or spec.idempotent:
            return Prepared(spec, outbound)
        # The hash covers what the caller sent rather than what is forwarded: that
        # contains the priority, which the next configuration may change.
        content = [outbound.method, outbound.path, spec.fingerprint]
        return Prepared(spec, outbound, self.claims.open_call(spec.team, key, content))


def require_caller(caller: Caller | None) -> Caller:
    """Return the caller; this API denies every request without a key."""
    assert caller is not None, "a request without a key was denied"
    return caller


def service_path(raw_path: str) -> str:
    """Return the path after the service's name, with its percent-encoding.

    If it were decoded, a `%3F` in it would start a query.
    """
    return "/" + raw_path.split("/", 3)[3] if raw_path.count("/") > 2 else "/"


def is_below(path: str, starts: Iterable[str]) -> bool:
    """Return whether `path` is one of `starts` or below one of them.

    A path with dot segments is below nothing: a service that resolves
    `/drafts/../charge` runs a charge, which must not be retried as a draft may.
    """
    if any(segment in (".", "..") for segment in path.split("/")):
        return False
    return any(
        path == start or path.startswith(start.rstrip("/") + "/") for start in starts
    )


def list_models(document: Document, caller: Caller) -> dict[str, object]:
    """Return the models that the caller may use, in the format of OpenAI's API."""
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "godwitmast"}
        for name in sorted(document.models)
        if may_use(caller, name)
    ]
    return {"object": "list", "data": data}
