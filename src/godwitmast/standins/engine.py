"""A stand-in model engine: an HTTP server around `EngineModel`, with faults on request.

Besides completions it offers what a router may use of a real engine: load reports, cache
events, orders to load or unload models, and export and import of KV caches.
"""

import hashlib
import os
import re
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from godwitmast.http_server import HttpServer
from godwitmast.logs import log_event
from godwitmast.standins.engine_model import EngineModel, EngineSpeed, Sequence
from godwitmast.standins.settings import EngineSettings

LENGTH_MARK = re.compile(r"length=(\d+)")
"""A prompt that contains `length=40` gets an answer of 40 tokens."""

PREFIX_CHARS = 256
CHARS_PER_TOKEN = 4
CRASH_EXIT_CODE = 70

encode = msgspec.json.encode


@dataclass
class EngineFaults:
    """Faults that are switched on at the moment."""

    crash_on: str = ""
    exits: bool = False
    hang: bool = False
    crashed: bool = False


class EngineCrashed(Exception):
    """Raised to break the connection without an answer, as a crashed engine does."""


@dataclass
class StandinEngine:
    """The engine's HTTP server and the loop that steps its model."""

    settings: EngineSettings
    faults: EngineFaults = field(default_factory=EngineFaults)

    def __post_init__(self) -> None:
        settings = self.settings
        self.model = EngineModel(
            EngineSpeed(
                step_s=settings.step_s,
                sequence_s=settings.sequence_s,
                prompt_tokens_per_s=settings.prompt_tokens_per_s,
                max_batch=settings.max_batch,
                cache_tokens=settings.cache_tokens,
            )
        )
        self.models = set(settings.models)
        self.streams: dict[str, MemoryObjectSendStream[tuple[int, bool]]] = {}
        self.work_available = anyio.Event()
        self.reports: list[tuple[float, dict[str, Any]]] = []
        self.fence = 0
        self.orders: list[dict[str, Any]] = []
        self.role = "mixed"
        self.served: list[dict[str, Any]] = []
        self.imported_kv: dict[str, int] = {}
        self.calls = 0
        self.app = Starlette(
            routes=[
                Route("/v1/chat/completions", self.complete, methods=["POST"]),
                Route("/v1/completions", self.complete, methods=["POST"]),
                Route("/v1/models", self.list_models),
                Route("/health", self.health),
                Route("/load", self.load),
                Route("/cache-events", self.cache_events),
                Route("/orders", self.execute_order, methods=["POST"]),
                Route("/kv/export", self.export_kv, methods=["POST"]),
                Route("/kv/import", self.import_kv, methods=["POST"]),
                Route("/faults", self.set_faults, methods=["POST"]),
                Route("/served", self.list_served),
            ]
        )
        self.server = HttpServer(self.app, settings.listen, grace_s=1.0)

    async def start(self, tasks: TaskGroup) -> None:
        """Start the HTTP server, the steps of the model and the load reports."""
        await self.server.start(tasks)
        tasks.start_soon(self.run_steps)
        tasks.start_soon(self.record_reports)

    async def close(self) -> None:
        await self.server.close()

    async def run_steps(self) -> None:
        """Step the model in real time and pass its tokens on to the open answers."""
        while True:
            if not self.model.busy:
                self.work_available = anyio.Event()
                await self.work_available.wait()
            step = self.model.step()
            await anyio.sleep(step.duration_s)
            while self.faults.hang:
                await anyio.sleep(0.05)
            for event in step.events:
                stream = self.streams.get(event.sequence_id)
                if stream is not None:
                    stream.send_nowait((event.position, event.last))

    async def record_reports(self) -> None:
        """Record a load report every 0.1 s, so that old ones can be served."""
        while True:
            now = anyio.current_time()
            report = {
                "running": len(self.model.running),
                "waiting": len(self.model.waiting),
                "generated_total": self.model.generated_total,
                "models": sorted(self.models),
                "role": self.role,
            }
            self.reports.append((now, report))
            del self.reports[:-200]
            await anyio.sleep(0.1)

    async def complete(self, request: Request) -> Response:
        """Answer a completion request, streamed or in one piece."""
        body = msgspec.json.decode(await request.body())
        self.calls += 1
        if self.faults.crashed:
            raise EngineCrashed
        if body["model"] not in self.models:
            return error_response(404, "model_not_loaded")
        prompt = prompt_text(body)
        if self.faults.crash_on and self.faults.crash_on in prompt:
            self.crash()
        request_id = request.headers.get("x-request-id") or f"seq-{self.calls}"
        sequence = make_sequence(f"{request_id}/{self.calls}", body, prompt)
        sequence.imported_tokens = self.imported_kv.pop(request_id, 0)
        self.served.append(
            {
                "request_id": request_id,
                "resume_from": sequence.generated,
                "priority": sequence.priority,
                "headers": dict(request.headers),
                "query": str(request.url.query),
            }
        )
        send, receive = anyio.create_memory_object_stream[tuple[int, bool]](100_000)
        self.streams[sequence.sequence_id] = send
        self.model.submit(sequence)
        self.work_available.set()
        tag = hashlib.sha256(prompt.encode()).hexdigest()[:4]
        is_chat = "messages" in body
        tokens = self.receive_tokens(sequence, receive, tag)
        if body.get("stream"):
            wants_usage = (body.get("stream_options") or {}).get("include_usage")
            events = stream_events(
                tokens, request_id, body["model"], is_chat, sequence, bool(wants_usage)
            )
            return StreamingResponse(
                events, headers=self.load_headers(), media_type="text/event-stream"
            )
        text = "".join([token async for token in tokens])
        return JSONResponse(
            whole_answer(text, request_id, body["model"], is_chat, sequence),
            headers=self.load_headers(),
        )

    def load_headers(self) -> dict[str, str]:
        model = self.model
        return {"Engine-Load": f"{len(model.running)};{len(model.waiting)}"}

    async def receive_tokens(
        self,
        sequence: Sequence,
        receive: MemoryObjectReceiveStream[tuple[int, bool]],
        tag: str,
    ) -> AsyncIterator[str]:
        """Yield the text of each token; cancel the sequence if the caller disconnects."""
        try:
            async for position, last in receive:
                if self.faults.crashed:
                    raise EngineCrashed
                yield f"{tag}-{position} "
                if last:
                    return
            raise EngineCrashed
        finally:
            self.model.cancel(sequence.sequence_id)
            self.streams.pop(sequence.sequence_id, None)
            receive.close()

    def crash(self) -> None:
        """Lose all work: exit the process or, without `exits`, break all connections.

        The latter serves an engine that shares its process with other parts of a test.
        """
        log_event("engine_crashed", name=self.settings.name, level="WARNING")
        if self.faults.exits:
            os._exit(CRASH_EXIT_CODE)
        self.faults.crashed = True
        self.model.clear()
        for stream in list(self.streams.values()):
            stream.close()
        raise EngineCrashed

    async def list_models(self, request: Request) -> Response:
        data = [{"id": name, "object": "model"} for name in sorted(self.models)]
        return JSONResponse({"object": "list", "data": data})

    async def health(self, request: Request) -> Response:
        if self.faults.crashed:
            raise EngineCrashed
        return JSONResponse({"ok": True})

    async def load(self, request: Request) -> Response:
        """Return the newest load report that is at least `load_lag_s` old."""
        if self.faults.crashed:
            raise EngineCrashed
        now = anyio.current_time()
        old_enough = [
            item for item in self.reports if item[0] <= now - self.settings.load_lag_s
        ]
        if not old_enough:
            return JSONResponse({"running": 0, "waiting": 0, "age_s": 0.0})
        made_at, report = old_enough[-1]
        return JSONResponse({**report, "age_s": now - made_at})

    async def cache_events(self, request: Request) -> Response:
        """Return the cache events after a number; every seventh one is left out as lost."""
        after = int(request.query_params.get("after", 0))
        events = [
            {"sequence": e.sequence, "prefix": e.prefix, "stored": e.stored}
            for e in self.model.cache_events
            if e.sequence > after and e.sequence % 7
        ]
        return JSONResponse({"events": events})

    async def execute_order(self, request: Request) -> Response:
        """Carry out an order; refuse a stale fencing token where tokens are checked."""
        body = await request.json()
        fence = int(body["fence"])
        stale = fence < self.fence
        self.orders.append({**body, "stale": stale})
        if stale and self.settings.checks_fences:
            return error_response(409, "stale_fence")
        self.fence = max(self.fence, fence)
        match body["order"]:
            case "load":
                self.models.add(body["model"])
            case "unload":
                self.models.discard(body["model"])
            case "role":
                self.role = body["role"]
            case _:
                return error_response(422, "unknown_order")
        return JSONResponse({"models": sorted(self.models), "role": self.role})

    async def export_kv(self, request: Request) -> Response:
        """Return a handle to the KV cache of a running request."""
        body = await request.json()
        for sequence in self.model.running.values():
            if sequence.sequence_id.split("/")[0] == body["request_id"]:
                tokens = sequence.prompt_tokens + sequence.generated
                return JSONResponse(
                    {"request_id": body["request_id"], "tokens": tokens}
                )
        return error_response(404, "not_running")

    async def import_kv(self, request: Request) -> Response:
        """Accept the KV cache of a request that ran on another engine."""
        body = await request.json()
        self.imported_kv[body["request_id"]] = int(body["tokens"])
        return JSONResponse({"tokens": body["tokens"]})

    async def set_faults(self, request: Request) -> Response:
        """Set the faults exits, crash_on, hang and speed; restart the engine, or crash it."""
        body = await request.json()
        self.faults.exits = bool(body.get("exits", self.faults.exits))
        self.faults.crash_on = body.get("crash_on", self.faults.crash_on)
        self.faults.hang = bool(body.get("hang", self.faults.hang))
        if "speed" in body:
            self.model.rates = self.model.rates._replace(speed=float(body["speed"]))
        if body.get("restart"):
            self.faults.crashed = False
        if body.get("crash"):
            self.crash()
        return JSONResponse({"ok": True})

    async def list_served(self, request: Request) -> Response:
        """Return the requests accepted so far, without refused ones."""
        return JSONResponse(self.served)


