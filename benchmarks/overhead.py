"""Measures an entry's processor time and added time to first byte, beside a bare
pass-through, with both on the same engine in the same run.

    PYTHONPATH=src python benchmarks/overhead.py [--requests 400] [--rounds 5]
    PYTHONPATH=src python benchmarks/overhead.py --adapter platform

The entry, the pass-through, the engine and the platform are processes of their own.
Rounds alternate between the two, so that what else the machine does meets both.
"""

import argparse
import json
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import httpx

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from fleet import PROMPT, config_of, request_headers, settings_of  # noqa: E402
from godwitmast.dev.document import MODEL, dev_document, dev_key  # noqa: E402
from godwitmast.platform.wire import READY_PATH  # noqa: E402
from processes import Process, Processes  # noqa: E402

CHUNKS = 64
CONNECTIONS = 8
TICKS = os.sysconf("SC_CLK_TCK")
ENGINE = "step_s = 0.0005\nsequence_s = 0.00001\nprompt_tokens_per_s = 1e6\n"
EVENT_S = 0.0005


class Call(NamedTuple):
    """A streamed request, and what each chunk of a whole answer holds."""

    path: str
    headers: dict[str, str]
    body: bytes
    mark: bytes


OWN_CALL = Call(
    "/v1/chat/completions",
    {
        "Authorization": f"Bearer {dev_key('arima')}",
        "Content-Type": "application/json",
    },
    json.dumps(
        {
            "model": MODEL,
            "stream": True,
            "messages": [{"role": "user", "content": f"length={CHUNKS}"}],
        }
    ).encode(),
    b'"content"',
)
PLATFORM_CALL = Call(
    "/chat/1",
    {**request_headers(), **PROMPT, "Deadline-Ms": "60000"},
    b"q" * 1500,
    b"data:",
)


