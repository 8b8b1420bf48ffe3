"""Measures the processor time that one VM spends on sharing measurements, by component.

    PYTHONPATH=src python benchmarks/sharing_cost.py [--seconds 10] [--rounds 3]
    PYTHONPATH=src python benchmarks/sharing_cost.py --wake-ups

The VM is one of 76 in four zones, with 45 engines and 4 servers of a plain service: a
follower, or the relay of 19 followers. Processor time is that of this process
(`time.process_time`), so that other load on the machine counts only through shared
caches. Each figure is the median of the rounds, of REPETITIONS calls each (submits: 40;
frames: 500). Reports are the largest there are: 24 servers of a VM, and 32 of a zone
that all of its VMs measured. Only the links use the network, to a
process of their own on loopback.
"""

import argparse
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, NamedTuple, cast

import anyio
from websockets.asyncio.server import ServerConnection, serve

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from godwitmast.clock import SystemClock  # noqa: E402
from godwitmast.config.document import FleetPolicy  # noqa: E402
from godwitmast.dispatch.messages import (  # noqa: E402
    BackendSpec,
    LoadReport,
    RequestSpec,
)
from godwitmast.dispatch.router import Router  # noqa: E402
from godwitmast.dispatch.router_count import RouterCount  # noqa: E402
from godwitmast.measurements import collector, merge  # noqa: E402
from godwitmast.measurements.codec import (  # noqa: E402
    decode_vm_report,
    decode_zone_report,
    encode_report,
)
from godwitmast.measurements.collector import Collector  # noqa: E402
from godwitmast.measurements.merge import ZoneMerge  # noqa: E402
from godwitmast.measurements.messages import (  # noqa: E402
    SpeedSample,
    VmReport,
    ZoneReport,
)
from godwitmast.measurements.picture import FleetPicture  # noqa: E402
from godwitmast.outliers.log import Failed, OutcomeLog, Start  # noqa: E402
from godwitmast.relay.codec import decode_frame, encode_frame  # noqa: E402
from godwitmast.relay.exchange import MeasurementLinks  # noqa: E402
from godwitmast.relay.links import OPTIONS  # noqa: E402
from godwitmast.relay.machine import RelayMachine, RelayRow, Stage  # noqa: E402
from godwitmast.relay.messages import VmMeasured, ZoneMeasured  # noqa: E402
from godwitmast.room.collector import RoomCollector  # noqa: E402
from godwitmast.types import BackendId, RequestId, ZoneName  # noqa: E402
from test_room_admission import DOCUMENT, KINDS, POOL  # noqa: E402

ZONES = ("a", "b", "c", "d")
FOLLOWERS = 19
VMS = len(ZONES) * FOLLOWERS
SERVERS = [Start(BackendId(f"e{number}"), 1) for number in range(49)]
SLOTS = 64
REPETITIONS = 300


class Cost(NamedTuple):
    """What one call of a component takes, and how often one VM makes it."""

    name: str
    call_us: float
    follower_per_s: float
    relay_per_s: float


def median_us(work: Callable[[], object], rounds: int, repetitions: int) -> float:
    """Return the processor time of one call."""
    found = []
    for _ in range(rounds):
        began = time.process_time()
        for _ in range(repetitions):
            work()
        found.append((time.process_time() - began) / repetitions * 1e6)
    return statistics.median(found)


def request(number: int, kind: str, now: float) -> RequestSpec:
    return RequestSpec(
        RequestId(f"r{number}"),
        f"t{number % 6}",  # type: ignore[arg-type]
        kind,  # type: ignore[arg-type]
        POOL,
        now,
        1_460,
        50,
        now + 1e6,
        fingerprint=f"r{number}",
    )


def make_collector(vm: str, now: float) -> Collector:
    """Return the reports of a VM that measured all servers and has some requests."""
    log, rooms = OutcomeLog(), RoomCollector()
    for number, server in enumerate(SERVERS):
        log.record_success(server, now, now)
        if number % 8 == 0:
            log.record_failure(server, Failed(f"{vm}-{number}", now), now)
    speeds = {
        server: SpeedSample(64.0, 5.5, None, 12.0, 130, 0.4) for server in SERVERS
    }
    for number in range(24):
        spec = request(number, KINDS[number % 3], now)
        if number % 2:
            rooms.record_running(spec, 1 + number % 3)
        else:
            rooms.record_waiting(spec, 1 + number % 3, now)
    made = Collector(vm, 1)
    made.outcomes, made.speeds, made.rooms = (
        log.reports,
        lambda now: speeds,
        rooms.rooms,
    )
    made.is_urgent = log.pop_new_failures
    return made


