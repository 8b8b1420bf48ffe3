"""An ASGI application served over a real socket, with explicit start and close."""

import socket
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup
from hypercorn.asyncio import serve
from hypercorn.config import Config

from godwitmast.logs import log_event
from godwitmast.settings import Listen
from godwitmast.tls import TlsContext, TlsFiles, server_tls

BACKLOG = 1024
SHUTDOWN_GRACE_S = 30.0
"""How long open requests may continue after `close`."""

KEEP_ALIVE_S = 75.0
MAX_HEADER_BYTES = 64 * 1024

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class ServerConfig(Config):
    """Hypercorn's configuration with a TLS context that reloads its files."""

    tls: TlsContext | None = None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Override Hypercorn's method: return our context, with Hypercorn's ALPN list."""
        if self.tls is None:
            return None
        self.tls.context.set_alpn_protocols(self.alpn_protocols)
        return self.tls.context

    @property
    def ssl_enabled(self) -> bool:
        return self.tls is not None


class HttpServer:
    """A listener for one ASGI application; it runs in the task group of `start`."""

    def __init__(
        self,
        app: Any,
        listen: Listen,
        tls: TlsFiles | None = None,
        grace_s: float = SHUTDOWN_GRACE_S,
    ) -> None:
        self.app = app
        self.listen = listen
        self.tls = server_tls(tls) if tls else None
        self.grace_s = grace_s
        self.port = 0
        self.config = ServerConfig()
        self.config.keep_alive_timeout = KEEP_ALIVE_S
        self.config.h11_max_incomplete_size = MAX_HEADER_BYTES
        self.stopping = anyio.Event()
        self.stopped = anyio.Event()

    def set_connection_limits(self, max_header_bytes: int, keep_alive_s: float) -> None:
        """Set the limits of connections; open ones keep their header limit."""
        self.config.h11_max_incomplete_size = max_header_bytes
        self.config.keep_alive_timeout = keep_alive_s

    @property
    def url(self) -> str:
        scheme = "https" if self.tls else "http"
        return f"{scheme}://{self.listen.host}:{self.port}"

    async def start(self, tasks: TaskGroup) -> None:
        """Bind the port, after which `port` is known, and start serving."""
        listener = bind(self.listen)
        self.port = listener.getsockname()[1]
        log_event("listening", url=self.url)
        tasks.start_soon(self.run, listener)
        if self.tls:
            tasks.start_soon(self.tls.run)

    async def run(self, listener: socket.socket) -> None:
        """Serve until `close` is called, then let open requests end."""
        config = self.config
        # Hypercorn closes the descriptor that it is given, so it gets a detached one.
        config.bind = [f"fd://{listener.detach()}"]
        config.backlog = BACKLOG
        config.graceful_timeout = self.grace_s
        config.shutdown_timeout = self.grace_s
        config.include_server_header = False
        config.errorlog = None
        config.accesslog = None
        if self.tls:
            config.tls = self.tls
            config.ssl_handshake_timeout = 5
        try:
            await serve(
                self.app, config, shutdown_trigger=self.stopping.wait, mode="asgi"
            )
        finally:
            self.stopped.set()

    async def close(self) -> None:
        """Stop accepting connections, and return when the open requests have ended."""
        self.stopping.set()
        await self.stopped.wait()


def bind(listen: Listen) -> socket.socket:
    """Return a bound and listening socket; port 0 selects a free port."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((listen.host, listen.port))
    # Hypercorn listens only once its task runs. A client that read the address in the
    # log before that would be refused, so connections are queued from here on.
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def client_ssl(ca_file: str | None) -> ssl.SSLContext | bool:
    """Return the `verify` argument of an HTTP client that trusts `ca_file`.

    Without a `ca_file` the client does not verify the server's certificate.
    """
    return ssl.create_default_context(cafile=ca_file) if ca_file else False
