"""Coordination among real processes that are paused, killed or lose the platform."""

import json
import time
from collections import defaultdict
from pathlib import Path

import anyio
import httpx
import pytest

from godwitmast.config.change import Accepted, Stale
from godwitmast.ctl.session import Session, new_patch
from godwitmast.dev.document import MODEL, SERVICE, dev_document, dev_key
from godwitmast.platform_api.client import PlatformClient
from godwitmast.settings import PlatformSettings
from processes import Process, Processes

pytestmark = pytest.mark.anyio

BEARER = {"Authorization": f"Bearer {dev_key('arima')}"}
BODY = {"model": MODEL, "messages": [{"role": "user", "content": "length=3"}]}
TIMING = """
[usage]
window_s = 1
flush_s = 0.4
grace_s = 1.2
seal_s = 4.0
[lease]
ttl_s = 1.5
guard_s = 2.1
renew_s = 0.4
watch_s = 0.3
"""
ENTRY_TIMING = TIMING.partition("[lease]")[0]


class System:
    """A platform, a service, an engine, and the daemons of a test."""

    def __init__(self, processes: Processes, folder: Path) -> None:
        self.processes = processes
        self.engine = processes.spawn("engine", "godwitmast.standins.cli", "engine")
        self.service = processes.spawn("service", "godwitmast.standins.cli", "service")
        self.platform = processes.spawn_platform(
            dev_document([self.engine.url], self.service.url)
        )

    def spawn(self, program: str, name: str, timing: str) -> Process:
        return self.processes.spawn(
            f"{program}-{name}",
            f"godwitmast.{program}.cli",
            settings=f'node = "{name}"\nzone = "a"\n'
            + ("balancer_wait_s = 0.0\n" if program == "entry" else "")
            + f'platform.url = "{self.platform.url}"\n{timing}',
        )

    def entry(self, name: str) -> Process:
        return self.spawn("entry", name, ENTRY_TIMING)

    def control(self, name: str) -> Process:
        return self.spawn("control", name, TIMING)

    async def fault(self, http: httpx.AsyncClient, **faults: object) -> None:
        await http.post(f"{self.platform.url}/_standin/faults", json=faults)

    async def reports(self, http: httpx.AsyncClient) -> list[dict]:
        answer = await http.get(f"{self.platform.url}/_standin/records")
        return answer.json()["usage"]

    async def holder(self, http: httpx.AsyncClient) -> dict:
        answer = await http.post(
            f"{self.platform.url}/table/read", json={"keys": ["lease/usage"]}
        )
        rows = answer.json()["rows"]
        return rows["lease/usage"]["value"] if rows else {"holder": "", "fence": 0}


@pytest.fixture
def system_of_processes(processes: Processes, tmp_path: Path) -> System:
    return System(processes, tmp_path)


async def ready(http: httpx.AsyncClient, entry: Process) -> None:
    with anyio.fail_after(30):
        while (await http.get(f"{entry.url}/readyz")).status_code != 200:
            await anyio.sleep(0.02)


async def ask(http: httpx.AsyncClient, entry: Process) -> int:
    """Make one call, and return the number of tokens in its answer."""
    url = f"{entry.url}/v1/chat/completions"
    answer = await http.post(url, headers=BEARER, json=BODY)
    assert answer.status_code == 200, answer.text
    return answer.json()["usage"]["completion_tokens"]


def figures(reports: list[dict]) -> tuple[int, int]:
    """Return requests and output tokens, each window counted once.

    Fails if a window was ever reported with two sets of figures.
    """
    by_window: dict[int, set[str]] = defaultdict(set)
    for report in reports:
        kept = [report["figures"], report["late"], report["digest"]]
        by_window[report["start"]].add(json.dumps(kept))
    assert all(len(sets) == 1 for sets in by_window.values()), by_window
    rows = [row for sets in by_window.values() for row in json.loads(*sets)[0]]
    return sum(row[3] for row in rows), sum(row[5] for row in rows)


async def test_paused_holder_of_the_usage_lease_wakes_up_deposed(
    system_of_processes: System, http: httpx.AsyncClient
) -> None:
    """The reporter is paused for longer than its lease, and another takes over.

    After it resumes it must not report, although it may still believe that it holds the
    lease. Every report after the new holder's first is the new holder's, and each
    window has one set of figures.
    """
    system = system_of_processes
    controls = {name: system.control(name) for name in ("c-1", "c-2")}
    entry = system.entry("e-1")
    await ready(http, entry)
    with anyio.fail_after(30):
        while not await system.reports(http):
            await ask(http, entry)
    old = await system.holder(http)
    paused = controls[old["holder"].split("/")[0]]
    paused.pause()
    stopped_at = time.monotonic()
    with anyio.fail_after(30):
        while (await system.holder(http))["fence"] == old["fence"]:
            await ask(http, entry)
            await anyio.sleep(0.05)
    taken_after = time.monotonic() - stopped_at
    new_fence = (await system.holder(http))["fence"]
    with anyio.fail_after(30):
        while (await system.reports(http))[-1]["fence"] != new_fence:
            await anyio.sleep(0.05)
    paused.resume()
    for _ in range(20):
        await ask(http, entry)
        await anyio.sleep(0.1)
    fences = [report["fence"] for report in await system.reports(http)]
    assert fences == sorted(fences), "a deposed holder reported"
    figures(await system.reports(http))
    print(f"lease taken over {taken_after:.2f} s after its holder was stopped")