def make_merge(zone: str, now: float) -> ZoneMerge:
    """Return a zone's merge that has two reports of each of its VMs: all servers."""
    made = ZoneMerge(zone, f"vm-{zone}0/1", 1)
    for number in range(FOLLOWERS):
        source = make_collector(f"vm-{zone}{number}", now)
        for at in (now, now + 1.0, now + 2.0):
            report = source.due_report(at)
            assert report is not None
            made.apply(report, at)
    return made


def make_picture(now: float) -> FleetPicture:
    picture = FleetPicture(lambda: VMS)
    for zone in ZONES:
        assert picture.apply(make_merge(zone, now - 2.0).full_report(now), now)
    return picture


class Reports:
    """Reports with numbers that rise, so that none counts as old."""

    def __init__(self, vm: VmReport, zone: ZoneReport) -> None:
        self.vm, self.zone = vm, zone

    def next_vm(self) -> VmReport:
        self.vm = self.vm._replace(number=self.vm.number + 1)
        return self.vm

    def next_zone(self) -> ZoneReport:
        self.zone = self.zone._replace(number=self.zone.number + 1)
        return self.zone


def measure_reports(rounds: int) -> tuple[list[Cost], bytes]:
    """Measure building, encoding, decoding, applying and merging reports."""
    now = 100.0
    source, zone = make_collector("vm-a1", now), make_merge("a", now)
    clock = [now + 3.0]

    def build() -> VmReport:
        clock[0] += 1e-6
        source.last_at = None
        report = source.due_report(clock[0])
        assert report is not None
        return report

    def build_zone() -> ZoneReport:
        for item in zone.servers.values():
            item.is_changed, item.sent_at = True, -1.0
        zone.last_at = -1.0
        report = zone.due_report(now + 2.0)
        assert report is not None and len(report.servers) == merge.MAX_CHANGED
        return report

    reports = Reports(build(), build_zone())
    vm_data, zone_data = encode_report(reports.vm), encode_report(reports.zone)
    vm_frame = encode_frame(VmMeasured(vm_data))
    zone_frame = encode_frame(ZoneMeasured(zone_data))
    picture = make_picture(now + 2.0)

    def us(work: Callable[[], object]) -> float:
        return median_us(work, rounds, REPETITIONS)

    return [
        Cost("build the VM's report", us(build), 1, 1),
        Cost(
            "encode the VM's report",
            us(lambda: encode_frame(VmMeasured(encode_report(reports.vm)))),
            1,
            0,
        ),
        Cost(
            "decode a VM's report",
            us(
                lambda: decode_vm_report(
                    cast(VmMeasured, decode_frame(vm_frame)).report
                )
            ),
            0,
            FOLLOWERS,
        ),
        Cost(
            "merge a VM's report",
            us(lambda: zone.apply(reports.next_vm(), now + 2.0)),
            0,
            FOLLOWERS + 1,
        ),
        Cost("make the zone's report", us(build_zone), 0, 2),
        Cost(
            "encode the zone's report",
            us(lambda: encode_frame(ZoneMeasured(encode_report(reports.zone)))),
            0,
            2 * len(ZONES),
        ),
        Cost(
            "decode a zone's report",
            us(
                lambda: decode_zone_report(
                    cast(ZoneMeasured, decode_frame(zone_frame)).report
                )
            ),
            2 * len(ZONES),
            2 * (len(ZONES) - 1),
        ),
        Cost(
            "apply a zone's report",
            us(lambda: picture.apply(reports.next_zone(), now + 2.0)),
            2 * len(ZONES),
            2 * len(ZONES),
        ),
        Cost("expire the picture", us(lambda: picture.expire(now + 2.0)), 1, 1),
    ], zone_frame


