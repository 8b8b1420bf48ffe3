"""Memory of a VM's process while many servers, and the store, send without end."""

import re
from collections import Counter
from collections.abc import AsyncIterator
from itertools import count
from pathlib import Path

import anyio
import httpx
import pytest
from anyio.abc import TaskGroup

from fleet import PROMPT, config_of, request_headers, settings_of
from godwitmast.platform.wire import READY
from godwitmast.standins.endless import EndlessFront, EndlessSender, Flood
from godwitmast.standins.replica import ReplicaStandin
from godwitmast.standins.store import StoreStandin
from processes import Process, Processes, free_port, toml_of
from running import running

pytestmark = pytest.mark.anyio

MEMORY_MB = 300
"""What the deployments of nine VMs grant the process of a VM."""

AT_ONCE = 240
PLACES = 64
TIMEOUT_MS = 15_000
BYTES_PER_S = 5_000_000
"""Speed of each connection of a server that sends without end."""
ROUNDS = 2


class FloodedVm:
    """A VM's process before sound engines, and plain servers that send without end."""

    def __init__(self, folder: Path) -> None:
        self.processes = Processes(folder)
        self.folder = folder
        self.names = count(1)

    async def start(self, tasks: TaskGroup) -> None:
        self.store = StoreStandin()
        await self.store.start(tasks)
        self.front = EndlessFront(self.store.server.port)
        await self.front.start(tasks)
        self.engines = [
            ReplicaStandin(self.store, f"e{n}", "lm", streams=True, places=PLACES)
            for n in (1, 2)
        ]
        for engine in self.engines:
            await engine.start(tasks)
        self.senders = [EndlessSender(what, BYTES_PER_S) for what in Flood]
        for sender in self.senders:
            await sender.start(tasks)
            row = ReplicaStandin(self.store, f"p-{sender.flood.value}", "app")
            row.port, row.places = sender.port, PLACES
            row.publish_row(READY)
        routes = [{**item, "timeoutMs": TIMEOUT_MS} for item in config_of(1)["routes"]]
        self.store.put_config(config_of(1, routes=routes))
        self.port = free_port()
        self.process = self.spawn()
        await self.wait_until_ready()

    def spawn(self) -> Process:
        settings = settings_of(self.front.port) | {
            "limits": {"memoryMb": MEMORY_MB},
            # The port for metrics is the same in all processes.
            "ip": f"127.{self.port >> 8}.{self.port & 255}.1",
            "listen": {
                "front": f"127.0.0.1:{self.port}",
                "ready": f"127.0.0.1:{free_port()}",
            },
        }
        self.ready_url = f"http://{settings['listen']['ready']}/api/ready"
        path = self.folder / "node.toml"
        lines = [f"{name} = {toml_of(value)}" for name, value in settings.items()]
        path.write_text("\n".join(lines))
        return self.processes.spawn_plain(
            "node", "godwitmast.platform", "--settings", str(path)
        )

    async def wait_until_ready(self) -> None:
        async with httpx.AsyncClient(trust_env=False) as http:
            with anyio.fail_after(30):
                while True:
                    try:
                        if (await http.get(self.ready_url)).status_code == 200:
                            return
                    except httpx.HTTPError:
                        pass
                    await anyio.sleep(0.05)

    async def close(self) -> None:
        self.processes.close()
        for engine in self.engines:
            await engine.close()
        await self.store.close()

    async def send_all(self, path: str, number: int) -> Counter[int]:
        """Send requests at once, and return how many got each status."""
        statuses: Counter[int] = Counter()
        limits = httpx.Limits(max_connections=None)

        async def send(http: httpx.AsyncClient) -> None:
            headers = request_headers(f"a{next(self.names)}", **PROMPT)
            headers["Deadline-Ms"] = str(TIMEOUT_MS)
            url = f"http://127.0.0.1:{self.port}{path}"
            try:
                answer = await http.post(url, headers=headers)
            except httpx.RemoteProtocolError:
                # A part that was passed on as it was read, and broken off.
                statuses[0] += 1
            else:
                statuses[answer.status_code] += 1

        async with (
            httpx.AsyncClient(trust_env=False, limits=limits, timeout=20) as http,
            anyio.create_task_group() as tasks,
        ):
            for _ in range(number):
                tasks.start_soon(send, http)
        return statuses

    @property
    def peak_mb(self) -> float:
        """Return the most memory that the process has used."""
        status = Path(f"/proc/{self.process.popen.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert found is not None
        return int(found[1]) / 1024


@pytest.fixture
async def vm(tmp_path: Path) -> AsyncIterator[FloodedVm]:
    async with running(FloodedVm(tmp_path)) as started:
        yield started


@pytest.mark.parametrize(
    "floods_store", [False, True], ids=["servers", "and the store"]
)
async def test_floods_of_many_servers_leave_memory_and_other_requests(
    vm: FloodedVm, floods_store: bool
) -> None:
    """Guards against a VM that keeps what faulty servers send without end until it has
    no memory, so that the requests of other callers end with its process."""
    assert await vm.send_all("/digest/1", 10) == {200: 10}
    if floods_store:
        vm.front.flood(EndlessSender(Flood.BODY, BYTES_PER_S))
    sound: Counter[int] = Counter()
    flooded: Counter[int] = Counter()

    async def send_flooded(path: str) -> None:
        flooded.update(await vm.send_all(path, AT_ONCE // 2))

    for _ in range(ROUNDS):
        async with anyio.create_task_group() as tasks:
            for path in ("/peek/1", "/pay/1"):
                tasks.start_soon(send_flooded, path)
            await anyio.sleep(0.2)
            sound += await vm.send_all("/digest/1", 10)
    assert sum(sender.requests for sender in vm.senders) >= AT_ONCE // 4
    assert vm.process.popen.poll() is None
    assert vm.peak_mb < MEMORY_MB, vm.peak_mb
    assert sound == {200: 10 * ROUNDS}
    assert 200 not in flooded, flooded