def error_response(status: int, code: str) -> Response:
    """Return an error response whose header says that the request was not run."""
    return JSONResponse(
        {"error": {"code": code, "message": code}},
        status,
        headers={"Engine-Not-Run": "true"},
    )


def prompt_text(body: dict[str, Any]) -> str:
    """Return the prompt of a chat or text completion as one string."""
    if "messages" in body:
        return "\n".join(str(message["content"]) for message in body["messages"])
    return str(body["prompt"])


def make_sequence(sequence_id: str, body: dict[str, Any], prompt: str) -> Sequence:
    """Return the sequence of a request.

    The answer's length depends on the prompt alone, up to the request's token limit.
    """
    mark = LENGTH_MARK.search(prompt)
    digest = hashlib.sha256(prompt.encode()).digest()
    length = int(mark.group(1)) if mark else 8 + digest[0]
    limit = body.get("max_completion_tokens") or body.get("max_tokens") or 1024
    prompt_tokens = max(1, len(prompt) // CHARS_PER_TOKEN)
    has_prefix = len(prompt) >= PREFIX_CHARS
    return Sequence(
        sequence_id,
        prompt_tokens,
        max(1, min(length, limit)),
        priority=int(body.get("priority", 0)),
        prefix=hashlib.sha256(prompt[:PREFIX_CHARS].encode()).hexdigest()[:16]
        if has_prefix
        else "",
        prefix_tokens=PREFIX_CHARS // CHARS_PER_TOKEN,
        generated=int((body.get("resume") or {}).get("tokens", 0)),
    )


def usage_of(sequence: Sequence) -> dict[str, int]:
    return {
        "prompt_tokens": sequence.prompt_tokens,
        "completion_tokens": sequence.generated,
        "total_tokens": sequence.prompt_tokens + sequence.generated,
    }


async def stream_events(
    tokens: AsyncIterator[str],
    request_id: str,
    model: str,
    is_chat: bool,
    sequence: Sequence,
    wants_usage: bool,
) -> AsyncIterator[bytes]:
    """Yield the server-sent events of an answer, one per token."""
    head = {
        "id": request_id,
        "object": "chat.completion.chunk" if is_chat else "text_completion",
        "created": 0,
        "model": model,
    }
    async for token in tokens:
        last = sequence.generated >= sequence.output_tokens
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": "stop" if last else None,
        }
        if is_chat:
            choice["delta"] = {"content": token}
        else:
            choice["text"] = token
        yield b"data: " + encode({**head, "choices": [choice]}) + b"\n\n"
    if wants_usage:
        usage_event: dict[str, Any] = {
            **head,
            "choices": [],
            "usage": usage_of(sequence),
        }
        yield b"data: " + encode(usage_event) + b"\n\n"
    yield b"data: [DONE]\n\n"


def whole_answer(
    text: str, request_id: str, model: str, is_chat: bool, sequence: Sequence
) -> dict[str, Any]:
    """Return the answer to a request that does not stream."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": request_id,
        "object": "chat.completion" if is_chat else "text_completion",
        "created": 0,
        "model": model,
        "choices": [choice],
        "usage": usage_of(sequence),
    }
