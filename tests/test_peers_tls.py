"""Peer links: mutual TLS, and the effects of malformed frames and fast senders."""

import ssl
from collections.abc import Callable
from pathlib import Path

import anyio
import httpx
import pytest
import trustme
from starlette.applications import Starlette
from starlette.responses import PlainTextResponse
from starlette.routing import Route
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, WebSocketException

from godwitmast.clock import SystemClock
from godwitmast.errors import SettingsError
from godwitmast.http_server import HttpServer
from godwitmast.load.peer_network import CountedConfig
from godwitmast.peers.codec import MAX_FRAME_BYTES, encode_frame
from godwitmast.peers.driver import PeerDriver
from godwitmast.peers.messages import Beat, Frame, Hello, KnownVm, Place
from godwitmast.peers.settings import CheckedPeerSettings, PeerSettings
from godwitmast.settings import Listen, check_settings
from godwitmast.tls import MutualTlsFiles, TlsFiles, server_tls
from running import running

pytestmark = pytest.mark.anyio


def write_files(folder: Path, name: str, ca: trustme.CA) -> MutualTlsFiles:
    leaf = ca.issue_cert("127.0.0.1")
    cert, key, root = (folder / f"{name}.{part}" for part in ("crt", "key", "ca"))
    cert.write_bytes(b"".join(blob.bytes() for blob in leaf.cert_chain_pems))
    key.write_bytes(leaf.private_key_pem.bytes())
    root.write_bytes(ca.cert_pem.bytes())
    return MutualTlsFiles(str(cert), str(key), str(root))


def make_driver(name: str, tls: MutualTlsFiles | str, version: int = 1) -> PeerDriver:
    settings = PeerSettings(tls, Listen("127.0.0.1"))
    config = CountedConfig(version)
    return PeerDriver(settings, name, "z1", "r1", config, SystemClock())


async def until(done: Callable[[], bool]) -> None:
    with anyio.fail_after(10):
        while not done():
            await anyio.sleep(0.02)


async def test_peers_with_certificates_of_one_authority_link_up(tmp_path: Path) -> None:
    ca = trustme.CA()
    one = make_driver("one", write_files(tmp_path, "one", ca), version=5)
    two = make_driver("two", write_files(tmp_path, "two", ca))
    async with running(one), running(two):
        two.set_known_vms([KnownVm(one.address)])
        await until(lambda: two.config.version == 5)


@pytest.mark.parametrize("show", ["none", "stranger"])
async def test_peer_without_a_valid_certificate_gets_nothing(
    tmp_path: Path, show: str
) -> None:
    ca = trustme.CA()
    one = make_driver("one", write_files(tmp_path, "one", ca))
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    if show == "stranger":
        files = write_files(tmp_path, "bad", trustme.CA())
        context.load_cert_chain(files.certificate, files.private_key)
    async with running(one):
        with pytest.raises((OSError, WebSocketException)):
            async with connect(f"wss://{one.address}/", ssl=context, proxy=None) as ws:
                await ws.recv()
        assert not one.machine.by_node


async def test_certificate_that_was_replaced_is_used_without_a_restart(
    tmp_path: Path,
) -> None:
    """An operator replaces certificate and key; for a moment the two do not match."""
    ca = trustme.CA()
    files = write_files(tmp_path, "one", ca)
    context = server_tls(TlsFiles(files.certificate, files.private_key))
    assert not context.reload()
    old_key = Path(files.private_key).read_bytes()
    write_files(tmp_path, "one", ca)
    new_key = Path(files.private_key).read_bytes()
    Path(files.private_key).write_bytes(old_key)
    assert not context.reload()
    Path(files.private_key).write_bytes(new_key)
    assert context.reload()


async def test_callers_see_a_replaced_certificate_on_the_running_server(
    tmp_path: Path,
) -> None:
    old, new = trustme.CA(), trustme.CA()
    files = write_files(tmp_path, "entry", old)

    async def hello(request: object) -> PlainTextResponse:
        return PlainTextResponse("hello")

    server = HttpServer(
        Starlette(routes=[Route("/", hello)]),
        Listen(),
        TlsFiles(files.certificate, files.private_key),
    )
    async with running(server):
        for ca in (old, new):
            if ca is new:
                write_files(tmp_path, "entry", new)
                assert server.tls.reload()
            context = ssl.create_default_context()
            ca.configure_trust(context)
            async with httpx.AsyncClient(verify=context, trust_env=False) as http:
                assert (await http.get(server.url)).text == "hello"


async def test_operator_without_a_certificate_is_refused(tmp_path: Path) -> None:
    ca = trustme.CA()
    files = write_files(tmp_path, "control", ca)
    server = HttpServer(Starlette(), Listen(), TlsFiles(*files))
    async with running(server):
        context = ssl.create_default_context(cafile=files.ca)
        async with httpx.AsyncClient(verify=context, trust_env=False) as http:
            with pytest.raises(httpx.TransportError):
                await http.get(server.url)
        context.load_cert_chain(files.certificate, files.private_key)
        async with httpx.AsyncClient(verify=context, trust_env=False) as http:
            assert (await http.get(server.url)).status_code == 404


GREETING = encode_frame(
    Frame(Beat(0, 0, 0), hello=Hello("bad", 1, Place("127.0.0.1:9", "z1", "r1")))
)


@pytest.mark.parametrize(
    "bad", [b"\xff", b"", "text", b"\x81" * 5000, b"\x00" * (MAX_FRAME_BYTES + 1)]
)
async def test_malformed_frame_ends_its_link_and_no_other(
    bad: bytes | str, log_lines: list[str]
) -> None:
    """A peer sends a malformed frame after its hello; other links must stay open."""
    one, two = make_driver("one", "off", version=5), make_driver("two", "off")
    async with running(one), running(two):
        two.set_known_vms([KnownVm(one.address)])
        await until(lambda: "two" in one.machine.by_node)
        socket = await connect(f"ws://{one.address}/", proxy=None)
        await socket.send(GREETING)
        await until(lambda: "bad" in one.machine.by_node)
        log_lines.clear()
        with pytest.raises(ConnectionClosed):
            await socket.send(bad)
            while True:
                await socket.recv()
        await until(lambda: "bad" not in one.machine.by_node)
        assert sum("event=peer_bad_frame" in line for line in log_lines) == 1
        one.config.set(6)
        one.config_changed()
        await until(lambda: two.config.version == 6)


async def test_peer_that_sends_without_pause_is_read_slowly() -> None:
    """A peer floods a node with frames; the node reads them at its own rate."""
    settings = PeerSettings("off", Listen("127.0.0.1"), bytes_per_s=2000)
    node = PeerDriver(settings, "one", "z1", "r1", CountedConfig(1), SystemClock())
    async with running(node):
        async with connect(f"ws://{node.address}/", proxy=None) as socket:
            await socket.send(GREETING)
            frame = encode_frame(Frame(Beat(0, 0, 0)))
            count = 0
            with anyio.move_on_after(1.0):
                while True:
                    await socket.send(frame)
                    count += 1
                    await anyio.sleep(0)
            read = node.frames_read
        assert count > 2 * read
        assert read * len(frame) <= 2000 * 3


def test_plain_links_are_for_loopback_only() -> None:
    good = {"tls": "off", "listen": {"host": "127.0.0.1"}}
    assert check_settings(good, CheckedPeerSettings, "t").tls == "off"
    for bad in ({**good, "listen": {"host": "10.0.0.1"}}, {"listen": {}}):
        with pytest.raises(SettingsError, match="tls"):
            check_settings(bad, CheckedPeerSettings, "t")