def cpu_seconds(process: Process) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rsplit(") ", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS


async def request(client: httpx.AsyncClient, url: str, call: Call) -> float:
    """Send one request; return the seconds until its first byte."""
    began = time.perf_counter()
    first = 0.0
    text = b""
    async with client.stream(
        "POST", url + call.path, content=call.body, headers=call.headers
    ) as answer:
        assert answer.status_code == 200, answer.status_code
        async for chunk in answer.aiter_raw():
            first = first or time.perf_counter() - began
            text += chunk
    assert text.count(call.mark) == CHUNKS, text
    return first


async def worker(client: httpx.AsyncClient, url: str, call: Call, count: int) -> None:
    for _ in range(count):
        await request(client, url, call)


async def measure_cpu(process: Process, url: str, call: Call, requests: int) -> float:
    """Return milliseconds of processor time a request, at a few connections."""
    async with httpx.AsyncClient(timeout=60, trust_env=False) as client:
        await request(client, url, call)
        before = cpu_seconds(process)
        async with anyio.create_task_group() as tasks:
            for _ in range(CONNECTIONS):
                tasks.start_soon(worker, client, url, call, requests // CONNECTIONS)
        return (cpu_seconds(process) - before) / requests * 1000


async def measure_first_byte(url: str, call: Call, requests: int) -> float:
    """Return the median milliseconds to the first byte, at one connection."""
    async with httpx.AsyncClient(timeout=60, trust_env=False) as client:
        await request(client, url, call)
        times = [await request(client, url, call) for _ in range(requests // 4)]
    return statistics.median(times) * 1000


class System(NamedTuple):
    """What is compared: where the three listen, and the processes to measure."""

    engine_url: str
    entry_url: str
    entry: Process
    ready: str
    call: Call


def spawn_own(processes: Processes) -> System:
    """Start an engine, the product's own platform, and an entry."""
    engine = processes.spawn(
        "engine", "godwitmast.standins.cli", "engine", settings=ENGINE
    )
    platform = processes.spawn_platform(dev_document([engine.url], engine.url))
    entry = processes.spawn(
        "entry",
        "godwitmast.entry.cli",
        settings=f'node = "n"\nzone = "dev"\nplatform.url = "{platform.url}"\n',
    )
    return System(engine.url, entry.url, entry, f"{entry.url}/readyz", OWN_CALL)


def spawn_on_platform(processes: Processes) -> System:
    """Start the stand-ins of the users' platform, and one VM's process on it."""
    folder = processes.folder
    first = folder / "config.json"
    first.write_text(json.dumps(config_of(1)))
    fleet = processes.spawn(
        "fleet",
        "godwitmast.standins.cli",
        "fleet",
        settings=f'config = "{first}"\nevents = {CHUNKS}\nevent_s = {EVENT_S}\n',
    )
    store, engine = fleet.urls(2)
    settings = settings_of(int(store.rpartition(":")[2]))
    entry = processes.spawn("node", "godwitmast.platform", settings=as_toml(settings))
    callers, ready = entry.urls(3)[:2]
    return System(engine, callers, entry, ready + READY_PATH, PLATFORM_CALL)


def as_toml(table: dict[str, Any], name: str = "") -> str:
    """Return nested tables of plain values as TOML."""
    lines = [f"[{name}]"] if name else []
    lines += [
        f"{key} = {json.dumps(value)}"
        for key, value in table.items()
        if not isinstance(value, dict)
    ]
    tables = [
        as_toml(value, f"{name}.{key}" if name else key)
        for key, value in table.items()
        if isinstance(value, dict)
    ]
    return "\n".join([*lines, *tables]) + "\n"


SYSTEMS = {"own": spawn_own, "platform": spawn_on_platform}


async def measure(folder: Path, adapter: str, requests: int, rounds: int) -> None:
    processes = Processes(folder)
    try:
        system = SYSTEMS[adapter](processes)
        bare = processes.spawn_plain(
            "bare", "godwitmast.load.cli", "passthrough", "--target", system.engine_url
        )
        await compare(system, bare, requests, rounds)
    finally:
        processes.close()


async def compare(system: System, bare: Process, requests: int, rounds: int) -> None:
    """Print processor time and time to first byte of both, and their ratios."""
    call = system.call
    urls = {"engine": system.engine_url, "bare": bare.url, "entry": system.entry_url}
    await wait_ready(system.ready)
    cpu: dict[str, list[float]] = {"bare": [], "entry": []}
    byte: dict[str, list[float]] = {"engine": [], "bare": [], "entry": []}
    for _ in range(rounds):
        for name, process in (("bare", bare), ("entry", system.entry)):
            cpu[name].append(await measure_cpu(process, urls[name], call, requests))
        for name, url in urls.items():
            byte[name].append(await measure_first_byte(url, call, requests))
    for name, values in cpu.items():
        print(f"cpu ms/request {name}: {show(values)}")
    for name, values in byte.items():
        print(f"first byte ms {name}: {show(values)}")
    ratios = [e / b for e, b in zip(cpu["entry"], cpu["bare"], strict=True)]
    print(f"cpu ratio entry/bare: {show(ratios)}")
    added = {
        name: [x - e for x, e in zip(byte[name], byte["engine"], strict=True)]
        for name in ("bare", "entry")
    }
    print(f"added first byte ms bare: {show(added['bare'])}")
    print(f"added first byte ms entry: {show(added['entry'])}")
    pairs = zip(added["entry"], added["bare"], strict=True)
    print(f"added first byte ratio: {show([e / b for e, b in pairs])}")


async def wait_ready(url: str) -> None:
    async with httpx.AsyncClient(trust_env=False) as client:
        while (await client.get(url)).status_code != 200:
            await anyio.sleep(0.05)


def show(values: list[float]) -> str:
    return (
        f"median {statistics.median(values):.2f}, "
        f"{min(values):.2f} to {max(values):.2f} in {len(values)} rounds"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=400)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--adapter", choices=list(SYSTEMS), default="own")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        anyio.run(
            measure, Path(folder), options.adapter, options.requests, options.rounds
        )


if __name__ == "__main__":
    main()
