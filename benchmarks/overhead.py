"""Measures the processor time that an entry uses and the time to first byte that it adds,
against a bare pass-through on the same engine in the same run.

    PYTHONPATH=src python benchmarks/overhead.py [--requests 400] [--rounds 5]
    PYTHONPATH=src python benchmarks/overhead.py --adapter platform

The entry, the pass-through, the engine and the platform are processes of their own.
Rounds alternate between entry and pass-through, so that other load on the machine affects
both alike.
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
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ENGINE_SETTINGS = "step_s = 0.0005\nsequence_s = 0.00001\nprompt_tokens_per_s = 1e6\n"
EVENT_S = 0.0005


class Call(NamedTuple):
    """A streamed request, and the bytes that each chunk of its answer contains."""

    path: str
    headers: dict[str, str]
    body: bytes
    chunk_marker: bytes


OPENAI_CALL = Call(
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
    """Return the seconds of processor time that a process has used."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rsplit(") ", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


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
    assert text.count(call.chunk_marker) == CHUNKS, text
    return first


async def worker(client: httpx.AsyncClient, url: str, call: Call, count: int) -> None:
    for _ in range(count):
        await request(client, url, call)


async def measure_cpu(process: Process, url: str, call: Call, requests: int) -> float:
    """Return milliseconds of processor time per request, over `CONNECTIONS` connections."""
    async with httpx.AsyncClient(timeout=60, trust_env=False) as client:
        await request(client, url, call)
        before = cpu_seconds(process)
        async with anyio.create_task_group() as tasks:
            for _ in range(CONNECTIONS):
                tasks.start_soon(worker, client, url, call, requests // CONNECTIONS)
        return (cpu_seconds(process) - before) / requests * 1000


async def measure_first_byte(url: str, call: Call, requests: int) -> float:
    """Return the median milliseconds to the first byte, over one connection."""
    async with httpx.AsyncClient(timeout=60, trust_env=False) as client:
        await request(client, url, call)
        times = [await request(client, url, call) for _ in range(requests // 4)]
    return statistics.median(times) * 1000


class System(NamedTuple):
    """The entry under measurement, its engine, and the request sent to both."""

    engine_url: str
    entry_url: str
    entry: Process
    ready_url: str
    call: Call


def spawn_own(processes: Processes) -> System:
    """Start an engine, the stand-in platform of `platform_api`, and an entry."""
    engine = processes.spawn(
        "engine", "godwitmast.standins.cli", "engine", settings=ENGINE_SETTINGS
    )
    platform = processes.spawn_platform(dev_document([engine.url], engine.url))
    entry = processes.spawn(
        "entry",
        "godwitmast.entry.cli",
        settings=f'node = "n"\nzone = "dev"\nplatform.url = "{platform.url}"\n',
    )
    return System(engine.url, entry.url, entry, f"{entry.url}/readyz", OPENAI_CALL)


def spawn_on_platform(processes: Processes) -> System:
    """Start the stand-ins of the users' platform and one node."""
    folder = processes.folder
    config_file = folder / "config.json"
    config_file.write_text(json.dumps(config_of(1)))
    fleet = processes.spawn(
        "fleet",
        "godwitmast.standins.cli",
        "fleet",
        settings=f'config = "{config_file}"\nevents = {CHUNKS}\nevent_s = {EVENT_S}\n',
    )
    store, engine = fleet.urls(2)
    settings = settings_of(int(store.rpartition(":")[2]))
    entry = processes.spawn("node", "godwitmast.platform", settings=as_toml(settings))
    callers_url, readiness_url = entry.urls(3)[1:3]
    return System(engine, callers_url, entry, readiness_url + READY_PATH, PLATFORM_CALL)


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
    await wait_ready(system.ready_url)
    cpu_ms: dict[str, list[float]] = {"bare": [], "entry": []}
    first_byte_ms: dict[str, list[float]] = {"engine": [], "bare": [], "entry": []}
    for _ in range(rounds):
        for name, process in (("bare", bare), ("entry", system.entry)):
            cpu_ms[name].append(await measure_cpu(process, urls[name], call, requests))
        for name, url in urls.items():
            first_byte_ms[name].append(await measure_first_byte(url, call, requests))
    for name, values in cpu_ms.items():
        print(f"cpu ms/request {name}: {summarize(values)}")
    for name, values in first_byte_ms.items():
        print(f"first byte ms {name}: {summarize(values)}")
    ratios = [e / b for e, b in zip(cpu_ms["entry"], cpu_ms["bare"], strict=True)]
    print(f"cpu ratio entry/bare: {summarize(ratios)}")
    added = {
        name: [
            x - e
            for x, e in zip(first_byte_ms[name], first_byte_ms["engine"], strict=True)
        ]
        for name in ("bare", "entry")
    }
    print(f"added first byte ms bare: {summarize(added['bare'])}")
    print(f"added first byte ms entry: {summarize(added['entry'])}")
    pairs = zip(added["entry"], added["bare"], strict=True)
    print(f"added first byte ratio: {summarize([e / b for e, b in pairs])}")


async def wait_ready(url: str) -> None:
    async with httpx.AsyncClient(trust_env=False) as client:
        while (await client.get(url)).status_code != 200:
            await anyio.sleep(0.05)


def summarize(values: list[float]) -> str:
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
