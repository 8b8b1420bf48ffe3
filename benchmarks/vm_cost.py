"""Measures the processor time of VM processes, idle and under a load of R's kinds.

    PYTHONPATH=src python benchmarks/vm_cost.py [--seconds 20] [--vms 3] [--per-s 3.5]
    PYTHONPATH=src python benchmarks/vm_cost.py --profile FOLDER

The VMs are processes of their own in one zone, the first of them its relay; the store and
49 servers are stand-ins in this process. A second is counted from the VM's own processor
time (`/proc`), so that other load on the machine counts only through shared caches. With
`--profile`, each VM writes a profile (cProfile) of the idle and of the loaded time, which
`python -m pstats` reads; a profile makes the VM slower, so that its times are relative.
Wake-ups are the iterations of the event loop (voluntary context switches).
"""

import argparse
import cProfile
import random
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import httpx
from anyio.abc import TaskGroup
from loguru import logger

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from overhead import as_toml, cpu_seconds  # noqa: E402

from fleet import config_of, request_headers, settings_of  # noqa: E402
from godwitmast.daemons import run_until_signalled  # noqa: E402
from godwitmast.logs import LogTarget  # noqa: E402
from godwitmast.platform.daemon import Node  # noqa: E402
from godwitmast.platform.settings import PlatformFile  # noqa: E402
from godwitmast.platform.wire import READY_PATH  # noqa: E402
from godwitmast.settings import LogSettings, load_settings  # noqa: E402
from godwitmast.standins.replica import ReplicaStandin  # noqa: E402
from godwitmast.standins.store import StoreStandin  # noqa: E402
from processes import Process, Processes  # noqa: E402

ENGINES, PLAIN_SERVERS, SLOTS = 45, 4, 64
EVENTS, EVENT_S = 24, 0.02
SETTLE_S = 4.0
"""Time until the VMs have a relay and its tables."""

PROMPT_TOKENS = {"/chat/1": "9190,120", "/digest/1": "17020,120"}
PATHS = ("/chat/1", "/chat/1", "/digest/1", "/pay/1", "/peek/1")


class Used(NamedTuple):
    """What a VM's process used until now."""

    cpu_s: float
    wakes: int