def make_router(use: str, held: bool) -> tuple[Router, float]:
    """Return a router with 20 requests running, or with 50 at servers that state that
    all their slots are taken; then 47 start and three wait, one of each class."""
    fleet = FleetPolicy("off", "off", use)  # type: ignore[arg-type]
    count = RouterCount()
    count.update(VMS, 0.0)
    router = Router(
        DOCUMENT._replace(fleet=fleet), ZoneName("a"), 3, router_count=count
    )
    specs = [
        BackendSpec(s.backend_id, ZoneName("a"), frozenset([POOL]), places=SLOTS)
        for s in SERVERS[:45]
    ]
    router.update_backends(specs, 0.0)
    router.room.view = make_picture(0.0)
    now = 0.1
    for number in range(20):
        router.submit(request(number, KINDS[number % 3], now), now)
    if held:
        for server in SERVERS[:45]:
            router.record_load(server.backend_id, LoadReport(SLOTS, 6), now)
    for number in range(20, 50 if held else 20):
        router.submit(request(number, KINDS[number % 3], now), now)
    return router, now


def measure_room(rounds: int) -> list[Cost]:
    """Measure a submit and a tick with and without the room of all VMs."""
    found = []
    for use, held in (("off", True), ("on", True), ("off", False), ("on", False)):
        load = "saturated" if held else "unsaturated"
        submits, ticks, waits = [], [], 0
        for _ in range(rounds):
            router, now = make_router(use, held)
            queues = [q for p in router.admission.pools.values() for q in p.by_tier]
            waits = sum(len(queue.urgency) for queue in queues)
            began = time.process_time()
            for _ in range(REPETITIONS):
                now += 0.05
                router.tick(now)
            ticks.append((time.process_time() - began) / REPETITIONS * 1e6)
            router, now = make_router(use, held)
            began = time.process_time()
            for number in range(100, 140):
                now += 0.05
                router.submit(request(number, KINDS[number % 3], now), now)
            submits.append((time.process_time() - began) / 40 * 1e6)
        name = f"{load}, room {use}, {waits} waiting"
        found.append(Cost(f"submit, {name}", statistics.median(submits), 4, 4))
        found.append(Cost(f"tick, {name}", statistics.median(ticks), 20, 20))
    return found


class StubRelay:
    """A VM's role without its links."""

    def __init__(self, serving: bool, now: float) -> None:
        self.machine = RelayMachine("a", RelayRow("vm-a0/1", "127.0.0.1:1"))
        self.machine.stage = Stage.SERVING if serving else Stage.FOLLOWING
        self.machine.relay_can_write = True
        self.machine.zones = {z: RelayRow(f"vm-{z}0/1", "127.0.0.1:1") for z in "bcd"}
        self.relay_measures = True
        self.link = SimpleNamespace(send_report=self.send)

    async def send(self, data: bytes) -> None: ...


async def idle_cost(serving: bool, seconds: float) -> tuple[float, float]:
    """Return the processor time a second, and the wake-ups a second, while nothing is
    due: reports are put off for the time of the measurement."""
    clock = SystemClock()
    now = clock.now()
    relay = cast(Any, StubRelay(serving, now))
    links = MeasurementLinks(relay, clock, "vm-a0", "a", lambda: True, lambda: VMS)
    source = make_collector("vm-a0", now)
    links.collector.outcomes, links.collector.speeds = source.outcomes, source.speeds
    links.collector.rooms, links.collector.is_urgent = source.rooms, lambda: False
    links.picture = make_picture(now)
    for zone in links.picture.zones.values():
        zone.heard_at = now + seconds
    links.expired_at = now + 2 * seconds
    links.collector.last_at = now
    links.merge = make_merge("a", now) if serving else None
    if links.merge is not None:
        links.merge.last_at = now
        links.merge.urgent.clear()
    collector.REPORT_S = merge.ZONE_REPORT_S = 1e9
    wakes = [0]
    exchange = links.exchange

    async def counted(at: float) -> Any:
        wakes[0] += 1
        return await exchange(at)

    links.exchange = counted  # type: ignore[method-assign]
    async with anyio.create_task_group() as tasks:
        await links.start(tasks)
        await anyio.sleep(0.1)
        wakes[0] = 0
        began = time.process_time()
        await anyio.sleep(seconds)
        used = time.process_time() - began
        await links.close()
    return used / seconds, wakes[0] / seconds


