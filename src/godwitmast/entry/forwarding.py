"""Forwards requests to other VMs while this VM reaches no server, and serves theirs."""

from collections.abc import Callable
from functools import partial
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup
from prometheus_client import CollectorRegistry, Counter

from godwitmast.backends.answer_limits import read_raw
from godwitmast.backends.client import AttemptFailed, BackendClient
from godwitmast.background import BackgroundTasks
from godwitmast.decoding import is_socket_address
from godwitmast.dispatch.messages import FailureKind, RequestSpec, ServerStatement
from godwitmast.entry.app import FORWARD_TERMS, EntryApp
from godwitmast.entry.driver import RouterDriver
from godwitmast.entry.forwarder import answers_send
from godwitmast.entry.probes import ConnectionProbes
from godwitmast.entry.refusals import (
    MISDIRECTED,
    NOT_TAKEN,
    send_error,
    send_json,
    with_header,
)
from godwitmast.entry.request_parsing import CallerGone, read_body
from godwitmast.errors import PlatformError
from godwitmast.forwarding.peers import Peer, PeerChoice
from godwitmast.forwarding.terms import (
    NONCE_HEADER,
    ForwardTerms,
    make_nonce,
    split_terms,
)
from godwitmast.http_server import Receive, Scope, Send
from godwitmast.logs import log_event
from godwitmast.loop_time import fail_after_loop_time
from godwitmast.platform_api.messages import Row
from godwitmast.platform_api.port import Table
from godwitmast.types import Json, PoolName
from godwitmast.usage.rows import NODE_PREFIX

READ_INTERVAL_S = 2.0
"""Interval at which the rows of other VMs are read while no server is reached."""

READ_RETRY_S = 0.5
ASK_INTERVAL_S = 0.25
"""Interval at which peers are asked whether they reach servers, until one does."""

ASK_TIMEOUT_S = 0.8
"""Longer than the probes of a peer that has heard of no server lately."""

FORWARDING_KEY = "forwarding"
"""Key in a VM's row of what others need to know to forward requests to it."""


class PeerHeaderParser:
    """Parses the response headers of other VMs."""

    id_header = NONCE_HEADER.decode()

    def reports_not_run(self, answer: httpx.Response) -> bool:
        return answer.status_code == MISDIRECTED

    def parse_statement(self, answer: httpx.Response) -> ServerStatement:
        return ServerStatement()


class RequestForwarder:
    """Reads which VMs there are while no server is reached, and chooses among them."""

    def __init__(
        self,
        driver: RouterDriver,
        probes: ConnectionProbes,
        client: BackendClient,
        table: Table,
        choice: PeerChoice,
        config_version: Callable[[], int],
        registry: CollectorRegistry,
    ) -> None:
        self.driver = driver
        self.connectivity = driver.connectivity
        self.client = client
        self.table = table
        self.choice = choice
        self.config_version = config_version
        self.address = ""
        self.background = BackgroundTasks(self.run)
        self.next_read_at = 0.0
        self.changed = anyio.Event()
        self.on_change: Callable[[], None] = lambda: None
        """Called when a pool's servers become unreachable, or reachable again."""
        probes.change_listeners.append(self.connectivity_changed)
        driver.tick_listeners.append(self.check)
        self.forwarded = Counter(
            "godwit_forwarded_requests_total",
            "Attempts to have another VM serve a request, by their outcome.",
            ["outcome"],
            registry=registry,
        )

    async def start(self, tasks: TaskGroup) -> None:
        await self.background.start(tasks)

    async def close(self) -> None:
        await self.background.close()

    def row(self) -> dict[str, Json]:
        """Return what this VM's row tells the others."""
        return {
            "address": self.address,
            "region": self.choice.region,
            "unreachable_pools": self.connectivity.unreachable_pools(),
        }

    def connectivity_changed(self, pool: PoolName, is_unreachable: bool) -> None:
        """Read the other VMs' rows, and tell them soon."""
        self.changed.set()
        self.on_change()

    async def run(self) -> None:
        while True:
            if not self.connectivity.unreachable_pools():
                self.changed = anyio.Event()
                await self.changed.wait()
                continue
            if self.driver.clock.now() >= self.next_read_at:
                found = await self.read_peers()
                wait_s = READ_INTERVAL_S if found else READ_RETRY_S
                self.next_read_at = self.driver.clock.now() + wait_s
            for pool in self.connectivity.unreachable_pools():
                await self.ask_peers(pool)
            await anyio.sleep(ASK_INTERVAL_S)

    async def read_peers(self) -> bool:
        """Read the rows of other VMs; return whether the table answered."""
        try:
            rows = await self.table.scan(NODE_PREFIX)
        except PlatformError as error:
            log_event("peer_rows_not_read", level="WARNING", error=str(error))
            return False
        peers = [peer for row in rows.values() if (peer := read_peer(row))]
        self.choice.update(peers, self.driver.clock.now())
        return True

    async def ask_peers(self, pool: PoolName) -> None:
        """Ask peers whether they reach a pool's servers, until one does.

        If none does and one says so, the servers are lost rather than the links.
        """
        tried: set[str] = set()
        refused = False
        while not self.choice.is_available(pool, self.driver.clock.now()):
            peer = self.choose(pool, tried)
            if peer is None:
                if refused and self.connectivity.is_unreachable(pool):
                    self.driver.record_lost_servers(pool)
                return
            tried.add(peer.address)
            try:
                await self.ask(peer, pool)
            except AttemptFailed as failure:
                refused |= failure.kind is FailureKind.REFUSED
                self.record_failure(peer, pool, failure.kind)

    async def ask(self, peer: Peer, pool: PoolName) -> None:
        """Ask one peer; raise AttemptFailed unless it takes requests for the pool."""
        terms = ForwardTerms(
            self.config_version(), pool, is_question=True, nonce=make_nonce()
        )
        try:
            with fail_after_loop_time(ASK_TIMEOUT_S):
                await self.exchange_terms(peer, terms)
        except TimeoutError:
            raise AttemptFailed(FailureKind.TIMEOUT, "no answer") from None
        self.choice.record_confirmation(peer.address, pool, self.driver.clock.now())

    async def exchange_terms(self, peer: Peer, terms: ForwardTerms) -> None:
        """Send a question to a peer, and read its answer."""
        async with self.client.exchange(
            "GET",
            f"http://{peer.address}",
            "/",
            terms.encode(),
            b"",
            belongs=partial(answers_send, terms),
            answer_id=terms.nonce,
        ) as answer:
            limits = self.client.limits
            await read_raw(answer, limits.body_bytes, self.client.bodies)

    def check(self, now: float) -> None:
        """Release waiting requests to other VMs, while there are any to take them."""
        for pool in self.connectivity.unreachable_pools():
            if self.choice.is_available(pool, now):
                self.driver.record_lost_links(pool)
                self.driver.release_requests(pool, now)

    def may_forward(self, spec: RequestSpec) -> bool:
        """Return whether a new request goes to another VM at once."""
        if not spec.may_forward or not self.connectivity.is_unreachable(spec.pool):
            return False
        return self.choice.is_available(spec.pool, self.driver.clock.now())

    def choose(self, pool: PoolName, tried: set[str]) -> Peer | None:
        return self.choice.choose(pool, tried, self.driver.clock.now())

    def record_failure(self, peer: Peer, pool: PoolName, kind: FailureKind) -> None:
        """Record that a peer did not take a request, or did not complete it."""
        now = self.driver.clock.now()
        self.forwarded.labels(kind.value).inc()
        match kind:
            case FailureKind.REFUSED:
                self.choice.record_refusal(peer.address, pool, now)
            case (
                FailureKind.CONNECT
                | FailureKind.CUT
                | FailureKind.MALFORMED
                | FailureKind.TIMEOUT
            ):
                self.choice.record_unreachable(peer.address, now)

    def record_answer(self, peer: Peer, pool: PoolName) -> None:
        now = self.driver.clock.now()
        self.choice.record_confirmation(peer.address, pool, now)
        self.forwarded.labels("answered").inc()

    def record_exhausted(self, pool: PoolName) -> None:
        """Record that no peer took a request, which then waits here."""
        self.forwarded.labels("no_peer").inc()
        self.choice.record_exhausted(pool, self.driver.clock.now())


