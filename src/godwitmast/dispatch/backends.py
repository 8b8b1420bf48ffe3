"""The backend servers as dispatch knows them, and the choice among them.

Load pattern: servers of unlike load in several availability zones. Choosing the least
loaded of all by lagging reports sends every entry's work to the same server; choosing
at random lets some queue while others idle. Two random ones compared come close to the
best at no such risk (Mitzenmacher, "The Power of Two Choices in Randomized Load
Balancing", 2001).

A server has room while it is in the choice and below its learned limit. Servers with
room stand in a list for each pool and zone, so that a choice looks at two of them
however many there are. The own zone goes first; another zone gets work only while the
own one has no room, which by the learned limits means that the request would wait or
be slow there.
"""

import math
import random
from collections.abc import Collection
from dataclasses import dataclass, field

from godwitmast.dispatch.affinity import PrefixOrders, rendezvous, within_bound
from godwitmast.dispatch.census import RouterCount
from godwitmast.dispatch.health import (
    HEALTHY_FACTOR,
    SLOW_FACTOR,
    Condition,
    Health,
    may_eject,
)
from godwitmast.dispatch.limits import ServerLimit
from godwitmast.dispatch.loads import OtherLoad
from godwitmast.dispatch.messages import BackendSpec, LoadReport, RequestSpec
from godwitmast.dispatch.pace import GapWindow, PoolPace
from godwitmast.dispatch.placement import Placement, Running
from godwitmast.dispatch.warmup import (
    RESTART_NEWS_S,
    Warmup,
    WarmupLimit,
    safe_rate,
)
from godwitmast.types import BackendId, ZoneName

TARGET_MEMORY_S = 60.0
"""A class's target counts for a pool for this long after its last request there."""


SPILL_MARGIN = 0.3
"""Another zone's server is taken before its zone's turn if it is emptier by this part
of its limit, so that a straggler in the own zone does not make it wait for that."""


@dataclass(slots=True)
class BackendState:
    """One backend server with what this router has on it and has learned of it."""

    spec: BackendSpec
    in_flight: int = 0
    limit: ServerLimit = field(default_factory=ServerLimit)
    window: GapWindow = field(default_factory=GapWindow)
    health: Health = field(default_factory=Health)
    other: OtherLoad = field(default_factory=OtherLoad)
    token_at: float = 0.0
    first_token_cut_at: float = 0.0
    warmup: Warmup = field(default_factory=Warmup)
    cells: list["Cell"] = field(default_factory=list)

    def load(self, now: float) -> float:
        """Return the requests on the server, ours and others'."""
        return self.in_flight + self.other.estimate(now)

    @property
    def backend_id(self) -> BackendId:
        return self.spec.backend_id

    @property
    def zone(self) -> ZoneName:
        return self.spec.zone

    def has_room(self, now: float) -> bool:
        if not self.warmup.may_send(now):
            return False
        if self.limit.fixed:
            # What others have there is a guess that ages; one request of ours at a
            # time finds out.
            full = self.load(now) + 1 > self.limit.value
            return self.health.is_in() and (not full or not self.in_flight)
        return (
            self.health.is_in()
            and self.load(now) + 1 <= max(1.0, self.limit.value)
            and (self.other.claims >= 1 or not self.in_flight)
        )

    def fullness(self, now: float) -> float:
        """Return the part of the limit that is in use."""
        return self.load(now) / max(1.0, self.limit.value)

    def may_probe(self, now: float) -> bool:
        idle = not self.in_flight and self.warmup.may_send(now)
        return idle and self.health.may_probe(now)


class OpenSet:
    """A set of servers to draw from at random."""

    def __init__(self) -> None:
        self.items: list[BackendState] = []
        self.places: dict[BackendId, int] = {}

    def set(self, state: BackendState, member: bool) -> None:
        """Put the server in or take it out, in constant time."""
        backend_id = state.spec.backend_id
        place = self.places.get(backend_id)
        if member and place is None:
            self.places[backend_id] = len(self.items)
            self.items.append(state)
        elif not member and place is not None:
            del self.places[backend_id]
            last = self.items.pop()
            if last is not state:
                self.items[place] = last
                self.places[last.spec.backend_id] = place