def read_used(process: Process) -> Used:
    status = Path(f"/proc/{process.popen.pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("voluntary_ctxt"))
    return Used(cpu_seconds(process), int(line.split()[1]))


class Site:
    """A store, servers of two pools, and VMs on them."""

    def __init__(self, processes: Processes, vms: int, profiles: Path | None) -> None:
        self.processes, self.profiles = processes, profiles
        self.store = StoreStandin()
        self.servers: list[ReplicaStandin] = []
        self.vms: list[Process] = []
        self.count = vms

    async def start(self, tasks: TaskGroup, http: httpx.AsyncClient) -> None:
        await self.store.start(tasks)
        self.store.put_config(config_of(1))
        for number in range(ENGINES + PLAIN_SERVERS):
            is_engine = number < ENGINES
            server = ReplicaStandin(
                self.store,
                f"s{number}",
                "lm" if is_engine else "app",
                streams=is_engine,
                events=EVENTS,
                event_s=EVENT_S,
                places=SLOTS,
            )
            await server.start(tasks)
            self.servers.append(server)
        for number in range(self.count):
            self.vms.append(self.spawn(number))
        self.urls = [await anyio.to_thread.run_sync(vm.urls, 3) for vm in self.vms]
        for urls in self.urls:
            while (await http.get(urls[2] + READY_PATH)).status_code != 200:
                await anyio.sleep(0.05)

    async def close(self) -> None:
        self.processes.close()
        for server in self.servers:
            await server.close()
        await self.store.close()

    def spawn(self, number: int) -> Process:
        bounds = {"windowS": 5, "usageLateS": 10, "leaseMs": 3000}
        raw = settings_of(self.store.server.port, **bounds)
        raw |= {"node": f"front-{number}", "invariants": ["pressure"]}
        path = self.processes.folder / f"vm-{number}.toml"
        path.write_text(as_toml(raw))
        args = ["--node", str(path)]
        if self.profiles is not None:
            args += ["--profile", str(self.profiles / f"vm-{number}")]
        log = self.processes.folder / f"vm-{number}.log"
        with log.open("wb") as output:
            popen = subprocess.Popen(
                [sys.executable, __file__, *args], stdout=output, stderr=output
            )
        self.processes.started.append(Process(popen, log))
        return self.processes.started[-1]

    async def call(
        self, http: httpx.AsyncClient, url: str, path: str, n: int, results: Any
    ) -> None:
        headers = request_headers(f"{path}{n}", Deadline_Ms="10000")
        if path in PROMPT_TOKENS:
            headers["Token-Usage"] = PROMPT_TOKENS[path]
            headers["Prompt-Prefix"] = f"5c1e07a2:6300,91bd{n % 4096:04x}:2890"
        method = "GET" if path.startswith("/peek") else "POST"
        try:
            answer = await http.request(
                method, url + path, headers=headers, content=b"q" * 500
            )
        except httpx.HTTPError as error:
            results[type(error).__name__] += 1
        else:
            results[answer.status_code] += 1

    async def load(
        self, http: httpx.AsyncClient, seconds: float, per_s: float
    ) -> Counter[Any]:
        """Send each VM `per_s` requests a second, at random times of a fixed seed."""
        results: Counter[Any] = Counter()

        async def send(number: int) -> None:
            url, rng, at = self.urls[number][1], random.Random(number), 0.0
            began = anyio.current_time()
            async with anyio.create_task_group() as calls:
                while (at := at + rng.expovariate(per_s)) < seconds:
                    await anyio.sleep(max(0.0, began + at - anyio.current_time()))
                    path = rng.choice(PATHS)
                    n = rng.randrange(1_000_000)
                    calls.start_soon(self.call, http, url, path, n, results)

        async with anyio.create_task_group() as tasks:
            for number in range(len(self.vms)):
                tasks.start_soon(send, number)
        return results

    def signal(self, number: signal.Signals) -> None:
        if self.profiles is not None:
            for vm in self.vms:
                vm.popen.send_signal(number)


async def measure(folder: Path, options: argparse.Namespace) -> None:
    processes = Processes(folder)
    site = Site(processes, options.vms, options.profile)
    try:
        async with (
            httpx.AsyncClient(
                timeout=30, trust_env=False, limits=httpx.Limits(max_connections=None)
            ) as http,
            anyio.create_task_group() as tasks,
        ):
            await site.start(tasks, http)
            # Servers are known to state their load, and connections exist.
            await site.load(http, SETTLE_S, options.per_s)
            for name in ("idle", "loaded"):
                site.signal(signal.SIGUSR1)
                before, began = [read_used(vm) for vm in site.vms], anyio.current_time()
                results: Counter[Any] = Counter()
                if name == "idle":
                    await anyio.sleep(options.seconds)
                else:
                    results = await site.load(http, options.seconds, options.per_s)
                took_s = anyio.current_time() - began
                report(name, site, before, took_s, results)
                site.signal(signal.SIGUSR2)
                await anyio.sleep(1.0)
            await site.close()
            tasks.cancel_scope.cancel()
    finally:
        processes.close()


def report(
    name: str, site: Site, before: list[Used], took_s: float, results: Counter[Any]
) -> None:
    for number, (vm, start) in enumerate(zip(site.vms, before, strict=True)):
        used = read_used(vm)
        role = "relay" if "relay_stage stage=serving" in vm.log.read_text() else ""
        print(
            f"{name:7} vm-{number} {role:5} cpu "
            f"{(used.cpu_s - start.cpu_s) / took_s * 100:.2f} % of a core, "
            f"{(used.wakes - start.wakes) / took_s:.1f} wake-ups a second",
            flush=True,
        )
    if results:
        print(f"{name:7} answers {dict(results)}")


def run_node(path: Path, profile: str) -> None:
    """Run one VM, which starts a profile at SIGUSR1 and writes it at SIGUSR2."""
    written: list[cProfile.Profile] = []

    def begin(number: int, frame: Any) -> None:
        written.append(cProfile.Profile())
        written[-1].enable()

    def end(number: int, frame: Any) -> None:
        written[-1].disable()
        written[-1].dump_stats(f"{profile}-{('idle', 'loaded')[len(written) - 1]}.prof")

    signal.signal(signal.SIGUSR1, begin)
    signal.signal(signal.SIGUSR2, end)
    settings = load_settings(path, PlatformFile, {})
    sys.exit(
        run_until_signalled(
            "godwit-node",
            LogSettings(),
            lambda: Node(settings, path, metrics_port=0),
            LogTarget.STDOUT,
        )
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--vms", type=int, default=3)
    parser.add_argument("--per-s", type=float, default=3.5)
    parser.add_argument("--profile", type=Path)
    parser.add_argument("--node", type=Path, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.node is not None:
        run_node(options.node, str(options.profile or ""))
    logger.remove()
    with tempfile.TemporaryDirectory() as folder:
        anyio.run(measure, Path(folder), options)


if __name__ == "__main__":
    main()
