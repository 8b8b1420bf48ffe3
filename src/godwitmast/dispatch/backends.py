"""The backend servers that dispatch knows, and the choice among them.

Load pattern: servers with different loads in several availability zones. Choosing the
least loaded of all by delayed reports sends every entry's requests to the same server;
choosing at random lets requests queue on some while others idle. The better of two
random ones comes close to the best without that risk (Mitzenmacher, "The Power of Two
Choices in Randomized Load Balancing", 2001).

A server has room while it is in rotation and below its learned limit. Servers with room
are indexed by pool and zone, so that a choice looks at two of them however many there
are. The own zone comes first; another zone gets requests only while the own one has no
room, which by the learned limits means that the request would wait or be slow there.
"""

import math
import random
from collections.abc import Collection
from dataclasses import dataclass, field

from godwitmast.dispatch.affinity import PrefixOrders, rendezvous, within_bound
from godwitmast.dispatch.health import (
    HEALTHY_FACTOR,
    MAX_EJECTION_S,
    SLOW_FACTOR,
    Condition,
    Health,
    may_eject_as_slow,
)
from godwitmast.dispatch.limits import ServerLimit
from godwitmast.dispatch.messages import BackendSpec, LoadReport, RequestSpec
from godwitmast.dispatch.other_load import MeanOtherLoad, OtherLoad
from godwitmast.dispatch.pace import GapWindow, PoolPace
from godwitmast.dispatch.placement import PoolLoad, PromptPlacement
from godwitmast.dispatch.rate_limit import ASSUMED_ROUTERS, RateLimit
from godwitmast.dispatch.rejection_limit import RejectionLimit, ServerUsage
from godwitmast.dispatch.rest import Rest
from godwitmast.dispatch.router_count import RouterCount
from godwitmast.dispatch.warmup import (
    RESTART_DETECTION_S,
    Warmup,
    WarmupLimit,
    safe_rate_per_s,
)
from godwitmast.measurements.messages import SpeedSample
from godwitmast.speed.placement import Situation
from godwitmast.speed.table import SpeedTable
from godwitmast.types import BackendId, ZoneName

TARGET_RETENTION_S = 60.0
"""How long a class's target counts for a pool after its last request there."""

RETURN_WAIT_S = 2.5
"""How long requests wait for the servers of a pool once all of them have left the list.
Servers that could not reach the platform for a moment are listed again soon after it."""

RETAINED_S = MAX_EJECTION_S
"""How long what is known of a server is kept after its entry left the list: an entry also
expires while its server runs on, but can't reach the platform."""

SPILL_MARGIN = 0.3
"""A server of another zone is preferred if its utilisation is lower by this much, so
that a straggler in the own zone is not used while other zones have idle servers."""


@dataclass(slots=True)
class BackendState:
    """One backend server, this router's requests on it, and what was measured of it."""

    spec: BackendSpec
    in_flight: int = 0
    limit: ServerLimit = field(default_factory=ServerLimit)
    gap_window: GapWindow = field(default_factory=GapWindow)
    health: Health = field(default_factory=Health)
    other_load: OtherLoad = field(default_factory=OtherLoad)
    last_token_at: float = 0.0
    late_first_token_at: float = 0.0
    warmup: Warmup = field(default_factory=Warmup)
    rate_limit: RateLimit = field(default_factory=RateLimit)
    rejection_limit: RejectionLimit = field(default_factory=RejectionLimit)
    rest: Rest = field(default_factory=Rest)
    cells: list["Cell"] = field(default_factory=list)
    unlisted_at: float = 0.0
    """When its entry left the list, if it did."""
    routers: float = ASSUMED_ROUTERS
    """Routers that share the server; kept up to date while it states a limit."""

    def load(self, now: float) -> float:
        """Return the estimated number of requests on the server, ours and others'."""
        return self.in_flight + self.other_load.estimate(now)

    def expected_load(self, mean: float, now: float) -> float:
        """Return the expected number of requests on the server, of which an old report
        tells less than the pool's mean."""
        return self.in_flight + self.other_load.expect(mean, now)

    @property
    def places(self) -> float:
        return self.limit.value

    @property
    def backend_id(self) -> BackendId:
        return self.spec.backend_id

    @property
    def zone(self) -> ZoneName:
        return self.spec.zone

    def may_send(self, now: float) -> bool:
        """Return whether this router may send the server a request now."""
        return (
            self.rest.may_send(now)
            and self.warmup.may_send(now)
            and self.rate_limit.may_send(now)
            and self.rejection_limit.may_send(self.usage, now)
        )

    @property
    def usage(self) -> ServerUsage:
        return ServerUsage(
            self.in_flight, self.other_load, self.limit.value, self.routers
        )

    @property
    def has_turns(self) -> bool:
        """Return whether a limit that it states has this router take turns."""
        limits = (self.rate_limit.per_s, self.rejection_limit.per_s)
        return any(limit is not None for limit in limits)

    def has_room(self, now: float) -> bool:
        if not self.may_send(now):
            return False
        if self.limit.fixed:
            # Others' requests there are an estimate that ages; one request of ours at a
            # time shows whether the server has room.
            full = self.load(now) + 1 > self.limit.value
            return self.health.is_in_rotation() and (not full or not self.in_flight)
        return (
            self.health.is_in_rotation()
            and self.load(now) + 1 <= max(1.0, self.limit.value)
            and (self.other_load.claimable >= 1 or not self.in_flight)
        )

    def utilisation(self, now: float) -> float:
        """Return the share of the limit that is in use."""
        return self.load(now) / max(1.0, self.limit.value)

    def may_probe(self, now: float) -> bool:
        idle = not self.in_flight and self.may_send(now)
        return idle and self.health.may_probe(now)