@dataclass(slots=True)
class Cell:
    """The servers of one pool in one availability zone."""

    pool: "PoolView"
    members: dict[str, BackendState] = field(default_factory=dict)
    open: OpenSet = field(default_factory=OpenSet)
    probes: OpenSet = field(default_factory=OpenSet)
    orders: PrefixOrders = field(default_factory=PrefixOrders)
    in_flight: int = 0


@dataclass(slots=True)
class PoolView:
    """A pool's servers by zone, and what is usual among them."""

    cells: dict[ZoneName, Cell] = field(default_factory=dict)
    pace: PoolPace = field(default_factory=PoolPace)
    targets: dict[float, float] = field(default_factory=dict)
    servers: int = 0
    slow: int = 0
    placement: Placement = field(default_factory=Placement)

    def members(self) -> list[BackendState]:
        """Return the servers that are in the choice, with room or not."""
        return [
            state
            for cell in self.cells.values()
            for state in cell.members.values()
            if state.health.is_in()
        ]

    def target_gap(self, now: float) -> float | None:
        """Return the strictest time between tokens that classes lately asked for."""
        if not self.targets:
            return None
        for target, seen_at in list(self.targets.items()):
            if seen_at < now - TARGET_MEMORY_S:
                del self.targets[target]
        return min(self.targets, default=None)


