"""A version that removes all routes arrives while requests wait for a place.

Two VMs, an engine and a plain replica of two places. Each VM has streams that run, and
more plain requests than the plain replica has places, so that some wait. All of them were
sent, and read whole, before the version that removes the routes. Without it, all of the
streams and the plain requests that run are answered.
"""

import asyncio
import itertools
import time
from pathlib import Path

import fleet

FOLDER = Path(__file__).resolve().parent
EVENTS, EVENT_S = 45, 0.1
"""A stream lasts for 4.6 s of the 12 s that its route allows."""
WORK_S = 0.3
TIMEOUT_S = 12.0
BESIDE_S = fleet.BOUNDS["configDeadlineMs"] / 1000 + 1
MOST_USED, TIMES_AS_OFTEN = 0.7, 3
"""From the rule: the time beside a configuration, and what doesn't count."""


async def play(deployment, tasks, trouble):
    record = deployment.record
    routes = [
        fleet.route("digest", "/digest/", "streaming", "lm", gapAimMs=600),
        fleet.route(
            "pledge", "/pledge/", "non_idempotent", "app", timeoutMs=3000, sloMs=1500
        ),
    ]
    await deployment.start(
        tasks,
        [
            dict(
                server_id="i-7f3a91c2",
                service="lm",
                streams=True,
                event_s=EVENT_S,
                events=EVENTS,
            ),
            dict(
                server_id="i-20d4be61",
                service="app",
                streams=False,
                event_s=WORK_S,
                slots=2,
            ),
        ],
        2,
        fleet.config(1, routes),
    )
    engine, _ = deployment.replicas
    numbers = itertools.count(1)
    outcomes, sent_at, ended_at = {}, {}, {}
    began_at = time.monotonic()

    async def ask(vm, kind):
        attempt = f"{kind[0]}{next(numbers)}"
        prompt = {
            "Model": "m",
            "Token-Usage": "1460,160",
            "Prompt-Prefix": f"5c1e07a2:800,{attempt}f:660",
        }
        record(f"client sends {attempt} to {vm.name}")
        sent_at[attempt] = time.monotonic()
        status, answer = await fleet.request(
            vm.ip,
            vm.front,
            "POST",
            f"/{kind}/{attempt}",
            fleet.client_headers(
                attempt, 12000, **(prompt if kind == "digest" else {})
            ),
            attempt.encode(),
            timeout_s=14.0,
        )
        outcomes[attempt] = status
        ended_at[attempt] = time.monotonic()
        record(f"client gets {status if status else answer} for {attempt}")

    # At other times: no request is cut.
    for _ in range(3):
        async with asyncio.TaskGroup() as asked:
            for vm in deployment.vms:
                asked.create_task(ask(vm, "digest"))
                asked.create_task(ask(vm, "pledge"))
    before = list(outcomes)
    if any(outcomes[attempt] != 200 for attempt in before):
        raise fleet.CannotRun("a request before the change failed")
    await asyncio.sleep(3.0)

    async with asyncio.TaskGroup() as asked:
        for vm in deployment.vms:
            for _ in range(4):
                asked.create_task(ask(vm, "digest"))
        await asyncio.sleep(1.0)
        for vm in deployment.vms:
            for _ in range(8):
                asked.create_task(ask(vm, "pledge"))
        await asyncio.sleep(0.1)
        changed_at = time.monotonic()
        if trouble:
            deployment.store.put_config(fleet.config(2, []))
            record("the store acknowledges version 2, without routes")
        await asyncio.sleep(2.5)
        ended = [(vm.name, vm.process.poll()) for vm in deployment.vms]
        record(f"processes, with their exit codes: {ended}")
    # Cut: passed on to the engine, which broke nothing off, without a complete answer.
    cut = [attempt for attempt in engine.ran if outcomes[attempt] is None]
    beside = [
        attempt
        for attempt in cut
        if changed_at <= ended_at[attempt] <= changed_at + BESIDE_S
        and ended_at[attempt] - sent_at[attempt] < MOST_USED * TIMEOUT_S
    ]
    others = len(cut) - len(beside)
    other_s = time.monotonic() - began_at - BESIDE_S
    record(
        f"cut beside the change, having used less than {MOST_USED} of their time: "
        f"{beside}; at other times: {others} in {other_s:.1f} s"
    )
    return len(beside) / BESIDE_S > TIMES_AS_OFTEN * others / other_s


if __name__ == "__main__":
    fleet.main(FOLDER, play)
