"""`godwit-load passthrough`: a bare proxy from hypercorn to httpx.

Its latency is the lower bound that an entry's overhead is compared with.
"""

from dataclasses import dataclass, field

import httpx
import typer
from anyio.abc import TaskGroup

from godwitmast.entry.request_parsing import receive_chunk
from godwitmast.http_server import HttpServer, Receive, Scope, Send
from godwitmast.program import run_daemon
from godwitmast.settings import Listen, LogSettings


@dataclass
class Passthrough:
    """Forwards each request to one server and returns its answer, both unparsed."""

    target: str
    listen: Listen = Listen()
    http: httpx.AsyncClient = field(init=False)

    def __post_init__(self) -> None:
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=512)
        self.http = httpx.AsyncClient(timeout=60, limits=limits, trust_env=False)
        self.server = HttpServer(self, self.listen, grace_s=1.0)

    async def start(self, tasks: TaskGroup) -> None:
        await self.server.start(tasks)

    async def close(self) -> None:
        await self.server.close()
        await self.http.aclose()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        body, more = await receive_chunk(receive)
        while more:
            chunk, more = await receive_chunk(receive)
            body += chunk
        url = self.target + scope["path"]
        headers = {"content-type": "application/json"}
        async with self.http.stream(
            scope["method"], url, content=body, headers=headers
        ) as answer:
            content_type = answer.headers["content-type"].encode()
            await send(
                {
                    "type": "http.response.start",
                    "status": answer.status_code,
                    "headers": [(b"content-type", content_type)],
                }
            )
            async for chunk in answer.aiter_raw():
                await send(
                    {"type": "http.response.body", "body": chunk, "more_body": True}
                )
        await send({"type": "http.response.body", "body": b""})


def passthrough(
    target: str = typer.Option(help="URL of the server to pass requests to."),
    host: str = typer.Option("127.0.0.1"),
    port: int = typer.Option(0, min=0, max=65535),
) -> None:
    """Run a bare pass-through until SIGTERM, to compare an entry with."""
    listen = Listen(host, port)
    run_daemon("godwit-load", LogSettings(), lambda: Passthrough(target, listen))
