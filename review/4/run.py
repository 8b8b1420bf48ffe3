"""Another writer puts an entry without some fields into the list of replicas.

Two VMs serve summaries, whose first event takes 0.8 s. The entry names no replica to use,
and the others hold; so no process may end by itself.
"""

import asyncio
import itertools
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standins  # noqa: E402

ENTRY = {
    "service": "lm",
    "address": "127.0.0.1:99999",
    "zone": "z0",
    "state": "ready",
    "batchSlots": 64,
}
"""Without `version`, `coldLeftMs`, `sequence` and `born`."""
RESTART_S = 1.0
CALM_S = 5.0
WATCHED_S = 30.0


class Engine(standins.Replica):
    """Streams three events; the first one comes after the prompt has been read."""

    first_s = 0.8

    async def answer(self, line, headers, body, writer):
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(standins.answer_bytes(421, [("Attempt-Id", attempt), ("Not-Executed", "1")]))
            return
        self.ran.append(attempt)
        self.record(f"{self.name} runs {attempt}")
        await asyncio.sleep(self.first_s)
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: {self.name}.{attempt}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in (1, 2, 3):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def body(record, folder, vms):
    platform = standins.Platform(record)
    await platform.start()
    replicas = [
        Engine(platform, record, f"i-{n}", "lm", slots=64, zone=f"z{n % 2}") for n in range(4)
    ]
    for replica in replicas:
        await replica.start()
    routes = [
        standins.route("digest", "/digest/", "streaming", "lm", sloMs=2000, gapAimMs=600,
                       timeoutMs=12000),
    ]  # fmt: skip
    services = [{"name": "lm", "engine": {"batchSlots": 64, "kvCapacityTokens": 640442}}]
    wanted = standins.config(routes=routes, services=services)
    platform.put("op", "config", standins.json.dumps(wanted).encode())
    for n in range(2):
        vms.append(standins.Vm(platform, record, folder, f"front-{n}", zone=f"z{n}"))
        await vms[-1].start()
    for vm in vms:
        await vm.wait_ready()
    ends = Counter()
    answers = []
    numbers = itertools.count()
    ending = False

    async def keep_running(vm):
        while True:
            code = await vm.process.wait()
            if ending:
                return
            ends[vm.name] += 1
            record(f"{vm.name} ended by itself with {code}, time {ends[vm.name]}")
            await asyncio.sleep(RESTART_S)
            vm.bootstrap = False
            await vm.start()

    async def client(vm):
        while time.monotonic() < until:
            attempt = f"a-{next(numbers)}"
            headers = standins.request_headers(
                attempt, 12000, Model="m",
                **{"Token-Usage": "17000,120", "Prompt-Prefix": f"5c1e07a2:13300,{attempt[2:]}:3700"},
            )  # fmt: skip
            try:
                status, _, _ = await standins.call(
                    vm.front, "POST", "/digest/1", headers, b"prompt", wait_s=4.0
                )
            except (OSError, TimeoutError) as error:
                status = type(error).__name__
            record(f"{attempt} at {vm.name}: {status}")
            answers.append((time.monotonic() - began, status))
            await asyncio.sleep(0.2)

    began = time.monotonic()
    until = began + CALM_S + WATCHED_S
    tasks = [asyncio.create_task(keep_running(vm)) for vm in vms]
    clients = [asyncio.create_task(client(vm)) for vm in vms]
    await asyncio.sleep(CALM_S)
    if standins.TROUBLE:
        record(f"another writer puts servers/i-other: {ENTRY}")
        platform.put("servers", "i-other", standins.json.dumps(ENTRY).encode())
    await asyncio.gather(*clients)
    ending = True
    for task in tasks:
        task.cancel()
    before = Counter(status for at, status in answers if at < CALM_S)
    after = Counter(status for at, status in answers if at >= CALM_S + 2)
    record(f"answers before the entry: {dict(before)}")
    record(f"answers from 2 s after it: {dict(after)}")
    record(f"processes that ended by themselves: {dict(ends)}")
    if before[200] < 3:
        raise standins.CannotRun("less than three requests were served before the entry")
    return sum(count >= 3 for count in ends.values()) < 2


standins.run(HERE, body)
