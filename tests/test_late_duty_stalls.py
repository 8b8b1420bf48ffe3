"""Calls of a lease holder whose VM stands still, or whose connections do, while one is on its way."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from fakes import FakePlatform
from fleet import settings_of
from godwitmast.clock import ManualClock
from godwitmast.errors import PlatformError, PlatformUnavailable
from godwitmast.lease.calls import DutyCall
from godwitmast.lease.machine import LeaseMachine
from godwitmast.platform import store
from godwitmast.platform.settings import PlatformFile
from godwitmast.platform.store import DutyClient
from godwitmast.settings import check_settings
from test_lease import TIMING, hold

pytestmark = pytest.mark.anyio

TEAMS = 10_000
SMALL_BUFFER = [(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)]
"""The kernel takes a small part of a report of that many teams while its peer doesn't read."""


class SilentPlatform:
    """A platform's address that takes connections, and reads only once it is told to."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        # Connections inherit it.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]

    async def read_all(self) -> bytes:
        """Return what the first connection sends until it ends."""
        await anyio.wait_readable(self.listener)
        connection, _ = self.listener.accept()
        connection.setblocking(False)
        received = bytearray()
        with connection:
            while True:
                await anyio.wait_readable(connection)
                try:
                    piece = connection.recv(1 << 16)
                except ConnectionError:
                    break
                if not piece:
                    break
                received += piece
        return bytes(received)

    def close(self) -> None:
        self.listener.close()


@asynccontextmanager
async def silent_platform() -> AsyncIterator[SilentPlatform]:
    platform = SilentPlatform()
    try:
        yield platform
    finally:
        platform.close()


def large_report(fence: int) -> dict:
    figures = [[f"team-{number}", "c", "p", 1, 1, 1] for number in range(TEAMS)]
    return {"start": 10, "end": 11, "figures": figures, "late": [], "fence": fence}


async def test_rest_of_a_call_is_not_written_after_its_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a holder that stands still while a part of its report is written.

    The connection takes the rest only when the platform reads on.
    """
    monkeypatch.setattr(store, "DEAD_PEER_OPTIONS", SMALL_BUFFER)
    clock = ManualClock(100.0)
    machine: LeaseMachine = hold(FakePlatform(), "a", clock.now())
    errors: list[PlatformError] = []
    received: list[bytes] = []

    async with silent_platform() as platform, anyio.create_task_group() as tasks:
        settings = check_settings(settings_of(platform.port), PlatformFile, "settings")
        client = DutyClient(settings)
        call = DutyCall.begin(machine, clock)
        assert call is not None

        async def report() -> None:
            try:
                with call.settling():
                    report = large_report(call.fence)
                    await client.report_usage(report, call.before_write)
            except PlatformError as failure:
                errors.append(failure)
            await client.close()

        tasks.start_soon(report)
        while not call.written:
            await anyio.sleep(0.001)
        clock.advance(TIMING.ttl_s + 0.1)
        received.append(await platform.read_all())
    head, _, body = received[0].partition(b"\r\n\r\n")
    lengths = [
        int(line.split(b":")[1])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length")
    ]
    assert lengths and len(body) < lengths[0]
    assert isinstance(errors[0], PlatformUnavailable)
    assert call.settled
