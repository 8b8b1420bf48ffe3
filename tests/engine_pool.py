"""Engines that crash on parts of prompts, before several routers, in virtual time."""

from collections.abc import Iterable
from functools import partial

from godwitmast.config.document import Document
from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.messages import RequestSpec, Start
from godwitmast.dispatch.placement import PromptPart
from small_pool import POOL, Call, Server, SmallPool, Vm

ENGINES = 10
PLACES = 32
FIRST_TOKEN_S = 0.15
TOKEN_EVERY_S = 0.1
TOKENS = 15
CRASH_S = FIRST_TOKEN_S + 0.06
CONTACT_S = 3.0
ALLOWED_CRASHES = 5
SHARED = PromptPart("shared", 800)


def make_document(version: int = 1) -> Document:
    return parse_document(
        {
            "classes": {"chat": {"tier": 1, "first_token_s": 1.0}},
            "teams": {"arima": {}, f"team-{version}": {}},
            "models": {POOL: {}},
        }
    )


class EnginePool(SmallPool):
    """Engines that stream answers, of which each crashes on some parts of prompts."""

    document = staticmethod(make_document)

    def __init__(self, vms: int, seed: int, engines: int = ENGINES) -> None:
        super().__init__(vms, seed, engines)
        self.deadly: set[str] = set()
        self.deadly_requests_write = False
        """Whether requests that crash their engines write tokens until then."""
        self.part_crashes: dict[str, list[float]] = {}
        self.part_runs: dict[str, list[float]] = {}
        self.sound_calls: list[tuple[float, Call]] = []

    def send_prompts(
        self, parts: Iterable[str], every_s: float, until: float, vm: Vm | None = None
    ) -> None:
        """Send prompts with these parts, each with a last part of its own."""
        if self.now >= until:
            return
        names = list(parts)
        number = next(self.numbers)
        prompt = [
            *(
                SHARED if name == SHARED.part_id else PromptPart(name, 400)
                for name in names
            ),
            PromptPart(f"own-{number}", 250),
        ]
        is_deadly = not self.deadly.isdisjoint(names)
        crash_s = CRASH_S if is_deadly else None
        call = self.send(f"f{number}", crash_s, vm, tuple(prompt))
        if not is_deadly:
            self.sound_calls.append((self.now, call))
        wait_s = self.random.expovariate(1 / every_s)
        self.schedule(wait_s, partial(self.send_prompts, names, every_s, until, vm))

    def specify(self, request_id, call: Call) -> RequestSpec:  # type: ignore[no-untyped-def]
        spec = super().specify(request_id, call)
        return spec._replace(
            class_name="chat",  # type: ignore[arg-type]
            prompt_tokens=sum(part.tokens for part in call.parts),
            streams=True,
            resumable=True,
            parts=call.parts,
        )

    def list_server(self, vm: Vm, backend_id, zone: str) -> None:  # type: ignore[no-untyped-def]
        super().list_server(vm, backend_id, zone)
        vm.listed[backend_id] = vm.listed[backend_id]._replace(places=PLACES)
        self.update_list(vm)

    def run_call(self, vm: Vm, start: Start, call: Call, server: Server) -> None:
        super().run_call(vm, start, call, server)
        for name in self.deadly_parts(call):
            self.part_runs.setdefault(name, []).append(self.now)
        if call.crash_s is None or self.deadly_requests_write:
            write = partial(self.write_token, vm, start, server, 1)
            self.schedule(FIRST_TOKEN_S, write)

    def deadly_parts(self, call: Call) -> list[str]:
        names = {part.part_id for part in call.parts[:-1]}
        return sorted(names & self.deadly)

    def complete(self, vm: Vm, start: Start, server: Server) -> None:
        """Streams end with their last token."""

    def write_token(self, vm: Vm, start: Start, server: Server, number: int) -> None:
        key = (start.request_id, start.attempt_id)
        if key not in server.running:
            return
        vm.connectivity.record_heard(start.backend_id, self.now)
        self.execute(vm, vm.router.record_tokens(*key, 1, self.now))
        if number == TOKENS:
            super().complete(vm, start, server)
            return
        write = partial(self.write_token, vm, start, server, number + 1)
        self.schedule(TOKEN_EVERY_S, write)

    def crash(self, server: Server) -> None:
        names = {n for call in server.running.values() for n in self.deadly_parts(call)}
        for name in names:
            self.part_crashes.setdefault(name, []).append(self.now)
        super().crash(server)

    def late_part_runs(self, name: str) -> int:
        """Return the runs of a part later than `CONTACT_S` after its fifth crash."""
        crashes = self.part_crashes.get(name, [])
        if len(crashes) < ALLOWED_CRASHES:
            return 0
        limit = crashes[ALLOWED_CRASHES - 1] + CONTACT_S
        return sum(at > limit for at in self.part_runs[name])

    def served_share(self) -> float:
        """Return the share of sound requests that were answered, of those sent later
        than twice `CONTACT_S` after the fifth crash."""
        times = sorted(at for crashes in self.part_crashes.values() for at in crashes)
        limit = times[ALLOWED_CRASHES - 1] + 2 * CONTACT_S
        late = [call for at, call in self.sound_calls if at > limit]
        return sum(call.outcome == "answered" for call in late) / len(late)

    def quarantined_parts(self) -> set[frozenset[str]]:
        guards = (vm.router.part_guard for vm in self.vms)
        return {group.ids for guard in guards for group in guard.quarantined}

    def crash_if_up(self, server: Server) -> None:
        if server.is_up:
            self.crash(server)