class IndexedSet:
    """A set of servers that can be sampled at random by index."""

    def __init__(self) -> None:
        self.items: list[BackendState] = []
        self.positions: dict[BackendId, int] = {}

    def set(self, state: BackendState, member: bool) -> None:
        """Add or remove the server, in constant time."""
        backend_id = state.spec.backend_id
        position = self.positions.get(backend_id)
        if member and position is None:
            self.positions[backend_id] = len(self.items)
            self.items.append(state)
        elif not member and position is not None:
            del self.positions[backend_id]
            last = self.items.pop()
            if last is not state:
                self.items[position] = last
                self.positions[last.spec.backend_id] = position


@dataclass(slots=True)
class Cell:
    """The servers of one pool in one availability zone."""

    pool: "PoolView"
    members: dict[str, BackendState] = field(default_factory=dict)
    with_room: IndexedSet = field(default_factory=IndexedSet)
    probeable: IndexedSet = field(default_factory=IndexedSet)
    prefix_orders: PrefixOrders = field(default_factory=PrefixOrders)
    in_flight: int = 0


@dataclass(slots=True)
class PoolView:
    """A pool's servers by zone, and their usual latencies."""

    cells: dict[ZoneName, Cell] = field(default_factory=dict)
    by_version: dict[str, set[BackendId]] = field(default_factory=dict)
    """The servers by the version of their software."""
    pace: PoolPace = field(default_factory=PoolPace)
    targets: dict[float, float] = field(default_factory=dict)
    server_count: int = 0
    slow_count: int = 0
    placement: PromptPlacement = field(default_factory=PromptPlacement)
    mean_other_load: MeanOtherLoad = field(default_factory=MeanOtherLoad)
    unlisted_at: float = 0.0
    """When its last server left the list, if none is in it."""

    def members(self) -> list[BackendState]:
        """Return the servers in rotation, with room or not."""
        return [
            state
            for cell in self.cells.values()
            for state in cell.members.values()
            if state.health.is_in_rotation()
        ]

    def members_by_id(self) -> dict[str, BackendState]:
        """Return all servers of the pool, in rotation or not."""
        cells = self.cells.values()
        return {name: state for cell in cells for name, state in cell.members.items()}

    def expected_requests(self, states: list[BackendState], now: float) -> float:
        """Return the expected number of requests on some of the pool's servers."""
        mean = self.mean_other_load.value
        return sum(
            state.in_flight + state.other_load.expect(mean, now) for state in states
        )

    def strictest_gap_s(self, now: float) -> float | None:
        """Return the strictest inter-token gap that recently used classes ask for."""
        if not self.targets:
            return None
        for target, seen_at in list(self.targets.items()):
            if seen_at < now - TARGET_RETENTION_S:
                del self.targets[target]
        return min(self.targets, default=None)


