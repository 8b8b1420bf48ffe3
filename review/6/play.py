"""Answers of one replica are lost; afterwards the VMs' processes must still answer.

Three prompts that share nothing are asked again and again: a common one at every VM,
where it was answered before the disruption, and two by one conversation each. The
disruption comes three times. While it lasts, the replica runs their requests and loses
the answers, three of eight; those of the others arrive. If no VM hangs then, all is
played once more with other prompts.
"""

import asyncio
import itertools
import time
from pathlib import Path

import fleet

FOLDER = Path(__file__).resolve().parent
VMS = 6
HELD_SHARE = 0.5
"""A process that uses more of a core than that, with no request, holds the processor."""
ROUNDS = [("1c07e5a2", "5e19d7f0", "91bd3f06"), ("2b61c0d4", "6f0a93e1", "a4d27b58")]
"""The common prompt and those of two conversations, by round."""

PART_TOKENS = 13300
SILENT_S = 6.0
"""For how long a VM may leave all questions unanswered before it counts as hanging. No
disruption is in progress then; a route's `timeoutMs` is 12 s, readiness is asked each
second, and two misses take a VM out."""


async def play(deployment, tasks, trouble):
    record = deployment.record
    await deployment.start(
        tasks,
        [
            dict(server_id="i-7f3a91c2", service="lm", streams=True),
            dict(server_id="i-20d4be61", service="app", streams=False),
        ],
        VMS,
    )
    replica = deployment.replicas[0]
    numbers = itertools.count(1)
    lost = set()
    replica.answer_is_lost = lambda headers: headers.get("attempt-id") in lost
    outcomes = {"lost": 0, "ran": 0}

    async def ask(vm, part, loses=False):
        attempt = f"a{next(numbers)}"
        if loses and trouble:
            lost.add(attempt)
            outcomes["lost"] += 1
        outcomes["ran"] += 1
        record(f"client sends {attempt} to {vm.name}, part {part}")
        status, answer = await fleet.request(
            vm.ip,
            vm.front,
            "POST",
            f"/digest/{attempt}",
            fleet.client_headers(
                attempt,
                12000,
                Model="m",
                **{
                    "Token-Usage": f"{PART_TOKENS + 3720},160",
                    "Prompt-Prefix": f"{part}:{PART_TOKENS},{attempt}f:3720",
                },
            ),
            attempt.encode(),
            timeout_s=8.0,
        )
        text = status if status else answer
        record(f"client gets {text} for {attempt} from {vm.name}")
        return status

    async def later(wait_s, vm, part, loses):
        await asyncio.sleep(wait_s)
        await ask(vm, part, loses)

    async def pledge(vm):
        attempt = f"p{next(numbers)}"
        status, _ = await fleet.request(
            vm.ip,
            vm.front,
            "POST",
            f"/pledge/{attempt}",
            fleet.client_headers(attempt, 1500),
            b"5 TTD",
            timeout_s=3.0,
        )
        record(f"client gets {status} for {attempt} from {vm.name}")

    vms = deployment.vms

    async def play_round(number, prompts):
        # Callers ask with the common prompt at every VM.
        for vm in vms:
            if await ask(vm, prompts[0]) != 200:
                raise fleet.CannotRun("a request before the disruption failed")
        await asyncio.sleep(1.0)
        for occurrence in range(OCCURRENCES):
            await disrupt(number, occurrence, prompts)
        await asyncio.sleep(1.0)
        return [vm for vm in vms if not await vm.is_ready(1.5)]

    async def disrupt(number, occurrence, prompts):
        record(f"disruption {occurrence + 1} begins")
        async with asyncio.TaskGroup() as asked:
            for (wait_s, vm), part in zip(LOST, prompts, strict=True):
                asked.create_task(later(wait_s, vms[vm], part, True))
            for index, (wait_s, vm) in enumerate(ANSWERED):
                part = f"b{number}{occurrence}{index}27f0"
                asked.create_task(later(wait_s, vms[vm], part, False))
        record(f"disruption {occurrence + 1} ends")
        await asyncio.sleep(4.0)
        if occurrence + 1 < OCCURRENCES:
            for vm in vms[:3]:
                await pledge(vm)
            await asyncio.sleep(1.0)

    for number, prompts in enumerate(ROUNDS):
        if await play_round(number, prompts):
            break
    record(
        f"answers lost: {outcomes['lost']} of {outcomes['ran']} that the replica ran"
    )
    return await find_hanging(deployment, ask)


OCCURRENCES = 3
LOST = [(0.0, 0), (1.93, 1), (2.06, 2)]
ANSWERED = [(0.4, 3), (0.7, 4), (1.0, 5), (1.3, 3), (1.6, 4)]
"""What is asked during the disruption: after how many seconds, and at which VM."""


async def find_hanging(deployment, ask):
    """Return whether a VM's process runs on and answers nobody for `SILENT_S`."""
    record = deployment.record
    before = {vm.name: vm.cpu_s() for vm in deployment.vms}
    began = time.monotonic()
    answered = set()
    while time.monotonic() < began + SILENT_S:
        for vm in deployment.vms:
            if vm.name not in answered and await vm.is_ready(0.5):
                answered.add(vm.name)
                record(f"{vm.name} says that it is ready")
        await asyncio.sleep(0.2)
    took_s = time.monotonic() - began
    hanging = []
    for vm in deployment.vms:
        share = (vm.cpu_s() - before[vm.name]) / took_s
        ended = vm.process.poll()
        record(
            f"{vm.name}: answered {vm.name in answered}, ended {ended}, "
            f"{share:.2f} of a core for {took_s:.1f} s"
        )
        if vm.name not in answered and ended is None and share > HELD_SHARE:
            hanging.append(vm)
    for vm in hanging[:1]:
        status = await ask(vm, ROUNDS[0][0])
        record(f"a request to {vm.name}: {status}")
    for vm in hanging[:1]:
        vm.process.terminate()
        await asyncio.sleep(8.5)
        record(f"{vm.name} {8.5} s after SIGTERM: ended {vm.process.poll()}")
    record(f"hanging: {[vm.name for vm in hanging]}")
    return bool(hanging)


if __name__ == "__main__":
    fleet.main(FOLDER, play)
