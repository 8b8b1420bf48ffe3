"""A service of three servers before several routers, in virtual time.

A server that ends has a successor at the same address under a new id. Routers share what
they observe of crashes through a table, as `entry.crash_reports` does.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from event_heap import EventHeap
from godwitmast.config.document import Document
from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.connectivity import Connectivity, ProbeOutcome
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    Cancel,
    CancelReason,
    FailureKind,
    Placement,
    PoisonUpdate,
    RefusalCode,
    Refuse,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.placement import PromptPart
from godwitmast.dispatch.poison import advance_ages
from godwitmast.dispatch.router import Router
from godwitmast.entry.crash_reports import GATHER_S, MAX_PROBES_S
from godwitmast.types import BackendId, RequestId, ZoneName

POOL = "app"
SERVERS = 3
TICK_S = 0.05
LINK_S = 0.001
WORK_S = 0.09
DOWN_S = 3.0
ROW_EXPIRY_S = 3.6
LIST_DELAY_S = (0.05, 0.4)
REPORT_DELAY_S = (0.2, 0.5)
PATIENCE_S = 4.0
ASK_S = 0.5


def make_document(version: int = 1) -> Document:
    return parse_document(
        {
            "classes": {"lookup": {"tier": 1, "completion_s": 0.4}},
            "teams": {"arima": {}, f"team-{version}": {}},
            "services": {POOL: {}},
        }
    )


Parts = tuple[PromptPart, ...]


@dataclass
class Call:
    """A caller's request; `crash_s` after its start it ends its server, if at all."""

    fingerprint: str
    crash_s: float | None
    vm: "Vm"
    parts: Parts = ()
    outcome: str = ""


@dataclass
class Server:
    """One of the addresses, and the server that listens there."""

    zone: str
    number: int = 1
    is_up: bool = True
    running: dict[tuple[RequestId, Any], Call] = field(default_factory=dict)

    @property
    def backend_id(self) -> BackendId:
        return BackendId(f"{self.zone}-{self.number}")


@dataclass
class Vm:
    """A router with its view of the servers and of their connections."""

    router: Router
    listed: dict[BackendId, BackendSpec] = field(default_factory=dict)
    connectivity: Connectivity = field(default_factory=Connectivity)
    calls: dict[RequestId, Call] = field(default_factory=dict)
    collects_at: float | None = None