class BackendTable:
    """The backend servers by pool."""

    def __init__(
        self, zone: ZoneName, seed: int = 0, router_count: RouterCount | None = None
    ) -> None:
        self.zone = zone
        self.router_count = router_count or RouterCount()
        self.warmup_limits: dict[str, WarmupLimit] = {}
        self.random = random.Random(seed)
        self.states: dict[BackendId, BackendState] = {}
        self.unlisted: dict[BackendId, BackendState] = {}
        """Servers that left the list lately, or on which requests of before still run."""
        self.pools: dict[str, PoolView] = {}
        self.unlisted_pools: dict[str, PoolView] = {}
        """Pools all of whose servers left the list lately."""
        self.ejected: list[BackendState] = []
        self.cold_servers: dict[BackendId, BackendState] = {}
        self.limited_servers: dict[BackendId, BackendState] = {}
        self.resting_servers: dict[BackendId, BackendState] = {}
        self.speeds = SpeedTable(zone, seed)

    def update(self, specs: list[BackendSpec], now: float) -> None:
        """Replace the list of servers; the state of those that stay or return is kept."""
        old = {**self.unlisted, **self.states}
        old_pools = {**self.unlisted_pools, **self.pools}
        listed_before = self.states
        is_first_list = not old
        self.cold_servers = {}
        self.limited_servers = {}
        self.resting_servers = {}
        self.states = {}
        self.pools = {}
        for spec in specs:
            is_new = spec.backend_id not in listed_before
            state = state_of(spec, old.get(spec.backend_id), is_new)
            self.update_warmup(state, spec, is_new, is_first_list, now)
            state.spec = spec
            if state.has_turns:
                self.limited_servers[spec.backend_id] = state
            if state.rest.left_s(now):
                self.resting_servers[spec.backend_id] = state
            if spec.places is not None:
                state.limit.value, state.limit.fixed = float(spec.places), True
            state.cells = []
            self.states[spec.backend_id] = state
            if not spec.closed:
                for pool in spec.pools:
                    self.add_to_pool(state, pool, old_pools)
        self.keep_unlisted(old, old_pools, now)
        self.ejected = [
            state for state in self.states.values() if not state.health.is_in_rotation()
        ]
        for state in self.states.values():
            self.refresh(state, now)
        self.speeds.update(specs)

    def keep_unlisted(
        self,
        old: dict[BackendId, BackendState],
        old_pools: dict[str, PoolView],
        now: float,
    ) -> None:
        """Keep what is known of servers and pools that are not in the list now."""
        just_left = [
            state
            for backend_id, state in old.items()
            if backend_id not in self.states and backend_id not in self.unlisted
        ]
        for state in just_left:
            state.cells, state.unlisted_at = [], now
        self.unlisted = {k: v for k, v in old.items() if k not in self.states}
        self.unlisted_pools = {
            k: v for k, v in old_pools.items() if k not in self.pools
        }
        for view in self.unlisted_pools.values():
            if view.cells:
                view.cells, view.unlisted_at = {}, now
        self.forget_unlisted(now)

    def forget_unlisted(self, now: float) -> None:
        """Forget servers and pools that left the list long ago; a server only once no
        request runs there."""
        gone = [
            backend_id
            for backend_id, state in self.unlisted.items()
            if not state.in_flight and now >= state.unlisted_at + RETAINED_S
        ]
        for backend_id in gone:
            del self.unlisted[backend_id]
        gone_pools = [
            name
            for name, view in self.unlisted_pools.items()
            if now >= view.unlisted_at + RETAINED_S
        ]
        for name in gone_pools:
            del self.unlisted_pools[name]

    def warmup_limit_of(self, spec: BackendSpec) -> WarmupLimit | None:
        """Return what the server can handle while it is cold, if that is bounded."""
        limits = (self.warmup_limits.get(pool) for pool in spec.pools)
        return next((limit for limit in limits if limit is not None), None)

    def turn_period_s(self, spec: BackendSpec) -> float:
        """Return the time between two turns of this router at a cold server, in
        seconds."""
        limit = self.warmup_limit_of(spec)
        return (
            self.router_count.upper_bound / safe_rate_per_s(limit)
            if limit
            else math.inf
        )

    def turns_per_s(self) -> float:
        """Return this router's turns a second at a cold server of the pool with the
        lowest rate."""
        rates = [
            safe_rate_per_s(limit) / self.router_count.upper_bound
            for limit in self.warmup_limits.values()
        ]
        return min(rates, default=0.0)

    def update_warmup(
        self,
        state: BackendState,
        spec: BackendSpec,
        is_new: bool,
        is_first_list: bool,
        now: float,
    ) -> None:
        """Update whether the server is cold from its entry in the list."""
        limit = self.warmup_limit_of(spec)
        if limit is None:
            state.warmup = Warmup()
            return
        last = state.spec
        changed = (last.cold_s, last.incarnation) != (spec.cold_s, spec.incarnation)
        if spec.cold_s is not None and (is_new or changed):
            state.warmup.record_report(spec.cold_s, now)
        # When the evacuation of a zone ends its servers are cold, and their own rows may
        # report that later.
        is_unreported = spec.cold_s is None and is_new and not is_first_list
        if is_unreported or (last.evacuated and not spec.evacuated):
            state.warmup.assume_cold(now + limit.start_s)
        self.track_cold(state, now)

    def track_cold(self, state: BackendState, now: float) -> None:
        """Start turns at the server if it is cold."""
        if state.warmup.is_cold(now):
            self.cold_servers[state.backend_id] = state
        state.warmup.advance(self.turn_period_s(state.spec), now, self.random)

    def record_unreachable(self, backend_id: BackendId, now: float) -> None:
        """Eject a server that refused a connection; it may restart cold before its list
        entry says so."""
        state = self.states.get(backend_id)
        if state is None:
            return
        if self.warmup_limit_of(state.spec) is not None:
            state.warmup.assume_cold(now + RESTART_DETECTION_S)
            self.track_cold(state, now)
        self.record_connection_failure(backend_id, now)
        self.refresh(state, now)

    def add_to_pool(
        self, state: BackendState, pool: str, old_pools: dict[str, PoolView]
    ) -> None:
        view = self.pools.get(pool)
        if view is None:
            view = self.pools[pool] = PoolView()
            previous = old_pools.get(pool)
            if previous is not None:
                view.pace, view.targets = previous.pace, previous.targets
                view.placement = previous.placement
                view.mean_other_load = previous.mean_other_load
                view.placement.cheap = set()
        if state.spec.cheap:
            view.placement.cheap.add(state.backend_id)
        cell = view.cells.setdefault(state.spec.zone, Cell(view))
        cell.members[state.spec.backend_id] = state
        cell.in_flight += state.in_flight
        view.by_version.setdefault(state.spec.version, set()).add(state.backend_id)
        view.server_count += 1
        view.slow_count += state.health.condition is Condition.SLOW
        state.cells.append(cell)

    def refresh(self, state: BackendState, now: float) -> None:
        """Update the server's membership in the sets of servers with room and to be
        probed."""
        has_room = state.has_room(now)
        may_probe = state.may_probe(now)
        for cell in state.cells:
            cell.with_room.set(state, has_room)
            cell.probeable.set(state, may_probe)

    def version_of(self, backend_id: BackendId) -> str | None:
        """Return the software version of a listed server."""
        state = self.states.get(backend_id)
        return state.spec.version if state is not None else None

    def of_version(self, pool: str, version: str) -> set[BackendId]:
        """Return the servers of a pool that run this version and take requests."""
        view = self.pools.get(pool)
        return view.by_version.get(version, set()) if view is not None else set()

    def of_other_versions(self, pool: str, version: str | None) -> set[BackendId]:
        """Return the servers of a pool on which a stream of `version` can't go on."""
        view = self.pools.get(pool)
        if version is None or view is None:
            return set()
        others = (names for v, names in view.by_version.items() if v != version)
        return set().union(*others)

    def serves(self, pool: str) -> bool:
        """Return whether any server that is not leaving or evacuated serves the
        pool."""
        return pool in self.pools

    def was_served_lately(self, pool: str, now: float) -> bool:
        """Return whether the pool's last server left so lately that it may be back."""
        view = self.unlisted_pools.get(pool)
        return view is not None and now < view.unlisted_at + RETURN_WAIT_S

    def has_room(self, pool: str, now: float) -> bool:
        """Return whether some server can accept one more request for `pool`."""
        view = self.pools.get(pool)
        return view is not None and any(
            cell.with_room.items or cell.probeable.items for cell in view.cells.values()
        )

    def choose(
        self,
        request: RequestSpec,
        avoid: set[BackendId],
        now: float,
        may_probe: bool = False,
    ) -> BackendId | None:
        """Return the server for a request, or None if all that have room are in
        `avoid`.

        An ejected server is probed by requests that `may_probe`, or when no other has
        room.
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
                for state in cell.probeable.items[:1]:
                    if state.spec.backend_id not in avoid:
                        return state.spec.backend_id
        if request.parts:
            placed = self.place_prompt(view, request, avoid, now)
            if placed is not None:
                return placed
        picked = self.pick_by_zone(cells, request, avoid, now)
        if picked is not None:
            return picked.spec.backend_id
        for cell in cells:
            for state in cell.probeable.items:
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
        pool_load = PoolLoad(
            view.expected_requests(states, now),
            sum(state.limit.value for state in states) / max(1, len(states)),
        )
        open_engines = [
            state
            for cell in view.cells.values()
            for state in cell.with_room.items
            if state.backend_id not in avoid
        ]
        if self.speeds.is_used(request.pool):
            situation = Situation(
                view.placement,
                states,
                open_engines,
                self.zone,
                pool_load,
                view.mean_other_load.value,
                max(1, self.router_count.routers),
                self.speeds.may_copy(request.pool),
            )
            return self.speeds.choose(request, situation, now)
        return view.placement.choose(
            request.prompt, members, open_engines, self.zone, now, pool_load
        )

    def copy_source(
        self, request: RequestSpec, backend_id: BackendId, now: float
    ) -> BackendId | None:
        """Return the engine from which `backend_id` may copy a prompt's parts, if there
        is one; other versions of the software may store them in another way."""
        view = self.pools.get(request.pool)
        if view is None or len(request.parts) < 2:
            return None
        others = self.of_other_versions(request.pool, self.version_of(backend_id))
        forecast = self.speeds.forecast_of(request, backend_id)
        if forecast is not None:
            return forecast.source if forecast.source not in others else None
        members = [
            state.backend_id
            for state in view.members()
            if state.backend_id not in others
        ]
        return view.placement.copy_source(request.prompt, backend_id, members, now)

    def placement_of(self, request: RequestSpec) -> PromptPlacement | None:
        """Return the prompt placement of the request's pool, if the request's parts are
        known."""
        view = self.pools.get(request.pool) or self.unlisted_pools.get(request.pool)
        return view.placement if view is not None and request.parts else None

    def pick_by_zone(
        self,
        cells: list[Cell],
        request: RequestSpec,
        avoid: set[BackendId],
        now: float,
    ) -> BackendState | None:
        """Return a server of the first cell with room, or of a much emptier one.

        `cells` begins with the own zone's.
        """
        nearest: BackendState | None = None
        for cell in cells:
            picked = self.pick(cell, request, avoid, now)
            if nearest is None:
                nearest = picked
            elif picked is not None and self.speeds.is_used(request.pool):
                return self.speeds.fastest(request.pool, [nearest, picked], now)
            elif picked is not None:
                emptier = picked.utilisation(now) + SPILL_MARGIN < nearest.utilisation(
                    now
                )
                return picked if emptier else nearest
        return nearest

    def pick(
        self, cell: Cell, request: RequestSpec, avoid: set[BackendId], now: float
    ) -> BackendState | None:
        """Return a server of the cell with room, by cached prefix or else by load."""
        if not cell.with_room.items:
            return None
        if request.prefix:
            cached = self.pick_by_prefix(cell, request.prefix, avoid, now)
            if cached is not None:
                return cached
        sampled = self.sample_two(cell, avoid)
        if self.speeds.is_used(request.pool):
            return self.speeds.fastest(request.pool, sampled, now)
        return min(sampled, key=lambda state: state.utilisation(now), default=None)

    def pick_by_prefix(
        self, cell: Cell, prefix: str, avoid: set[BackendId], now: float
    ) -> BackendState | None:
        """Return the first server in the prefix's order that may get one more request
        for it."""
        mean = cell.in_flight / max(1, len(cell.members))
        for name in cell.prefix_orders.order(prefix, list(cell.members)):
            state = cell.members[name]
            if (
                state.spec.backend_id in cell.with_room.positions
                and state.spec.backend_id not in avoid
                and within_bound(state.in_flight, mean)
            ):
                return state
        return None

    def sample_two(self, cell: Cell, avoid: set[BackendId]) -> list[BackendState]:
        """Return up to two random servers with room that are not in `avoid`."""
        items = cell.with_room.items
        if avoid and any(
            backend_id in cell.with_room.positions for backend_id in avoid
        ):
            # Only a request that failed before avoids servers, so that this scan is rare.
            items = [item for item in items if item.spec.backend_id not in avoid]
        if len(items) <= 2:
            return list(items)
        first = int(self.random.random() * len(items))
        step = 1 + int(self.random.random() * (len(items) - 1))
        return [items[first], items[(first + step) % len(items)]]

    def sample_ignoring_room(self, pool: str, now: float) -> BackendId | None:
        """Return the less utilised of two random servers in rotation, full or not.

        They are in the own zone, unless it has none for the pool.
        """
        view = self.pools.get(pool)
        if view is None:
            return None
        cell = view.cells.get(self.zone) or next(iter(view.cells.values()))
        members = list(cell.members.values())
        sampled = [self.random.choice(members) for _ in range(2)]
        states = [
            state
            for state in sampled
            if state.health.is_in_rotation() and state.may_send(now)
        ]
        best = min(states, key=lambda s: s.in_flight / s.limit.value, default=None)
        return best.spec.backend_id if best else None

    def has_places(self, backend_id: BackendId) -> bool:
        """Return whether the server reported how many requests it runs at a time."""
        return self.states[backend_id].limit.fixed

    def has_server_outside(self, pool: str, taken: Collection[BackendId]) -> bool:
        """Return whether a server in rotation is not in `taken`, or none is in
        rotation."""
        view = self.pools.get(pool)
        cells = view.cells.values() if view is not None else ()
        left = [
            state.spec.backend_id in taken
            for cell in cells
            for state in cell.members.values()
            if state.health.is_in_rotation()
        ]
        return not left or not all(left)

    def choose_for_suspect(
        self, request: RequestSpec, avoid: set[BackendId]
    ) -> BackendId | None:
        """Return the server for a suspect.

        Entries choose different servers for different suspects, even before they have
        learned of each other's choices.
        """
        view = self.pools.get(request.pool)
        names = [
            state.spec.backend_id
            for cell in (view.cells.values() if view else ())
            for state in cell.with_room.items
            if state.spec.backend_id not in avoid
        ]
        best = rendezvous(request.fingerprint, names)
        return BackendId(best[0]) if best else None

    def add_request(self, backend_id: BackendId, now: float) -> None:
        """Count a request that starts on a server."""
        state = self.states[backend_id]
        state.rejection_limit.use_turn(state.usage)
        state.other_load.update_own(state.in_flight, now)
        state.in_flight += 1
        state.warmup.use_turn(self.turn_period_s(state.spec), now)
        state.rate_limit.use_turn(self.assumed_routers)
        state.rest.record_start()
        state.other_load.claimable -= 1
        for cell in state.cells:
            cell.in_flight += 1
        self.refresh(state, now)

    def remove_request(self, backend_id: BackendId, now: float) -> None:
        """Uncount a request whose attempt ended, however it ended."""
        state = self.states.get(backend_id) or self.unlisted.get(backend_id)
        assert state is not None, "a server is known while a request runs there"
        state.other_load.update_own(state.in_flight, now)
        state.in_flight -= 1
        state.rest.record_end()
        state.other_load.claimable += 1
        for cell in state.cells:
            cell.in_flight -= 1
        self.refresh(state, now)

    def record_load(
        self, backend_id: BackendId, report: LoadReport, now: float
    ) -> None:
        """Apply a server's load report, whatever its source."""
        state = self.states.get(backend_id)
        if state is None:
            return
        state.limit.record_report(report.running, report.waiting)
        state.other_load.record_report(
            report, state.in_flight, state.limit.value, now, self.random
        )
        for cell in state.cells:
            cell.pool.mean_other_load.add(state.other_load.others, now)
        self.speeds.record_load(state.spec, report, now)
        self.refresh(state, now)

    def speed_samples(self, now: float) -> dict[tuple[BackendId, int], SpeedSample]:
        """Return what this router measured of each start of a server lately."""
        samples = self.speeds.samples(now).items()
        return {
            (backend_id, self.states[backend_id].spec.incarnation): sample
            for backend_id, sample in samples
            if backend_id in self.states
        }

    @property
    def assumed_routers(self) -> float:
        """Return among how many routers a rate is divided."""
        if not self.router_count.routers:
            return ASSUMED_ROUTERS
        return self.router_count.upper_bound

    def limited_turns_per_s(self) -> float:
        """Return this router's turns a second at the server that states the lowest
        rate."""
        periods = [
            state.rate_limit.period_s(self.assumed_routers)
            for state in self.limited_servers.values()
            if state.rate_limit.per_s is not None
        ]
        return 1 / max(periods) if periods else 0.0

    def count_rate_limited(self) -> int:
        """Return the number of servers that state a rate."""
        states = self.limited_servers.values()
        return sum(state.rate_limit.per_s is not None for state in states)

    def count_rejection_limited(self) -> int:
        """Return the number of servers that state a limit on rejections."""
        states = self.limited_servers.values()
        return sum(state.rejection_limit.per_s is not None for state in states)

    def record_rate_limit(
        self, backend_id: BackendId, per_s: float | None, sent_at: float, now: float
    ) -> bool:
        """Record the rate that a server's answer states, or none; return whether it
        changed."""
        state = self.states.get(backend_id)
        if state is None:
            return False
        changed = state.rate_limit.record_statement(per_s, sent_at, now)
        self.track_turns(state, now)
        return changed

    def record_rejection_limit(
        self, backend_id: BackendId, per_s: float | None, sent_at: float, now: float
    ) -> bool:
        """Record the rejections a second that a server's answer says it bears, or
        none; return whether that changed."""
        state = self.states.get(backend_id)
        if state is None:
            return False
        changed = state.rejection_limit.record_statement(per_s, sent_at, now)
        self.track_turns(state, now)
        return changed

    def record_rest(
        self, backend_id: BackendId, rest_s: float | None, sent_at: float, now: float
    ) -> bool:
        """Record the rest that a server's answer asks for, or none; return whether that
        changes when requests are sent there."""
        state = self.states.get(backend_id)
        if state is None:
            return False
        if rest_s is not None:
            spread_s = self.assumed_routers / max(1.0, state.limit.value)
            state.rest.record_statement(rest_s, spread_s, now, self.random)
            self.resting_servers[backend_id] = state
        elif state.rest.is_returning:
            state.rest.record_answer(sent_at)
        else:
            return False
        self.refresh(state, now)
        return True

    def rest_left_s(self, pool: str, now: float) -> float:
        """Return the seconds until the first server of a pool has rested; 0 if some
        server, also an ejected one, does not rest."""
        view = self.pools.get(pool)
        if view is None or not self.resting_servers:
            return 0.0
        states = view.members_by_id().values()
        return min((state.rest.left_s(now) for state in states), default=0.0)

    def track_turns(self, state: BackendState, now: float) -> None:
        """Start or stop turns at a server by the limits that it states."""
        if state.has_turns:
            self.limited_servers[state.backend_id] = state
            self.advance_turns(state, now)
        else:
            self.limited_servers.pop(state.backend_id, None)
        self.refresh(state, now)

    def advance_turns(self, state: BackendState, now: float) -> None:
        routers = state.routers = self.assumed_routers
        state.rate_limit.advance(routers, now, self.random)
        state.rejection_limit.advance(routers, now, self.random)

    def record_first_token(
        self,
        backend_id: BackendId,
        request: RequestSpec,
        waited_s: float,
        late: bool,
        now: float,
    ) -> None:
        """Record how long an attempt waited for its first token."""
        state = self.states.get(backend_id)
        view = self.pools.get(request.pool)
        if state is None or view is None:
            return
        state.last_token_at = now
        view.pace.add_first_token(waited_s)
        self.speeds.record_first_token(state.spec, request, waited_s, now)
        if late and now - state.late_first_token_at >= 1.0:
            state.late_first_token_at = now
            state.limit.record_late_first_token(state.load(now))
        self.refresh(state, now)

    def record_gap(
        self, backend_id: BackendId, pool: str, gap_s: float, count: int, now: float
    ) -> bool:
        """Record tokens that arrived `gap_s` after the previous one.

        Return whether the server is now found to be a straggler.
        """
        state = self.states.get(backend_id)
        view = self.pools.get(pool)
        if state is None or view is None:
            return False
        state.last_token_at = now
        self.speeds.record_gap(state.spec, pool, gap_s, count, now)
        mean_gap_s = state.gap_window.add(gap_s, count, state.load(now), now)
        if mean_gap_s is None:
            return False
        max_load = state.gap_window.max_load
        state.gap_window.reset(state.load(now))
        if state.health.is_in_rotation():
            view.pace.add_window(mean_gap_s)
            state.limit.record_gap(mean_gap_s, max_load, view.strictest_gap_s(now))
        slow = self.compare_with_pool(state, view, mean_gap_s, now)
        self.refresh(state, now)
        return slow

    def compare_with_pool(
        self, state: BackendState, view: PoolView, mean_gap_s: float, now: float
    ) -> bool:
        """Compare a window with the pool's median; return whether this ejects the
        server."""
        median_gap_s = view.pace.median_gap_s
        if median_gap_s is None:
            return False
        if mean_gap_s > SLOW_FACTOR * median_gap_s:
            return self.record_slow(state, now)
        if mean_gap_s < HEALTHY_FACTOR * median_gap_s:
            state.health.consecutive_slow = 0
            if state.health.condition is Condition.SLOW:
                self.readmit(state, now)
        return False

    def record_slow(self, state: BackendState, now: float) -> bool:
        """Count a slow window or a time-out; return whether this ejects the server."""
        health = state.health
        if health.condition is Condition.SLOW:
            health.eject(Condition.SLOW, now, self.random)
            return True
        if not health.is_in_rotation() or not health.record_slow():
            return False
        if not all(
            may_eject_as_slow(c.pool.slow_count, c.pool.server_count)
            for c in state.cells
        ):
            return False
        self.eject(state, Condition.SLOW, now)
        return True

    def record_timeout(self, backend_id: BackendId, now: float) -> bool:
        """Record that no token arrived in time; return whether this ejects the
        server."""
        state = self.states.get(backend_id)
        if state is None:
            return False
        slow = self.record_slow(state, now)
        self.refresh(state, now)
        return slow

    def last_token_at(self, backend_id: BackendId) -> float:
        """Return when any stream of this router last got a token from the server."""
        state = self.states.get(backend_id)
        return state.last_token_at if state is not None else 0.0

    def is_leaving(self, backend_id: BackendId) -> bool:
        state = self.states.get(backend_id)
        return state is None or state.spec.leaving

    def record_connection_failure(self, backend_id: BackendId, now: float) -> None:
        """Eject a server that refused or broke a connection."""
        state = self.states.get(backend_id)
        if state is not None and (
            state.health.is_in_rotation() or state.may_probe(now)
        ):
            self.eject(state, Condition.DOWN, now)
            state.health.is_unreachable = True

    def record_error(self, backend_id: BackendId, now: float) -> None:
        """Record that a server failed to process a request that reached it."""
        state = self.states.get(backend_id)
        if state is None:
            return
        if not state.health.is_in_rotation() or state.health.record_error():
            self.eject(state, Condition.DOWN, now)

    def is_last_in_rotation(self, state: BackendState) -> bool:
        """Return whether a pool of a server has no other one in rotation."""
        return any(
            all(member is state for member in cell.pool.members())
            for cell in state.cells
        )

    def record_refusal(self, backend_id: BackendId, now: float) -> None:
        """Record that a server refused to run a request: its limit is lower than
        assumed."""
        state = self.states.get(backend_id)
        if state is None:
            return
        state.limit.record_late_first_token(state.limit.value)
        if state.rest.left_s(now):
            # An ejection would keep it out for longer than it asked for.
            pass
        elif state.rejection_limit.per_s is None:
            self.record_error(backend_id, now)
        else:
            # Turns are spaced already; an ejection would delay the next report.
            state.other_load.record_full(state.in_flight, state.limit.value, now)
        self.refresh(state, now)

    def record_success(
        self, backend_id: BackendId, latency_s: float | None, now: float
    ) -> None:
        """Record a complete answer; `latency_s` is given for answers without tokens."""
        state = self.states.get(backend_id)
        if state is None:
            return
        if latency_s is not None:
            state.limit.record_latency(latency_s, state.load(now))
        self.speeds.record_service(state.spec, latency_s, now)
        state.health.record_success()
        if state.health.condition is Condition.DOWN:
            self.readmit(state, now)
        self.refresh(state, now)

    def eject(self, state: BackendState, condition: Condition, now: float) -> None:
        was_slow = state.health.condition is Condition.SLOW
        state.health.eject(condition, now, self.random)
        self.adjust_slow_count(state, (condition is Condition.SLOW) - was_slow)
        state.gap_window.reset(0.0)
        self.ejected.append(state)
        self.refresh(state, now)

    def readmit(self, state: BackendState, now: float) -> None:
        """Return a server that passed its probe to rotation, with a small limit."""
        self.adjust_slow_count(state, -(state.health.condition is Condition.SLOW))
        state.health.readmit()
        state.limit.reset()
        self.refresh(state, now)

    def readmit_unreachable(self, pool: str, now: float) -> None:
        """Return a pool's servers that were ejected while none could be reached."""
        for state in self.states.values():
            is_down = state.health.condition is Condition.DOWN
            if is_down and pool in state.spec.pools:
                state.health = Health()
                self.refresh(state, now)

    def adjust_slow_count(self, state: BackendState, change: int) -> None:
        for cell in state.cells:
            cell.pool.slow_count += change

    def tick(self, now: float) -> None:
        """Update the turns at cold and limited servers, and make servers available that
        have rested, and ejected ones to probes."""
        for state in list(self.cold_servers.values()):
            state.warmup.advance(self.turn_period_s(state.spec), now, self.random)
            self.refresh(state, now)
            if not state.warmup.is_cold(now):
                del self.cold_servers[state.backend_id]
        for state in self.limited_servers.values():
            self.advance_turns(state, now)
            self.refresh(state, now)
        for state in list(self.resting_servers.values()):
            if not state.rest.left_s(now):
                del self.resting_servers[state.backend_id]
                self.refresh(state, now)
        still_ejected = []
        for state in self.ejected:
            if state.health.is_in_rotation():
                continue
            if state.health.may_probe(now):
                self.refresh(state, now)
            still_ejected.append(state)
        self.ejected = still_ejected
        self.forget_unlisted(now)

    def record_target(self, pool: str, target_gap_s: float | None, now: float) -> None:
        """Record that a class with this target runs on the pool."""
        view = self.pools.get(pool)
        if view is not None and target_gap_s is not None:
            view.targets[target_gap_s] = now


def state_of(
    spec: BackendSpec, previous: BackendState | None, is_new: bool
) -> BackendState:
    """Return the state of a listed server, without what is known of an earlier start.

    `is_new` says that it wasn't in the list before this one.
    """
    if previous is None:
        return BackendState(spec)
    if previous.spec.incarnation == spec.incarnation:
        if is_new and previous.health.is_unreachable:
            # Its entry is news that it runs.
            previous.health = Health()
        return previous
    if is_new and not previous.in_flight:
        return BackendState(spec)
    # Requests that are still counted there end on the same state object.
    previous.health, previous.gap_window = Health(), GapWindow()
    previous.rate_limit = RateLimit()
    previous.rejection_limit = RejectionLimit()
    previous.rest = Rest()
    return previous