def read_peer(row: Row) -> Peer | None:
    """Return the VM that a row describes, or None if others cannot forward to it."""
    match row.value:
        case {
            "node": str(name),
            "zone": str(zone),
            "ended": False,
            "load": {
                "forwarding": {
                    "address": str(address),
                    "region": str(region),
                    "unreachable_pools": list(pools),
                }
            },
        } if is_socket_address(address):
            unreachable = frozenset(str(pool) for pool in pools)
            return Peer(name, zone, region, address, unreachable, row.version)
    return None


class ForwardedRequests:
    """Serves the requests that other VMs forward, on a listener of their own."""

    def __init__(
        self, app: EntryApp, probes: ConnectionProbes, registry: CollectorRegistry
    ) -> None:
        self.app = app
        self.probes = probes
        self.received = Counter(
            "godwit_received_forwards_total",
            "Requests that other VMs forwarded to this one, by whether it took them.",
            ["taken"],
            registry=registry,
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        terms, headers = split_terms(scope["headers"])
        send = with_nonce(send, dict(scope["headers"]).get(NONCE_HEADER))
        taken = terms is not None and await self.may_take(terms)
        if taken and terms is not None and terms.is_question:
            await send_json(send, 200, {"taken": True})
            return
        self.received.labels(str(taken).lower()).inc()
        try:
            if taken:
                scope = {**scope, "headers": headers, FORWARD_TERMS: terms}
                await self.app.handle_request(scope, receive, send)
            else:
                await self.refuse(receive, send)
        except CallerGone:
            return

    async def may_take(self, terms: ForwardTerms) -> bool:
        """Return whether this VM reaches servers, and has the request's configuration."""
        config = self.app.config
        if self.app.stopping or config is None or config.version < terms.config:
            return False
        # Servers whose connections are all in use refuse new ones of every VM: a VM that
        # has some open would otherwise draw the requests of all others.
        return await self.probes.verify(terms.pool, connects=terms.is_question)

    async def refuse(self, receive: Receive, send: Send) -> None:
        """Refuse a request; its body is read before, see `read_body`."""
        await read_body(receive, self.app.frontend.limits())
        await send_error(send, NOT_TAKEN)


def with_nonce(send: Send, nonce: bytes | None) -> Send:
    """Return a `send` that repeats the nonce of a request in the answer to it."""
    return send if nonce is None else with_header(send, (NONCE_HEADER, nonce))


def forwarding_load(
    load: Callable[[], dict[str, Any]], forwarder: RequestForwarder
) -> dict[str, Any]:
    """Return a VM's published load with what others need to forward requests to it."""
    return {**load(), FORWARDING_KEY: forwarder.row()}
