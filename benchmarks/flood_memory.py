"""Measures the memory of a VM whose servers, or whose store, send bytes without end.

    PYTHONPATH=src python benchmarks/flood_memory.py [--at-once 1] [--store] [--only body]

The VM is a process of its own, started anew for each flood; the stand-ins run here. All
servers send the flood, and each kind of route gets its requests in turn. Printed are the
peak of its resident memory, its processor time, and the answers.
"""

import argparse
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import anyio
import httpx
from anyio.abc import TaskGroup

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from overhead import as_toml, cpu_seconds  # noqa: E402

from fleet import PROMPT, config_of, request_headers, settings_of  # noqa: E402
from godwitmast.platform.wire import READY, READY_PATH  # noqa: E402
from godwitmast.standins.endless import (  # noqa: E402
    EndlessFront,
    EndlessSender,
    Flood,
)
from godwitmast.standins.replica import ReplicaStandin  # noqa: E402
from godwitmast.standins.store import StoreStandin  # noqa: E402
from processes import Process, Processes  # noqa: E402

PATHS = ("/chat/1", "/digest/1", "/pay/1", "/peek/1")
TARGET_MB = 120
STORE_FLOOD_S = 6.0
READY_TRIES = 200


def peak_mb(process: Process) -> float:
    """Return the largest resident memory that a process has had."""
    status = Path(f"/proc/{process.popen.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1000


async def wait_until_ready(http: httpx.AsyncClient, url: str) -> None:
    for _ in range(READY_TRIES):
        answer = await http.get(url + READY_PATH)
        if answer.status_code == 200:
            return
        await anyio.sleep(0.05)
    raise SystemExit(f"the VM is not ready in time: {answer.text}")


class Site:
    """A store and four servers, with a VM on them."""

    def __init__(self, flood: Flood, processes: Processes) -> None:
        self.flood = flood
        self.processes = processes
        self.store = StoreStandin()

    async def start(self, tasks: TaskGroup, http: httpx.AsyncClient) -> None:
        await self.store.start(tasks)
        self.front = EndlessFront(self.store.server.port)
        await self.front.start(tasks)
        self.store.put_config(config_of(1))
        for name, service in (("e1", "lm"), ("e2", "lm"), ("p1", "app"), ("p2", "app")):
            sender = EndlessSender(self.flood)
            await sender.start(tasks)
            replica = ReplicaStandin(self.store, name, service, places=64)
            replica.port = sender.port
            replica.publish_row(READY)
        settings = as_toml(settings_of(self.front.port))
        vm = await anyio.to_thread.run_sync(
            lambda: self.processes.spawn(
                "node", "godwitmast.platform", settings=settings
            )
        )
        self.vm = vm
        urls = await anyio.to_thread.run_sync(lambda: vm.urls(3))
        # The first address is that for other VMs.
        self.url = urls[1]
        await wait_until_ready(http, urls[2])

    async def close(self) -> None:
        self.vm.kill()
        self.front.flood(None)
        await self.store.close()

    async def call(self, http: httpx.AsyncClient, path: str, n: int) -> str:
        method = "GET" if path == "/peek/1" else "POST"
        headers = {**request_headers(f"{path}{n}"), **PROMPT}
        try:
            answer = await http.request(method, self.url + path, headers=headers)
        except httpx.HTTPError as error:
            return type(error).__name__
        return str(answer.status_code)

    async def flood_servers(self, http: httpx.AsyncClient, at_once: int) -> str:
        results: Counter[str] = Counter()

        async def count(path: str, n: int) -> None:
            results[await self.call(http, path, n)] += 1

        for path in PATHS:
            async with anyio.create_task_group() as calls:
                for n in range(at_once):
                    calls.start_soon(count, path, n)
        return " ".join(f"{key}:{n}" for key, n in sorted(results.items()))

    async def flood_store(self) -> str:
        sender = EndlessSender(self.flood)
        self.front.flood(sender)
        await anyio.sleep(STORE_FLOOD_S)
        return f"calls:{sender.requests} sent_mb:{sender.sent / 1e6:.0f}"


async def measure(flood: Flood, at_once: int, floods_store: bool) -> float:
    """Print a line of figures; return the peak of the VM's memory."""
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(Path(folder))
        site = Site(flood, processes)
        try:
            async with (
                httpx.AsyncClient(timeout=30, trust_env=False) as http,
                anyio.create_task_group() as tasks,
            ):
                await site.start(tasks, http)
                before, cpu = peak_mb(site.vm), cpu_seconds(site.vm)
                began = time.monotonic()
                if floods_store:
                    results = await site.flood_store()
                else:
                    results = await site.flood_servers(http, at_once)
                peak = peak_mb(site.vm)
                print(
                    f"{flood.value:15} {before:6.1f} MB -> {peak:6.1f} MB "
                    f"cpu_s={cpu_seconds(site.vm) - cpu:.2f} "
                    f"wall_s={time.monotonic() - began:.2f} {results}",
                    flush=True,
                )
                await site.close()
                tasks.cancel_scope.cancel()
        finally:
            for process in processes.started:
                process.kill()
    return peak


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--at-once", type=int, default=1)
    parser.add_argument("--store", action="store_true")
    parser.add_argument("--only", type=Flood)
    options = parser.parse_args()
    floods = [options.only] if options.only else list(Flood)
    peaks = [
        anyio.run(measure, flood, options.at_once, options.store) for flood in floods
    ]
    highest = max(peaks)
    print(f"highest {highest:.1f} MB, target under {TARGET_MB} MB")
    sys.exit(highest >= TARGET_MB)


if __name__ == "__main__":
    main()
