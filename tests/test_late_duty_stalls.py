"""Calls of a lease holder whose VM stands still, or whose connections do, while one is on its way."""

import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import Enum, auto

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from fakes import FakePlatform
from fleet import settings_of
from godwitmast.clock import ManualClock
from godwitmast.errors import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
)
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


def report_of(teams: int, fence: int) -> dict:
    figures = [[f"team-{number}", "c", "p", 1, 1, 1] for number in range(teams)]
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
                    report = report_of(TEAMS, call.fence)
                    await client.report_usage(report, call.before_write)
            except PlatformError as failure:
                errors.append(failure)
            await client.close()

        tasks.start_soon(report)
        while not call.written:
            await anyio.sleep(0.001)
        clock.advance(TIMING.ttl_s + 0.1)
        received.append(await platform.read_all())
    assert b"content-length" in received[0].lower()
    assert not is_whole(received[0])
    assert isinstance(errors[0], PlatformUnavailable)
    assert call.settled


class Break(Enum):
    """What the platform does with a connection once it has read a call."""

    RESET = auto()
    CLOSED = auto()
    SILENT = auto()
    ANSWER_CUT = auto()


NO_LINGER = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a connection resets it."""


def reset(connection: SocketStream) -> None:
    raw = connection.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


class BreakingPlatform:
    """A platform that answers one call, and breaks off the connection of the next."""

    def __init__(self, broken: Break) -> None:
        self.broken = broken
        self.received: list[bytes] = []
        self.connections = 0

    async def serve(self, connection: SocketStream) -> None:
        self.connections += 1
        async with connection:
            while True:
                call = await read_call(connection)
                if call is None:
                    return
                self.received.append(call)
                if len(self.received) > 1:
                    await self.break_off(connection)
                    return
                await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

    async def break_off(self, connection: SocketStream) -> None:
        match self.broken:
            case Break.RESET:
                reset(connection)
            case Break.SILENT:
                await connection.receive()
            case Break.ANSWER_CUT:
                await connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{")


async def read_call(connection: SocketStream) -> bytes | None:
    """Return a whole request, None if the connection ends before."""
    data = b""
    try:
        while not is_whole(data):
            data += await connection.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return None
    return data


def is_whole(request: bytes) -> bool:
    """Return whether a request has as many bytes in its body as its head announces."""
    head, _, body = request.lower().partition(b"\r\n\r\n")
    fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
    return len(body) == int(fields.get(b"content-length", -1))


@pytest.mark.parametrize("broken", Break)
async def test_call_whose_connection_breaks_is_sent_once_and_may_arrive(
    broken: Break,
) -> None:
    """Guards against a client that sends such a call again, or calls it settled."""
    clock = ManualClock(100.0)
    machine: LeaseMachine = hold(FakePlatform(), "a", clock.now())
    platform = BreakingPlatform(broken)
    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, platform.serve)
        port = listener.extra(SocketAttribute.local_port)
        settings = check_settings(settings_of(port), PlatformFile, "settings")
        client = DutyClient(settings)
        errors: list[PlatformError] = []
        for _ in range(2):
            call = DutyCall.begin(machine, clock)
            assert call is not None
            try:
                with call.settling():
                    report = report_of(1, call.fence)
                    await client.report_usage(report, call.before_write)
            except PlatformError as failure:
                errors.append(failure)
        await client.close()
        tasks.cancel_scope.cancel()
    assert [type(error) for error in errors] == [PlatformOutcomeUnknown]
    assert not call.settled
    assert len(platform.received) == 2
    # Each call has a connection of its own.
    assert platform.connections == 2
    assert machine.calls_arrive_for_s(clock.now()) == TIMING.late_s
