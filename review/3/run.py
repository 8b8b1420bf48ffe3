"""A faulty replica begins a second answer after a complete one, and truncates it.

What it sent of it ends within a header's value. The next answer on that connection may be
a failure. Its client must not get it as a success.
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

FAULT_S, PAUSE_S, WINDOWS = 5.0, 1.0, 14
"""Site file: for_s = 5.5 (garble, extra). BENCH.md: "more than once"."""
EVERY = 50
"""One answer in 50 of the faulty replica, 0.02; site file: x = 0.02 (extra). One replica of
three is faulty, 0.33; site file: share = 0.35 (extra)."""
FAILING = 7
"""One look-up in 7 fails with a 500, 0.14; site file: error_share = 0.14 (pool-peek)."""
CLIENTS = 12
SENT_PER_S = 120.0


class FaultyReplica(standins.Replica):
    """Fails a share of its look-ups; adds a truncated second answer while `faulty`."""

    faulty = False
    answers = 0

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.failed = set()

    async def answer(self, line, headers, body, writer):
        attempt = headers["attempt-id"]
        if headers.get("expect-instance", self.name) != self.name:
            fields = [("Attempt-Id", attempt), ("Not-Executed", "1")]
            writer.write(standins.answer_bytes(421, fields))
            return
        if self.running >= self.slots:
            fields = [("Attempt-Id", attempt), ("Not-Executed", "1")]
            writer.write(standins.answer_bytes(503, fields))
            return
        self.running += 1
        self.ran.append(attempt)
        run = len(self.ran)
        seal = f"{self.name}.{attempt}.{run}"
        await asyncio.sleep(self.work_s)
        self.running -= 1
        fields = [
            ("Server-Load", f"{self.running},0,{self.slots}"),
            ("Attempt-Id", attempt),
            ("Server-Seal", seal),
        ]
        fails = run % FAILING == 0
        if fails:
            self.failed.add(seal)
            answer = standins.answer_bytes(500, fields, b"failed")
        else:
            answer = standins.answer_bytes(200, fields, b"balance")
        self.record(f"{self.name} ran {attempt}: {500 if fails else 200}, seal {seal}")
        self.answers += self.faulty
        if self.faulty and self.answers % EVERY == 0:
            second = answer.partition(b",0,")[0] + b",0"
            self.record(f"{self.name} adds {second}")
            answer += second
        writer.write(answer)
        await writer.drain()


async def body(record, folder, vms):
    platform = standins.Platform(record)
    await platform.start()
    replicas = [
        FaultyReplica(platform, record, f"i-{n}", work_s=0.02) for n in range(3)
    ]
    for replica in replicas:
        await replica.start()
    platform.put("op", "config", standins.json.dumps(standins.config()).encode())
    vm = standins.Vm(platform, record, folder)
    vms.append(vm)
    await vm.start()
    await vm.wait_ready()
    answers = {}
    numbers = itertools.count()

    async def client(name):
        reader = writer = None
        while time.monotonic() < until:
            attempt = f"a-{name}-{next(numbers)}"
            record(f"client {name} sends {attempt}")
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(*vm.front)
                status, headers, content = await asyncio.wait_for(
                    standins.exchange_on(
                        reader, writer, "GET", "/peek/1", standins.request_headers(attempt, 1500)
                    ), 3.0,
                )  # fmt: skip
                answers[attempt] = (status, headers.get("server-seal", ""), content)
                record(f"client {name} gets {status} {answers[attempt][1:]} for {attempt}")
                keep = headers.get("connection", "").lower() != "close"
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                record(f"client {name} gets nothing for {attempt}: {error!r}")
                answers[attempt] = (None, "", b"")
                keep = False
            if not keep and writer is not None:
                writer.close()
                writer = None
            await asyncio.sleep(CLIENTS / SENT_PER_S)

    until = time.monotonic() + 3.0 + WINDOWS * (FAULT_S + PAUSE_S)
    clients = [asyncio.create_task(client(n)) for n in range(CLIENTS)]
    await asyncio.sleep(3.0)
    for _ in range(WINDOWS):
        replicas[0].faulty = standins.TROUBLE
        await asyncio.sleep(FAULT_S)
        replicas[0].faulty = False
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*clients)
    failed = set().union(*(replica.failed for replica in replicas))
    mixed = [a for a, (status, seal, _) in answers.items() if status == 200 and seal in failed]
    counts = Counter(status for status, _, _ in answers.values())
    record(f"sent {len(answers)}, answers {dict(counts)}")
    record(f"MIXED, 200 with the seal of an answer with 500: {mixed}")
    if counts[200] < len(answers) / 2:
        raise standins.CannotRun("less than half of the look-ups were served")
    return not mixed


standins.run(HERE, body)