async def measure_idle(seconds: float, rounds: int) -> list[Cost]:
    """Measure the wake-ups of a follower and of a relay."""
    found = []
    periods = (collector.REPORT_S, merge.ZONE_REPORT_S)
    for serving in (False, True):
        runs = []
        for _ in range(rounds):
            try:
                runs.append(await idle_cost(serving, seconds))
            finally:
                collector.REPORT_S, merge.ZONE_REPORT_S = periods
        used = statistics.median(run[0] for run in runs)
        per_s = statistics.median(run[1] for run in runs)
        role = "relay" if serving else "follower"
        rates = (0.0, per_s) if serving else (per_s, 0.0)
        found.append(Cost(f"wake-up, {role}", used / per_s * 1e6, *rates))
    return found


ECHO = """
import asyncio, sys
from websockets.asyncio.client import connect
async def main():
    async with connect(sys.argv[1], compression=None, max_size=None) as socket:
        async for frame in socket:
            if sys.argv[2] == "send":
                for _ in range(int(frame)):
                    await socket.send(bytes.fromhex(sys.argv[3]))
                    await asyncio.sleep(0.002)
asyncio.run(main())
"""


async def link_cost(kind: str, frame: bytes, count: int) -> float:
    """Return the processor time of sending or reading one frame, in microseconds."""
    used = [0.0]
    done = anyio.Event()

    async def accept(socket: ServerConnection) -> None:
        began = time.process_time()
        if kind == "send":
            for _ in range(count):
                await socket.send(frame)
                await anyio.sleep(0.002)
        else:
            await socket.send(str(count))
            for _ in range(count):
                await socket.recv()
        used[0] = time.process_time() - began
        done.set()

    async with serve(accept, "127.0.0.1", 0, **OPTIONS) as server:
        port = next(iter(server.sockets)).getsockname()[1]
        other = "read" if kind == "send" else "send"
        child = subprocess.Popen(
            [sys.executable, "-c", ECHO, f"ws://127.0.0.1:{port}", other, frame.hex()]
        )
        try:
            with anyio.fail_after(60):
                await done.wait()
        finally:
            child.terminate()
            child.wait()
    began = time.process_time()
    for _ in range(count if kind == "send" else 0):
        await anyio.sleep(0.002)
    return (used[0] - (time.process_time() - began)) / count * 1e6


async def measure_links(frame: bytes, rounds: int) -> list[Cost]:
    """Measure the links' own cost of a frame as large as a zone's report."""
    sends = [await link_cost("send", frame, 500) for _ in range(rounds)]
    reads = [await link_cost("read", frame, 500) for _ in range(rounds)]
    zones = len(ZONES)
    sent = 2 * (FOLLOWERS * zones + zones - 1)
    received = FOLLOWERS + 2 * (zones - 1)
    return [
        Cost("send a frame on a link", statistics.median(sends), 1, sent),
        Cost("read a frame from a link", statistics.median(reads), 2 * zones, received),
    ]


def print_costs(costs: list[Cost]) -> None:
    print(
        "| component | us a call | follower, calls/s | core | relay, calls/s | core |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for cost in costs:
        follower = cost.call_us * cost.follower_per_s / 1e4
        relay = cost.call_us * cost.relay_per_s / 1e4
        print(
            f"| {cost.name} | {cost.call_us:.0f} | {cost.follower_per_s:.3g} "
            f"| {follower:.2f} % | {cost.relay_per_s:.3g} | {relay:.2f} % |"
        )


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--wake-ups", action="store_true", help="measure only these")
    options = parser.parse_args()
    costs = await measure_idle(options.seconds, options.rounds)
    if options.wake_ups:
        print_costs(costs)
        return
    reports, frame = measure_reports(options.rounds)
    costs += reports
    costs += await measure_links(frame, options.rounds)
    costs += measure_room(options.rounds)
    print_costs(costs)


if __name__ == "__main__":
    anyio.run(main)
