"""Another writer puts an entry into the list of replicas whose bytes can't be read.

Three VMs serve payments and look-ups. The entry names no replica to use, and the others
hold; so no process may end by itself.
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

UNREADABLE = b'{"labels": ' + b"[" * 4000
"""An entry's bytes that end within lists: 4 KB of the 64 KB that a row may have."""
RESTART_S = 1.0
"""The platform starts an ended process again after a short delay."""
CALM_S = 5.0
WATCHED_S = 25.0


async def body(record, folder, vms):
    platform = standins.Platform(record)
    await platform.start()
    replicas = [standins.Replica(platform, record, f"i-{n}") for n in range(3)]
    for replica in replicas:
        await replica.start()
    platform.put("op", "config", standins.json.dumps(standins.config()).encode())
    for n in range(3):
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

    async def client(vm, kind):
        """Send requests to one VM, each on a new connection; a mixed load of two kinds."""
        while time.monotonic() < until:
            attempt = f"a-{next(numbers)}"
            headers = standins.request_headers(attempt, 1500)
            method = "POST" if kind == "pay" else "GET"
            try:
                status, _, _ = await standins.call(
                    vm.front, method, f"/{kind}/1", headers, wait_s=2.0
                )
            except (OSError, TimeoutError) as error:
                status = type(error).__name__
            record(f"{attempt} {kind} at {vm.name}: {status}")
            answers.append((time.monotonic() - began, status))
            await asyncio.sleep(0.2)

    began = time.monotonic()
    until = began + CALM_S + WATCHED_S
    tasks = [asyncio.create_task(keep_running(vm)) for vm in vms]
    clients = [
        asyncio.create_task(client(vm, kind)) for vm in vms for kind in ("pay", "peek")
    ]
    await asyncio.sleep(CALM_S)
    if standins.TROUBLE:
        record(f"another writer puts servers/i-other, {len(UNREADABLE)} bytes")
        platform.put("servers", "i-other", UNREADABLE)
    await asyncio.gather(*clients)
    ending = True
    for task in tasks:
        task.cancel()
    before = Counter(status for at, status in answers if at < CALM_S)
    after = Counter(status for at, status in answers if at >= CALM_S + 2)
    record(f"answers before the entry: {dict(before)}")
    record(f"answers from 2 s after it: {dict(after)}")
    record(f"processes that ended by themselves: {dict(ends)}")
    if before[200] < 10:
        raise standins.CannotRun("less than ten requests were served before the entry")
    return sum(count >= 3 for count in ends.values()) < 2


standins.run(HERE, body)
