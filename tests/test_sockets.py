"""How soon connections to a peer that has stopped answering fail."""

import socket

import anyio
import httpx
import pytest

from fleet import Fleet
from godwitmast.sockets import (
    DEAD_PEER_OPTIONS,
    MAX_FAILED_PROBES,
    PROBE_IDLE_S,
    PROBE_INTERVAL_S,
    UNACKNOWLEDGED_TIMEOUT_MS,
)
from running import running

pytestmark = pytest.mark.anyio


def test_time_out_of_sent_bytes_ends_probes_at_the_same_time() -> None:
    """Guards against probes that are cut short: the kernel ends them by either."""
    probes_s = PROBE_IDLE_S + PROBE_INTERVAL_S * MAX_FAILED_PROBES
    assert probes_s * 1000 == UNACKNOWLEDGED_TIMEOUT_MS


async def test_connections_of_a_vm_detect_dead_peers(http: httpx.AsyncClient) -> None:
    """Guards against a library or a new client that sets other socket options."""
    async with running(Fleet()) as fleet:
        await fleet.request(http, "/peek/1")
        with anyio.fail_after(10):
            while not fleet.store.calls:
                await anyio.sleep(0.01)
        node = fleet.node
        clients = [node.client.http, node.store.http, node.peer_client.http]
        for client in clients:
            answer = await client.get(fleet.url)
            stream = answer.extensions["network_stream"]
            connection = stream.get_extra_info("socket")
            for level, option, value in DEAD_PEER_OPTIONS:
                found = connection.getsockopt(level, option)
                assert bool(found) if option == socket.SO_KEEPALIVE else found == value
