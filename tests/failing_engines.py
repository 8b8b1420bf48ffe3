"""VMs before engines of which some fail at once, in virtual time.

VMs share outcomes by the messages of `measurements`, with delays but without sockets.
"""

from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from event_heap import EventHeap
from godwitmast.config.document import Document, FleetPolicy
from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.active_requests import ActiveRequest
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    Cancel,
    FailureKind,
    LoadReport,
    Refuse,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.router import Router
from godwitmast.dispatch.router_count import RouterCount
from godwitmast.measurements.collector import Collector
from godwitmast.measurements.merge import ZoneMerge
from godwitmast.measurements.messages import ZoneReport
from godwitmast.measurements.picture import FleetPicture
from godwitmast.peers.rendezvous import short_hash
from godwitmast.types import BackendId, RequestId, ZoneName

POOL = "lm"
ZONES = 4
ENGINES = 45
PLACES = 64
TICK_S = 0.05
SHARE_TICK_S = 0.02
"""Drivers wake up for urgent reports; this is how late they may be."""

LINK_S = 0.002
ERROR_S = 0.001
STEP_S = 0.012


class Kind(NamedTuple):
    """A kind of request; `first_s` is until its first token on an idle engine."""

    name: str
    per_s: float
    first_s: float
    events: int
    attempts: int
    deadline_s: float
    error_share: float = 0.0
    """Share of its requests that end with an error on every engine."""


REVIEW = Kind("review", 43.6, 0.27, 24, 1, 10.3)
EXPLANATION = Kind("explanation", 49.5, 0.14, 10, 2, 6.4)
NOTE = Kind("note", 73.7, 0.04, 34, 1, 13.0)
KINDS = (REVIEW, EXPLANATION, NOTE)
"""The kinds of the deployment R in docs/design/2026-12-04-hard-load.md."""


def make_document(fleet: FleetPolicy) -> Document:
    document: Document = parse_document(
        {
            "classes": {
                "note": {"tier": 1, "first_token_s": 0.326},
                "explanation": {"tier": 2, "first_token_s": 0.645},
                "review": {"tier": 3, "first_token_s": 2.063},
            },
            "teams": {"arima": {}},
            "models": {POOL: {}},
        }
    )
    return document._replace(fleet=fleet)


@dataclass
class Call:
    """A request of a caller."""

    kind: Kind
    at: float
    vm: "Vm"
    outcome: str = "open"
    is_bad: bool = False
    """It fails on every engine."""
    has_begun: bool = False


@dataclass
class Engine:
    """An engine; `fails` answers 500 at once, `lost` takes no connection."""

    spec: BackendSpec
    fails: bool = False
    lost: bool = False
    running: set[tuple[int, Any]] = field(default_factory=set)
    sent: int = 0
    errors: int = 0


@dataclass
class Vm:
    """A router with its part of the measurements."""

    number: int
    zone: str
    router: Router
    collector: Collector
    picture: FleetPicture
    is_cut: bool = False

    @property
    def name(self) -> str:
        return f"vm-{self.number}"


