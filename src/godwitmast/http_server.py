"""An ASGI application served over a real socket, with explicit start and close."""

import asyncio
import socket
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup
from hypercorn.asyncio import run as hypercorn_run
from hypercorn.asyncio import serve
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.config import Config

from godwitmast.logs import log_event
from godwitmast.settings import Listen
from godwitmast.supervision import keep_running
from godwitmast.tls import TlsContext, TlsFiles, server_tls

BACKLOG = 1024
SHUTDOWN_GRACE_S = 30.0
"""How long open requests may continue after `close`."""

KEEP_ALIVE_S = 75.0
MAX_HEADER_BYTES = 64 * 1024

SEND_BUFFER_BYTES = 16 * 1024
"""Bytes that asyncio buffers for a caller before a send waits, on a bounded server. With
its default of 64 KB, five hundred callers that read nothing would hold 32 MB."""

UNSENT_BYTES = 64 * 1024
"""Bytes that the kernel takes for a caller on a bounded server and cannot send yet. Without
a bound it took 4.2 MB for one that read nothing; with 16 kB it still held 48."""

ABORT_CONNECTION = "godwitmast.abort_connection"
"""Extension in an ASGI scope: a function that closes the connection at once, dropping what
is buffered for its peer."""

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class ServerConfig(Config):
    """Hypercorn's configuration with a TLS context that reloads its files."""

    tls: TlsContext | None = None
    send_buffer_bytes: int | None = None
    """Bytes buffered for a peer before a send waits; None for the default of asyncio."""

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Override Hypercorn's method: return our context, with Hypercorn's ALPN list."""
        if self.tls is None:
            return None
        self.tls.context.set_alpn_protocols(self.alpn_protocols)
        return self.tls.context

    @property
    def ssl_enabled(self) -> bool:
        return self.tls is not None


class ConnectionServer(TCPServer):
    """Hypercorn's server of one connection, with a bounded buffer and a way to abort."""

    def __init__(
        self,
        app: Any,
        loop: asyncio.AbstractEventLoop,
        config: ServerConfig,
        context: Any,
        state: Any,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        transport = writer.transport
        if config.send_buffer_bytes is not None:
            transport.set_write_buffer_limits(config.send_buffer_bytes)

        async def serve_request(scope: Scope, *args: Any) -> None:
            scope.setdefault("extensions", {})[ABORT_CONNECTION] = transport.abort
            await app(scope, *args)

        connection_app: Any = serve_request
        super().__init__(connection_app, loop, config, context, state, reader, writer)


# Hypercorn gives applications no access to a connection, and has no setting for this class.
vars(hypercorn_run)["TCPServer"] = ConnectionServer


class HttpServer:
    """A listener for one ASGI application; it runs in the task group of `start`."""

    def __init__(
        self,
        app: Any,
        listen: Listen,
        tls: TlsFiles | None = None,
        grace_s: float = SHUTDOWN_GRACE_S,
        bounds_buffers: bool = False,
    ) -> None:
        """Initialise; `bounds_buffers` bounds what is buffered for a slow peer."""
        self.app = app
        self.listen = listen
        self.tls = server_tls(tls) if tls else None
        self.grace_s = grace_s
        self.port = 0
        self.config = ServerConfig()
        self.config.keep_alive_timeout = KEEP_ALIVE_S
        self.config.h11_max_incomplete_size = MAX_HEADER_BYTES
        self.bounds_buffers = bounds_buffers
        if bounds_buffers:
            self.config.send_buffer_bytes = SEND_BUFFER_BYTES
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
        if self.bounds_buffers:
            # Connections inherit the option from their listener.
            listener.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES
            )
        self.port = listener.getsockname()[1]
        log_event("listening", url=self.url)
        tasks.start_soon(self.run, listener)
        if self.tls:
            tasks.start_soon(keep_running, "TlsContext.run", self.tls.run)

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