async def test_usage_is_whole_after_ten_windows_without_the_table(
    system_of_processes: System, http: httpx.AsyncClient
) -> None:
    """The table is unreachable for ten windows, and some of its answers are lost.

    Callers are served throughout. Afterwards each window is reported with one set of
    figures, and after a clean stop of the entry the figures add up to exactly what
    callers received.
    """
    system = system_of_processes
    control = system.control("c-1")
    entry = system.entry("e-1")
    await ready(http, entry)
    tokens = requests = 0
    begun = time.monotonic()
    outage = None
    while (passed := time.monotonic() - begun) < 16:
        if outage is not (2 < passed < 12):
            outage = 2 < passed < 12
            await system.fault(http, outage=outage, lose_answers_share=0.05)
        tokens += await ask(http, entry)
        requests += 1
        await anyio.sleep(0.02)
    await system.fault(http, lose_answers_share=0.0)
    assert entry.terminate() == 0
    with anyio.fail_after(30):
        while figures(await system.reports(http)) != (requests, tokens):
            await anyio.sleep(0.2)
    assert control.terminate() == 0
    print(f"{requests} requests, {tokens} tokens: billed as received")


async def test_killed_entry_loses_no_more_than_one_flush(
    system_of_processes: System, http: httpx.AsyncClient
) -> None:
    """An entry process is killed; only usage that it had not written is lost.

    Its row is no longer updated, the reporter seals it, and the usage in it is billed.
    """
    system = system_of_processes
    system.control("c-1")
    entry = system.entry("e-1")
    await ready(http, entry)
    ended_at: list[float] = []
    with anyio.fail_after(30):
        while len(ended_at) < 150:
            await ask(http, entry)
            ended_at.append(time.monotonic())
    entry.kill()
    killed_at = time.monotonic()
    bound = sum(at > killed_at - 2.0 for at in ended_at)
    billed = 0
    with anyio.move_on_after(15):
        while billed < len(ended_at) - bound:
            billed = figures(await system.reports(http))[0]
            await anyio.sleep(0.2)
    assert len(ended_at) - bound <= billed <= len(ended_at)
    print(f"{len(ended_at)} ended, {billed} billed, bound {bound}")


async def test_charge_runs_at_most_once_though_entries_are_killed(
    system_of_processes: System, http: httpx.AsyncClient
) -> None:
    """Callers send charges through three entries, two of which are killed meanwhile.

    Each caller retries its charge, with its idempotency key, at the next entry until it
    gets an answer or an unknown outcome. The service's own records hold each key at most
    once, and each answered one exactly once.
    """
    system = system_of_processes
    entries = [system.entry(f"e-{n}") for n in range(3)]
    for entry in entries:
        await ready(http, entry)
    await http.post(f"{system.service.url}/_standin/faults", json={"work_s": 0.15})
    outcomes: dict[str, int] = {}

    async def charge(number: int) -> None:
        key = f"charge-{number}"
        with anyio.fail_after(40):
            for turn in range(200):
                url = entries[(number + turn) % 3].url
                try:
                    answer = await http.post(
                        f"{url}/services/{SERVICE}/charge",
                        headers={**BEARER, "Idempotency-Key": key},
                        content=key,
                    )
                except httpx.HTTPError:
                    continue
                outcomes[key] = answer.status_code
                if answer.status_code == 200 or (
                    answer.status_code == 409 and turn > 12
                ):
                    return
                await anyio.sleep(0.1)

    async def kill_two() -> None:
        for entry in entries[:2]:
            await anyio.sleep(0.4)
            entry.kill()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(kill_two)
        for number in range(60):
            tasks.start_soon(charge, number)
            await anyio.sleep(0.015)
    records = (await http.get(f"{system.service.url}/_standin/records")).json()
    ran = [record["idempotency_key"] for record in records]
    assert len(ran) == len(set(ran)), "a charge ran twice"
    answered = {key for key, status in outcomes.items() if status == 200}
    assert answered <= set(ran)
    assert len(outcomes) == 60
    unknown = sum(status == 409 for status in outcomes.values())
    print(f"60 charges: {len(answered)} answered, {unknown} unknown, {len(ran)} ran")


async def test_two_operators_race_two_hundred_patches(
    system_of_processes: System, http: httpx.AsyncClient
) -> None:
    """Each patch is accepted against the version that it names, or gets a conflict.

    One in twenty of the platform's answers is lost.
    """
    system = system_of_processes
    await system.fault(http, lose_answers_share=0.05)
    accepted: dict[int, str] = {}
    counts = {"accepted": 0, "stale": 0}

    async def operate(name: str) -> None:
        settings = PlatformSettings(system.platform.url, timeout_s=0.2)
        async with PlatformClient(settings, name) as client:
            session = Session(client)
            for number in range(100):
                state = await session.current()
                body = {"teams": {"arima": {"weight": float(number + 1)}}}
                patch = new_patch(state.version, body, "race", f"{name}-{number}")
                outcome = await session.patch(patch)
                match outcome:
                    case Accepted(got):
                        assert got == patch.against + 1
                        assert got not in accepted, "two patches under one version"
                        accepted[got] = patch.patch_id
                        counts["accepted"] += 1
                    case Stale(_, current):
                        assert current > patch.against
                        counts["stale"] += 1
                    case _:
                        raise AssertionError(f"{outcome} of {patch.patch_id}")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(operate, "one")
        tasks.start_soon(operate, "two")
    async with PlatformClient(PlatformSettings(system.platform.url), "x") as client:
        history = await Session(client).history(2)
    assert {change.number: change.patch_id for change in history} == accepted
    print(f"200 patches: {counts}")