class FailingEngines(EventHeap):
    """Callers, VMs, the relays of their zones and engines on a heap of events."""

    def __init__(
        self, vms: int, seed: int, fleet: FleetPolicy, engines: int = ENGINES
    ) -> None:
        super().__init__(seed)
        self.percent: int | None = 100
        self.failing_vms: set[int] = set()
        self.failure = FailureKind.ERROR
        """How requests fail at engines that fail."""
        self.fails_after_first = False
        """Requests fail after their first token."""
        self.failing_share: dict[BackendId, float] = {}
        """Share of requests that fail at an engine that answers the others."""
        """VMs whose requests fail on each engine."""
        self.calls: list[Call] = []
        self.open: dict[tuple[int, RequestId], Call] = {}
        self.engines: dict[BackendId, Engine] = {}
        for number in range(engines):
            backend_id = BackendId(f"e{number}")
            zone = ZoneName(f"z{number % ZONES}")
            spec = BackendSpec(
                backend_id, zone, frozenset([POOL]), places=PLACES, incarnation=1
            )
            self.engines[backend_id] = Engine(spec)
        self.shares = fleet.outlier_sharing != "off"
        self.vms = [self.make_vm(number, vms, fleet) for number in range(vms)]
        self.merges = {
            vm.zone: ZoneMerge(vm.zone, vm.name, 1) for vm in self.vms[:ZONES]
        }
        for vm in self.vms:
            self.list_engines(vm)
            self.schedule(self.random.random() * TICK_S, self.tick, vm)
            if self.shares:
                # Both ways of a replay use the same random numbers.
                self.schedule(vm.number / vms * SHARE_TICK_S, self.share, vm)
        if self.shares:
            for merge in self.merges.values():
                self.schedule(0.0, self.relay, merge)

    def make_vm(self, number: int, vms: int, fleet: FleetPolicy) -> Vm:
        count = RouterCount()
        count.update(vms, 0.0)
        zone = f"z{number % ZONES}"
        router = Router(
            make_document(fleet),
            ZoneName(zone),
            self.random.randrange(1 << 30),
            router_count=count,
        )
        outliers = router.shared_health.outliers
        collector = Collector(f"vm-{number}", 1)
        collector.outcomes = outliers.log.reports  # type: ignore[assignment]
        collector.is_urgent = outliers.log.pop_new_failures
        picture = FleetPicture()
        outliers.view = picture
        outliers.vm = short_hash(collector.vm)
        outliers.members = lambda: picture.members(self.now)
        outliers.failing = lambda: picture.failing(self.now)
        return Vm(number, zone, router, collector, picture)

    def list_engines(self, vm: Vm) -> None:
        specs = [engine.spec for engine in self.engines.values()]
        self.execute(vm, vm.router.update_backends(specs, self.now))

    # Measurements

    def share(self, vm: Vm) -> None:
        self.schedule(SHARE_TICK_S, self.share, vm)
        report = vm.collector.due_report(self.now)
        if report is not None and not vm.is_cut:
            merge = self.merges[vm.zone]
            self.schedule(LINK_S, lambda: merge.apply(report, self.now))

    def relay(self, merge: ZoneMerge) -> None:
        self.schedule(SHARE_TICK_S, self.relay, merge)
        report = merge.due_report(self.now)
        if report is not None:
            self.schedule(2 * LINK_S, self.deliver, report)

    def deliver(self, report: ZoneReport) -> None:
        for vm in self.vms:
            if not vm.is_cut:
                vm.picture.apply(report, self.now)

    # Callers

    def start_load(self, kind: Kind, until: float, factor: float = 1.0) -> None:
        if self.now >= until:
            return
        self.send(kind)
        wait_s = self.random.expovariate(kind.per_s * factor)
        self.schedule(wait_s, self.start_load, kind, until, factor)

    def send(self, kind: Kind, vm: Vm | None = None, body: str = "") -> Call:
        vm = vm or self.random.choice(self.vms)
        request_id = RequestId(f"r{len(self.calls)}")
        call = Call(kind, self.now, vm, is_bad=self.random.random() < kind.error_share)
        self.calls.append(call)
        self.open[vm.number, request_id] = call
        spec = RequestSpec(
            request_id,
            "arima",  # type: ignore[arg-type]
            kind.name,  # type: ignore[arg-type]
            POOL,  # type: ignore[arg-type]
            self.now,
            deadline=self.now + kind.deadline_s,
            fingerprint=body or str(request_id),
            resumable=kind.attempts > 1,
            attempts=kind.attempts,
        )
        self.execute(vm, vm.router.submit(spec, self.now))
        return call

    # VMs

    def tick(self, vm: Vm) -> None:
        self.execute(vm, vm.router.tick(self.now))
        self.schedule(TICK_S, self.tick, vm)

    def execute(self, vm: Vm, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Start():
                    self.schedule(LINK_S, self.start, vm, action)
                case Cancel():
                    for engine in self.engines.values():
                        engine.running.discard((vm.number, action.attempt_id))
                case Refuse():
                    call = self.open.get((vm.number, action.request_id))
                    got = "part" if call is not None and call.has_begun else "nothing"
                    self.end(vm, action.request_id, got)

    def end(self, vm: Vm, request_id: RequestId, outcome: str) -> None:
        call = self.open.pop((vm.number, request_id), None)
        if call is not None:
            call.outcome = outcome

    # Engines

    def start(self, vm: Vm, start: Start) -> None:
        call = self.open.get((vm.number, start.request_id))
        if call is None:
            return
        engine = self.engines[start.backend_id]
        engine.sent += 1
        if engine.lost:
            self.schedule(LINK_S, self.fail, vm, start, FailureKind.CONNECT)
        elif (
            engine.fails
            or vm.number in self.failing_vms
            or self.fails_by_chance(start.backend_id)
        ):
            engine.errors += 1
            wait_s = ERROR_S + LINK_S
            self.schedule(wait_s, self.fail, vm, start, self.failure)
        elif call.is_bad:
            wait_s = self.first_s(engine, call.kind)
            self.schedule(wait_s, self.fail, vm, start, FailureKind.ERROR)
        else:
            engine.running.add((vm.number, start.attempt_id))
            wait_s = self.first_s(engine, call.kind)
            self.schedule(wait_s, self.write, vm, start, engine, call.kind.events)

    def fails_by_chance(self, backend_id: BackendId) -> bool:
        share = self.failing_share.get(backend_id)
        return share is not None and self.random.random() < share

    def first_s(self, engine: Engine, kind: Kind) -> float:
        """Return the time to a first token, longer the more the engine runs."""
        return kind.first_s * (1 + len(engine.running) / 16) + LINK_S

    def fail(self, vm: Vm, start: Start, kind: FailureKind) -> None:
        self.report_load(vm, start)
        ids = (start.request_id, start.attempt_id)
        call = self.open.get((vm.number, start.request_id))
        if self.fails_after_first:
            self.execute(vm, vm.router.record_tokens(*ids, 1, self.now))
        if kind is FailureKind.ERROR and call is not None and call.kind.attempts == 1:
            # An entry passes on the error of what may not run again.
            self.end(vm, start.request_id, "nothing")
            self.execute(vm, vm.router.record_error_answer(*ids, self.now))
            return
        self.execute(vm, vm.router.record_failure(*ids, kind, self.now))

    def report_load(self, vm: Vm, start: Start) -> None:
        """State the load as each answer's header does."""
        engine = self.engines[start.backend_id]
        if not engine.lost:
            report = LoadReport(len(engine.running), 0, percent=self.percent)
            actions = vm.router.record_load(start.backend_id, report, self.now)
            self.execute(vm, actions)

    def write(self, vm: Vm, start: Start, engine: Engine, left: int) -> None:
        key = (vm.number, start.attempt_id)
        if key not in engine.running:
            return
        if engine.lost:
            engine.running.discard(key)
            self.fail(vm, start, FailureKind.CUT)
            return
        ids = (start.request_id, start.attempt_id)
        self.report_load(vm, start)
        call = self.open.get((vm.number, start.request_id))
        if call is not None:
            call.has_begun = True
        self.execute(vm, vm.router.record_tokens(*ids, 1, self.now))
        if left <= 1:
            engine.running.discard(key)
            self.end(vm, start.request_id, "answered")
            self.execute(vm, vm.router.record_completion(*ids, self.now))
            return
        # Four events in one, since only the first one matters to this load.
        events = min(4, left - 1)
        wait_s = events * STEP_S
        self.schedule(wait_s, self.write, vm, start, engine, left - events)

    def moved_to(self, active: ActiveRequest, backend_id: BackendId) -> ActiveRequest:
        """Return a request as if it ran on another engine."""
        return replace(active, backend_id=backend_id, started_at=self.now)

    # Faults

    def set_failing(self, backend_ids: list[BackendId], fails: bool) -> None:
        for backend_id in backend_ids:
            self.engines[backend_id].fails = fails

    def set_lost(self, backend_ids: list[BackendId], lost: bool) -> None:
        for backend_id in backend_ids:
            self.engines[backend_id].lost = lost

    # Findings

    def without_answer(self, since: float, until: float) -> tuple[int, int]:
        """Return the requests of a time that got nothing, and all of them.

        Streams that a lost engine cut got a part.
        """
        sent = [call for call in self.calls if since <= call.at < until]
        return sum(call.outcome in ("nothing", "open") for call in sent), len(sent)

    def worst_share(self, since: float, until: float, window_s: float = 2.0) -> float:
        """Return the largest share of a window's requests that got nothing."""
        starts = [since + 0.5 * n for n in range(int((until - since) / 0.5))]
        counts = [self.without_answer(at, at + window_s) for at in starts]
        return max(lost / max(1, total) for lost, total in counts)

    def ejected(self) -> Counter[BackendId]:
        """Return on how many VMs each engine is out."""
        return Counter(
            state.backend_id
            for vm in self.vms
            for state in vm.router.backends.states.values()
            if not state.health.is_in_rotation()
        )


def out_together(pool: FailingEngines) -> dict[BackendId, int]:
    """Return the VMs on which each engine was put out by the failures of several."""
    found: Counter[BackendId] = Counter()
    for vm in pool.vms:
        for notice in vm.router.shared_health.pop_notices():
            if notice.is_out:
                found[notice.server.backend_id] += 1
    return dict(found)


def play_burst(vms: int, seed: int, fleet: FleetPolicy) -> FailingEngines:
    """Play 14 s: from second 4 to 9 an eighth of the engines answers 500, from 5 to 7 a
    quarter is lost, from 5 to 10 notes come 2.3 times as often."""
    pool = FailingEngines(vms, seed, fleet)
    names = list(pool.engines)
    pool.random.shuffle(names)
    failing, lost = names[:6], names[6:17]
    for kind in KINDS:
        pool.start_load(kind, 14.0)
    pool.schedule(5.0, pool.start_load, NOTE, 10.0, 1.3)
    pool.schedule(4.0, pool.set_failing, failing, True)
    pool.schedule(9.0, pool.set_failing, failing, False)
    pool.schedule(5.0, pool.set_lost, lost, True)
    pool.schedule(7.0, pool.set_lost, lost, False)
    pool.run(16.0)
    return pool