class BackendTable:
    """The backend servers by pool, with room and choice."""

    def __init__(
        self, zone: ZoneName, seed: int = 0, count: RouterCount | None = None
    ) -> None:
        self.zone = zone
        self.count = count or RouterCount()
        self.warmups: dict[str, WarmupLimit] = {}
        self.random = random.Random(seed)
        self.states: dict[BackendId, BackendState] = {}
        self.pools: dict[str, PoolView] = {}
        self.returns: list[BackendState] = []
        self.cold: dict[BackendId, BackendState] = {}

    def update(self, specs: list[BackendSpec], now: float) -> None:
        """Take the list of servers; what is known of those that stay is kept."""
        old, old_pools = self.states, self.pools
        is_first = not old
        self.cold = {}
        self.states = {}
        self.pools = {}
        for spec in specs:
            known = old.get(spec.backend_id)
            if known is not None and known.spec.incarnation != spec.incarnation:
                # A flight that is still counted there ends on the state that is kept.
                known.health, known.window = Health(), GapWindow()
            state = known or BackendState(spec)
            self.note_start(state, spec, known is None, is_first, now)
            state.spec = spec
            if spec.places is not None:
                state.limit.value, state.limit.fixed = float(spec.places), True
            state.cells = []
            self.states[spec.backend_id] = state
            if not spec.closed:
                for pool in spec.pools:
                    self.add_to_pool(state, pool, old_pools)
        for state in self.states.values():
            self.refresh(state, now)

    def warmup_of(self, spec: BackendSpec) -> WarmupLimit | None:
        """Return what the server bears while it is cold, if that is bounded."""
        limits = (self.warmups.get(pool) for pool in spec.pools)
        return next((limit for limit in limits if limit is not None), None)

    def turn_period_s(self, spec: BackendSpec) -> float:
        """Return the time from one turn of this router at a cold server to the next."""
        limit = self.warmup_of(spec)
        return self.count.most / safe_rate(limit) if limit else math.inf

    def turns_per_s(self) -> float:
        """Return this router's turns a second at a cold server of the tightest pool."""
        rates = [safe_rate(limit) / self.count.most for limit in self.warmups.values()]
        return min(rates, default=0.0)

    def note_start(
        self,
        state: BackendState,
        spec: BackendSpec,
        is_new: bool,
        is_first: bool,
        now: float,
    ) -> None:
        """Update whether the server is cold from its entry in the list."""
        limit = self.warmup_of(spec)
        if limit is None:
            state.warmup = Warmup()
            return
        last = state.spec
        changed = (last.cold_s, last.incarnation) != (spec.cold_s, spec.incarnation)
        if spec.cold_s is not None and (is_new or changed):
            state.warmup.told(spec.cold_s, now)
        # A zone is given back with its servers cold, which their own rows may tell later.
        unsaid = spec.cold_s is None and is_new and not is_first
        if unsaid or (last.evacuated and not spec.evacuated):
            state.warmup.assume(now + limit.start_s)
        self.note_cold(state, now)

    def note_cold(self, state: BackendState, now: float) -> None:
        """Begin to take turns at a server that is cold."""
        if state.warmup.is_cold(now):
            self.cold[state.backend_id] = state
        state.warmup.advance(self.turn_period_s(state.spec), now, self.random)

    def unreachable(self, backend_id: BackendId, now: float) -> None:
        """Record a refused connection: the server may restart cold before its list entry."""
        state = self.states.get(backend_id)
        if state is None:
            return
        if self.warmup_of(state.spec) is not None:
            state.warmup.assume(now + RESTART_NEWS_S)
            self.note_cold(state, now)
        self.went_down(backend_id, now)
        self.refresh(state, now)

    def add_to_pool(
        self, state: BackendState, pool: str, old_pools: dict[str, PoolView]
    ) -> None:
        view = self.pools.get(pool)
        if view is None:
            view = self.pools[pool] = PoolView()
            known = old_pools.get(pool)
            if known is not None:
                view.pace, view.targets = known.pace, known.targets
                view.placement = known.placement
                view.placement.cheap = set()
        if state.spec.cheap:
            view.placement.cheap.add(state.backend_id)
        cell = view.cells.setdefault(state.spec.zone, Cell(view))
        cell.members[state.spec.backend_id] = state
        cell.in_flight += state.in_flight
        view.servers += 1
        view.slow += state.health.condition is Condition.SLOW
        state.cells.append(cell)

    def refresh(self, state: BackendState, now: float) -> None:
        """Put the server among those with room, or take it out."""
        has_room = state.has_room(now)
        may_probe = state.may_probe(now)
        for cell in state.cells:
            cell.open.set(state, has_room)
            cell.probes.set(state, may_probe)

    def serves(self, pool: str) -> bool:
        """Return whether any server that stays serves the pool."""
        return pool in self.pools

    def has_room(self, pool: str, now: float) -> bool:
        """Return whether some server can take one more request for `pool`."""
        view = self.pools.get(pool)
        return view is not None and any(
            cell.open.items or cell.probes.items for cell in view.cells.values()
        )

    def choose(
        self,
        request: RequestSpec,
        avoid: set[BackendId],
        now: float,
        may_probe: bool = False,
    ) -> BackendId | None:
        """Return the server for a request, or None if there is none but in `avoid`.

        A server that was out is probed by requests that `may_probe`, or when nothing
        else has room.
        """
        view = self.pools.get(request.pool)
        if view is None:
            return None
        own = view.cells.get(self.zone)
        others = [cell for zone, cell in view.cells.items() if zone != self.zone]
        self.random.shuffle(others)
        cells = [own, *others] if own is not None else others
        if may_probe:
            for cell in cells:
                for state in cell.probes.items[:1]:
                    if state.spec.backend_id not in avoid:
                        return state.spec.backend_id
        if request.parts:
            placed = self.place_prompt(view, request, avoid, now)
            if placed is not None:
                return placed
        picked = self.pick_near(cells, request, avoid, now)
        if picked is not None:
            return picked.spec.backend_id
        for cell in cells:
            for state in cell.probes.items:
                if state.spec.backend_id not in avoid:
                    return state.spec.backend_id
        return None

    def place_prompt(
        self,
        view: PoolView,
        request: RequestSpec,
        avoid: set[BackendId],
        now: float,
    ) -> BackendId | None:
        """Return the engine for a prompt whose parts are known."""
        states = view.members()
        members = [state.backend_id for state in states]
        running = Running(
            sum(state.load(now) for state in states),
            sum(state.limit.value for state in states) / max(1, len(states)),
        )
        open_engines = [
            state
            for cell in view.cells.values()
            for state in cell.open.items
            if state.backend_id not in avoid
        ]
        return view.placement.choose(
            request.prompt, members, open_engines, self.zone, now, running
        )

    def source_of(
        self, request: RequestSpec, backend_id: BackendId, now: float
    ) -> BackendId | None:
        """Return the engine that another one may copy a prompt's parts from."""
        view = self.pools.get(request.pool)
        if view is None or len(request.parts) < 2:
            return None
        members = [state.backend_id for state in view.members()]
        return view.placement.source(request.prompt, backend_id, members, now)

    def placement_of(self, request: RequestSpec) -> Placement | None:
        """Return what is known of the prompts in the request's pool, if it has any."""
        view = self.pools.get(request.pool)
        return view.placement if view is not None and request.parts else None

    def pick_near(
        self,
        cells: list[Cell],
        request: RequestSpec,
        avoid: set[BackendId],
        now: float,
    ) -> BackendState | None:
        """Return a server of the first cell that has room, or of a far emptier one.

        `cells` begins with the own zone's.
        """
        near: BackendState | None = None
        for cell in cells:
            picked = self.pick(cell, request, avoid, now)
            if near is None:
                near = picked
            elif picked is not None:
                far = picked.fullness(now) + SPILL_MARGIN < near.fullness(now)
                return picked if far else near
        return near

    def pick(
        self, cell: Cell, request: RequestSpec, avoid: set[BackendId], now: float
    ) -> BackendState | None:
        """Return a server of the cell with room, for its cache or for its load."""
        if not cell.open.items:
            return None
        if request.prefix:
            cached = self.pick_cached(cell, request.prefix, avoid, now)
            if cached is not None:
                return cached
        drawn = self.draw_two(cell, avoid)
        return min(drawn, key=lambda state: state.fullness(now), default=None)

    def pick_cached(
        self, cell: Cell, prefix: str, avoid: set[BackendId], now: float
    ) -> BackendState | None:
        """Return the first server in the prefix's order that has room for it."""
        mean = cell.in_flight / max(1, len(cell.members))
        for name in cell.orders.order(prefix, list(cell.members)):
            state = cell.members[name]
            if (
                state.spec.backend_id in cell.open.places
                and state.spec.backend_id not in avoid
                and within_bound(state.in_flight, mean)
            ):
                return state
        return None

    def draw_two(self, cell: Cell, avoid: set[BackendId]) -> list[BackendState]:
        """Return up to two random servers with room, none of them to avoid."""
        items = cell.open.items
        if avoid and any(backend_id in cell.open.places for backend_id in avoid):
            # Only a request that failed before avoids servers, so that this is rare.
            items = [item for item in items if item.spec.backend_id not in avoid]
        if len(items) <= 2:
            return list(items)
        first = int(self.random.random() * len(items))
        step = 1 + int(self.random.random() * (len(items) - 1))
        return [items[first], items[(first + step) % len(items)]]

    def draw_any(self, pool: str, now: float) -> BackendId | None:
        """Return the better of two random servers in the choice, full or not.

        They are of the own zone, unless it has none for the pool.
        """
        view = self.pools.get(pool)
        if view is None:
            return None
        cell = view.cells.get(self.zone) or next(iter(view.cells.values()))
        members = list(cell.members.values())
        drawn = [self.random.choice(members) for _ in range(2)]
        states = [
            state
            for state in drawn
            if state.health.is_in() and state.warmup.may_send(now)
        ]
        best = min(states, key=lambda s: s.in_flight / s.limit.value, default=None)
        return best.spec.backend_id if best else None

    def has_places(self, backend_id: BackendId) -> bool:
        """Return whether the server said how many requests it runs at a time."""
        return self.states[backend_id].limit.fixed

    def has_other(self, pool: str, taken: Collection[BackendId]) -> bool:
        """Return whether a server in the choice is not `taken`, or none is left."""
        view = self.pools.get(pool)
        cells = view.cells.values() if view is not None else ()
        left = [
            state.spec.backend_id in taken
            for cell in cells
            for state in cell.members.values()
            if state.health.is_in()
        ]
        return not left or not all(left)

    def choose_apart(
        self, request: RequestSpec, avoid: set[BackendId]
    ) -> BackendId | None:
        """Return the server for a suspect: entries choose unlike ones for unlike
        suspects, before they have heard of each other's."""
        view = self.pools.get(request.pool)
        names = [
            state.spec.backend_id
            for cell in (view.cells.values() if view else ())
            for state in cell.open.items
            if state.spec.backend_id not in avoid
        ]
        best = rendezvous(request.fingerprint, names)
        return BackendId(best[0]) if best else None

    def started(self, backend_id: BackendId, now: float) -> None:
        """Count a request onto a server."""
        state = self.states[backend_id]
        state.other.own_changed(state.in_flight, now)
        state.in_flight += 1
        state.warmup.sent(self.turn_period_s(state.spec), now)
        state.other.claims -= 1
        for cell in state.cells:
            cell.in_flight += 1
        self.refresh(state, now)

    def ended(self, backend_id: BackendId, now: float) -> None:
        """Count a request off a server, whatever became of it."""
        state = self.states.get(backend_id)
        if state is None:
            return
        state.other.own_changed(state.in_flight, now)
        state.in_flight -= 1
        state.other.claims += 1
        for cell in state.cells:
            cell.in_flight -= 1
        self.refresh(state, now)

    def load_reported(
        self, backend_id: BackendId, report: LoadReport, now: float
    ) -> None:
        """Take what a server said of its load, however it came here."""
        state = self.states.get(backend_id)
        if state is None:
            return
        state.limit.reported(report.running, report.waiting)
        state.other.reported(
            report, state.in_flight, state.limit.value, now, self.random
        )
        self.refresh(state, now)

    def first_token(
        self, backend_id: BackendId, pool: str, waited_s: float, late: bool, now: float
    ) -> None:
        """Take how long a server took to an attempt's first token."""
        state = self.states.get(backend_id)
        view = self.pools.get(pool)
        if state is None or view is None:
            return
        state.token_at = now
        view.pace.add_first_token(waited_s)
        if late and now - state.first_token_cut_at >= 1.0:
            state.first_token_cut_at = now
            state.limit.late(state.load(now))
        self.refresh(state, now)

    def token_gap(
        self, backend_id: BackendId, pool: str, gap_s: float, count: int, now: float
    ) -> bool:
        """Take tokens that came `gap_s` after the one before.

        Returns whether the server is now found to be a straggler.
        """
        state = self.states.get(backend_id)
        view = self.pools.get(pool)
        if state is None or view is None:
            return False
        state.token_at = now
        mean = state.window.add(gap_s, count, state.load(now), now)
        if mean is None:
            return False
        used = state.window.most_used
        state.window.restart(state.load(now))
        if state.health.is_in():
            view.pace.add_window(mean)
            state.limit.paced(mean, used, view.target_gap(now))
        slow = self.compare(state, view, mean, now)
        self.refresh(state, now)
        return slow

    def compare(
        self, state: BackendState, view: PoolView, mean: float, now: float
    ) -> bool:
        """Hold a window against the pool's median; return whether it ejects."""
        median = view.pace.median_gap_s
        if median is None:
            return False
        if mean > SLOW_FACTOR * median:
            return self.strike_slow(state, now)
        if mean < HEALTHY_FACTOR * median:
            state.health.slow_strikes = 0
            if state.health.condition is Condition.SLOW:
                self.bring_back(state, now)
        return False

    def strike_slow(self, state: BackendState, now: float) -> bool:
        """Count slowness; return whether it takes the server out just now."""
        health = state.health
        if health.condition is Condition.SLOW:
            health.take_out(Condition.SLOW, now, self.random)
            return True
        if not health.is_in() or not health.strike_slow():
            return False
        if not all(may_eject(c.pool.slow, c.pool.servers) for c in state.cells):
            return False
        self.take_out(state, Condition.SLOW, now)
        return True

    def timed_out(self, backend_id: BackendId, now: float) -> bool:
        """Take that nothing came for too long; return whether that ejects."""
        state = self.states.get(backend_id)
        if state is None:
            return False
        slow = self.strike_slow(state, now)
        self.refresh(state, now)
        return slow

    def last_token_at(self, backend_id: BackendId) -> float:
        """Return when any stream here last got a token from the server."""
        state = self.states.get(backend_id)
        return state.token_at if state is not None else 0.0

    def is_leaving(self, backend_id: BackendId) -> bool:
        state = self.states.get(backend_id)
        return state is None or state.spec.leaving

    def went_down(self, backend_id: BackendId, now: float) -> None:
        """Take that a server refused a connection, or broke one."""
        state = self.states.get(backend_id)
        if state is not None and (state.health.is_in() or state.may_probe(now)):
            self.take_out(state, Condition.DOWN, now)

    def answered_with_error(self, backend_id: BackendId, now: float) -> None:
        """Take that a server failed to serve a request that reached it."""
        state = self.states.get(backend_id)
        if state is None:
            return
        if not state.health.is_in() or state.health.strike_error():
            self.take_out(state, Condition.DOWN, now)

    def refused(self, backend_id: BackendId, now: float) -> None:
        """Take that a server would not run a request: it has less room than we think."""
        state = self.states.get(backend_id)
        if state is None:
            return
        state.limit.late(state.limit.value)
        self.answered_with_error(backend_id, now)
        self.refresh(state, now)

    def served(
        self, backend_id: BackendId, latency_s: float | None, now: float
    ) -> None:
        """Take a whole answer; `latency_s` is given where there are no tokens."""
        state = self.states.get(backend_id)
        if state is None:
            return
        if latency_s is not None:
            state.limit.answered(latency_s, state.load(now))
        state.health.served()
        if state.health.condition is Condition.DOWN:
            self.bring_back(state, now)
        self.refresh(state, now)

    def take_out(self, state: BackendState, condition: Condition, now: float) -> None:
        was_slow = state.health.condition is Condition.SLOW
        state.health.take_out(condition, now, self.random)
        self.count_slow(state, (condition is Condition.SLOW) - was_slow)
        state.window.restart(0.0)
        self.returns.append(state)
        self.refresh(state, now)

    def bring_back(self, state: BackendState, now: float) -> None:
        """Let a server that passed its probe in again, with a small limit."""
        self.count_slow(state, -(state.health.condition is Condition.SLOW))
        state.health.bring_back()
        state.limit.restart()
        self.refresh(state, now)

    def count_slow(self, state: BackendState, change: int) -> None:
        for cell in state.cells:
            cell.pool.slow += change

    def tick(self, now: float) -> None:
        """Offer servers whose time out is over to probes, and cold ones in turn."""
        for state in list(self.cold.values()):
            state.warmup.advance(self.turn_period_s(state.spec), now, self.random)
            self.refresh(state, now)
            if not state.warmup.is_cold(now):
                del self.cold[state.backend_id]
        still_out = []
        for state in self.returns:
            if state.health.is_in():
                continue
            if state.health.may_probe(now):
                self.refresh(state, now)
            still_out.append(state)
        self.returns = still_out

    def note_target(self, pool: str, target_gap_s: float | None, now: float) -> None:
        """Remember that a class with this target runs on the pool."""
        view = self.pools.get(pool)
        if view is not None and target_gap_s is not None:
            view.targets[target_gap_s] = now