class SmallPool(EventHeap):
    """The servers, the VMs and the callers, on a heap of events."""

    document = staticmethod(make_document)

    def __init__(self, vms: int, seed: int, servers: int = SERVERS) -> None:
        super().__init__(seed)
        self.rows: list[tuple[float, list[PoisonUpdate]]] = []
        self.servers = [Server(f"z{n + 1}") for n in range(servers)]
        self.vms: list[Vm] = []
        for _ in range(vms):
            self.add_vm()
        self.crashes: dict[str, list[float]] = defaultdict(list)
        self.runs: dict[str, list[float]] = defaultdict(list)
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.cut_vms: set[int] = set()
        self.attempts = 2
        self.report_delay_s = REPORT_DELAY_S
        self.report_copies = 1
        self.lost_reports = 0.0
        """Share of the reports that do not arrive, for each VM."""

    def add_vm(self) -> Vm:
        """Start a VM, which reads all rows of the table."""
        zone = ZoneName(f"z{len(self.vms) % SERVERS + 1}")
        seed = self.random.randrange(1 << 30)
        vm = Vm(Router(self.document(), zone, seed, announces_suspects=False))
        vm.connectivity = Connectivity(self.random.randrange(1 << 30))
        self.vms.append(vm)
        for server in self.servers:
            if server.is_up:
                self.list_server(vm, server.backend_id, server.zone)
        for at, updates in self.rows:
            self.apply(vm, at, updates)
        self.schedule(self.random.random() * TICK_S, self.tick, vm)
        return vm

    def list_server(self, vm: Vm, backend_id: BackendId, zone: str) -> None:
        vm.listed[backend_id] = BackendSpec(
            backend_id, ZoneName(zone), frozenset([POOL]), places=6
        )
        self.update_list(vm)

    def unlist_server(self, vm: Vm, backend_id: BackendId) -> None:
        if vm.listed.pop(backend_id, None) is not None:
            self.update_list(vm)

    def update_list(self, vm: Vm) -> None:
        vm.connectivity.update_servers(vm.listed)
        self.execute(vm, vm.router.update_backends(list(vm.listed.values()), self.now))

    def configure(self, version: int) -> None:
        for vm in self.vms:
            document = self.document(version)
            self.execute(vm, vm.router.update_config(document, self.now))

    # Callers

    def send(
        self,
        fingerprint: str,
        crash_s: float | None = None,
        vm: Vm | None = None,
        parts: Parts = (),
    ) -> Call:
        """Send a copy of a request to a VM."""
        vm = vm or self.random.choice(self.vms)
        request_id = RequestId(f"r{next(self.numbers)}")
        call = vm.calls[request_id] = Call(fingerprint, crash_s, vm, parts)
        spec = self.specify(request_id, call)
        self.schedule(PATIENCE_S, self.give_up, vm, request_id)
        self.execute(vm, vm.router.submit(spec, self.now))
        call.outcome = call.outcome or "open"
        return call

    def specify(self, request_id: RequestId, call: Call) -> RequestSpec:
        """Return the properties of a call for a router."""
        return RequestSpec(
            request_id,
            "arima",  # type: ignore[arg-type]
            "lookup",  # type: ignore[arg-type]
            POOL,  # type: ignore[arg-type]
            self.now,
            deadline=self.now + PATIENCE_S,
            fingerprint=call.fingerprint,
            streams=False,
            resumable=False,
            attempts=self.attempts,
        )

    def send_regularly(
        self, fingerprint: str, every_s: float, until: float, crash_s: float | None
    ) -> None:
        if self.now < until:
            self.send(fingerprint, crash_s)
            again = (fingerprint, every_s, until, crash_s)
            self.schedule(every_s, self.send_regularly, *again)

    def send_others(self, every_s: float, until: float) -> None:
        """Send requests that crash nothing, each with a body of its own."""
        if self.now < until:
            self.send(f"other-{next(self.numbers)}")
            wait_s = self.random.expovariate(1 / every_s)
            self.schedule(wait_s, self.send_others, every_s, until)

    def give_up(self, vm: Vm, request_id: RequestId) -> None:
        if request_id in vm.calls:
            self.end(vm, request_id, "gave up")
            reason = CancelReason.CALLER_GONE
            self.execute(vm, vm.router.cancel_request(request_id, reason, self.now))

    def end(self, vm: Vm, request_id: RequestId, outcome: str) -> None:
        call = vm.calls.pop(request_id, None)
        if call is not None:
            call.outcome = outcome
            kind = "other" if call.crash_s is None else call.fingerprint
            self.outcomes[kind, outcome] += 1

    # Routers

    def tick(self, vm: Vm) -> None:
        self.execute(vm, vm.router.tick(self.now))
        oldest = vm.router.active_requests.oldest_attempts().get(POOL)  # type: ignore[call-overload]
        was_unreachable = vm.connectivity.is_unreachable
        self.probe(vm, vm.connectivity.due_probes(oldest, self.now))
        if vm.connectivity.is_unreachable and not was_unreachable:
            vm.router.record_unreachable_pool(POOL, self.now)  # type: ignore[arg-type]
        elif was_unreachable and not vm.connectivity.is_unreachable:
            vm.router.record_reachable_pool(POOL, self.now)  # type: ignore[arg-type]
        if vm.connectivity.is_unreachable:
            self.ask_others(vm)
        self.share(vm)
        self.schedule(TICK_S, self.tick, vm)

    def probe(self, vm: Vm, backend_ids: list[BackendId]) -> None:
        for backend_id in backend_ids:
            accepts = self.reaches(vm, backend_id)
            outcome = ProbeOutcome.CONNECTED if accepts else ProbeOutcome.FAILED
            self.probe(vm, vm.connectivity.record_probe(backend_id, outcome, self.now))

    def reaches(self, vm: Vm, backend_id: BackendId) -> bool:
        """Return whether a connection to a server's address opens."""
        cut = self.vms.index(vm) in self.cut_vms
        return not cut and self.server_at(backend_id).is_up

    def ask_others(self, vm: Vm) -> None:
        """Tell a router whether other VMs reach servers, some time after it found none."""
        router = vm.router
        since = router.unreachable_since[POOL]  # type: ignore[index]
        if self.now < since + ASK_S:
            return
        if self.others_reach_servers(vm):
            router.record_lost_links(POOL)  # type: ignore[arg-type]
        else:
            lost = router.record_lost_servers(POOL, self.now)  # type: ignore[arg-type]
            self.execute(vm, lost)

    def others_reach_servers(self, vm: Vm) -> bool:
        """Return whether a VM that is asked finds a server that accepts connections."""
        others = (other for other in self.vms if other is not vm)
        return any(
            self.reaches(other, server.backend_id)
            for other in others
            for server in self.servers
        )

    def server_at(self, backend_id: BackendId) -> Server:
        return next(s for s in self.servers if backend_id.startswith(f"{s.zone}-"))

    def share(self, vm: Vm) -> None:
        """Write what the router observed to the table, as `CrashReports.run` does."""
        if vm.collects_at is None:
            if vm.router.has_poison_updates:
                vm.collects_at = self.now + GATHER_S
            return
        undecided = vm.connectivity.is_suspected or vm.connectivity.in_flight
        if self.now < vm.collects_at:
            return
        if undecided and self.now < vm.collects_at + MAX_PROBES_S:
            return
        vm.collects_at = None
        popped = vm.router.pop_poison_updates()
        fresh = [vm.router.refresh_poison_update(item, self.now) for item in popped]
        updates = [item for item in fresh if item and not isinstance(item, Placement)]
        if updates:
            self.rows.append((self.now, updates))
            for other in self.vms:
                if other is not vm:
                    self.deliver(other, updates)

    def deliver(self, vm: Vm, updates: list[PoisonUpdate]) -> None:
        """Have a VM read a report, unless that is lost."""
        if self.lost_reports and self.random.random() < self.lost_reports:
            return
        for _ in range(self.report_copies):
            delay_s = self.random.uniform(*self.report_delay_s)
            self.schedule(delay_s, self.apply, vm, self.now, updates)

    def apply(self, vm: Vm, at: float, updates: list[PoisonUpdate]) -> None:
        aged = [advance_ages(item, self.now - at) for item in updates]
        self.execute(vm, vm.router.apply_poison_updates(aged, self.now))

    def execute(self, vm: Vm, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Start():
                    self.schedule(LINK_S, self.start, vm, action)
                case Cancel():
                    for server in self.servers:
                        key = (action.request_id, action.attempt_id)
                        server.running.pop(key, None)
                case Refuse(code=code):
                    quarantined = code is RefusalCode.QUARANTINED
                    outcome = "quarantined" if quarantined else "refused"
                    self.end(vm, action.request_id, outcome)

    # Servers

    def start(self, vm: Vm, start: Start) -> None:
        call = vm.calls.get(start.request_id)
        if call is None:
            return
        server = self.server_at(start.backend_id)
        if not self.reaches(vm, start.backend_id):
            self.fail(vm, start, FailureKind.CONNECT)
        elif server.backend_id != start.backend_id:
            self.fail(vm, start, FailureKind.REFUSED)
        else:
            self.run_call(vm, start, call, server)

    def run_call(self, vm: Vm, start: Start, call: Call, server: Server) -> None:
        server.running[start.request_id, start.attempt_id] = call
        vm.connectivity.record_heard(start.backend_id, self.now)
        if call.crash_s is None:
            self.schedule(WORK_S, self.complete, vm, start, server)
        else:
            self.runs[call.fingerprint].append(self.now)
            ends = (server, server.number, call.fingerprint)
            self.schedule(call.crash_s, self.crash_from, *ends)

    def complete(self, vm: Vm, start: Start, server: Server) -> None:
        if server.running.pop((start.request_id, start.attempt_id), None) is None:
            return
        self.end(vm, start.request_id, "answered")
        ids = (start.request_id, start.attempt_id)
        self.execute(vm, vm.router.record_completion(*ids, self.now))

    def crash_from(self, server: Server, number: int, fingerprint: str) -> None:
        if server.is_up and server.number == number:
            self.crash(server)

    def cut(self, vm_numbers: set[int]) -> None:
        """Cut VMs off from all servers, and break what they run there."""
        self.cut_vms = vm_numbers
        cut = [self.vms[number] for number in vm_numbers]
        for server in self.servers:
            for key, call in list(server.running.items()):
                if call.vm in cut:
                    del server.running[key]
                    failed = Start(*key, server.backend_id)
                    self.schedule(LINK_S, self.fail, call.vm, failed, FailureKind.CUT)

    def crash_all(self) -> None:
        for server in self.servers:
            if server.is_up:
                self.crash(server)

    def crash(self, server: Server) -> None:
        """End a server; its successor starts some seconds later."""
        server.is_up = False
        lost, server.running = server.running, {}
        for fingerprint in {c.fingerprint for c in lost.values() if c.crash_s}:
            self.crashes[fingerprint].append(self.now)
        for (request_id, attempt_id), call in lost.items():
            failed = Start(request_id, attempt_id, server.backend_id)
            self.schedule(LINK_S, self.fail, call.vm, failed, FailureKind.CUT)
        for vm in self.vms:
            self.schedule(ROW_EXPIRY_S, self.unlist_server, vm, server.backend_id)
        self.schedule(DOWN_S, self.restart, server)

    def restart(self, server: Server) -> None:
        server.number += 1
        server.is_up = True
        for vm in self.vms:
            delay_s = self.random.uniform(*LIST_DELAY_S)
            listed = (vm, server.backend_id, server.zone)
            self.schedule(delay_s, self.list_server, *listed)

    def fail(self, vm: Vm, start: Start, kind: FailureKind) -> None:
        if kind in (FailureKind.CONNECT, FailureKind.CUT):
            vm.connectivity.record_failure()
        actions = vm.router.record_failure(
            start.request_id, start.attempt_id, kind, self.now
        )
        self.execute(vm, actions)

    def late_runs(self, fingerprint: str, contact_s: float = 3.0) -> int:
        """Return the runs that began later than `contact_s` after the third crash."""
        crashes = self.crashes[fingerprint]
        if len(crashes) < 3:
            return 0
        return sum(at > crashes[2] + contact_s for at in self.runs[fingerprint])
