"""Chooses the engine for a prompt by the prompt tokens that would have to be prefilled
there first.

Load pattern: short prompts among long ones, many of which share a prefix. An engine
prefills a prompt in chunks between the decode steps of everything that runs on it, and
a step with a chunk takes as long as several without one. A stream on the same engine as
a prompt of several chunks pauses at each event, so that placement by the number of
requests makes interactive streams late even under light load. And a prompt whose prefix
is cached on another engine has that prefix prefilled again.

All routers therefore derive the same order of the engines from a hash, without
communicating, and the first engines of that order serve the interactive classes: those
with short prompts whose bound on the inter-token gap is about as strict as the
strictest. The number of these engines follows the interactive requests' share of the
prompt tokens and of the occupied batch slots ("places"); the other engines serve all
other classes. Engines that may be reclaimed at short notice come last in the order: an
interactive stream cannot be moved, and an interactive group whose engines are replaced
often shares engines with long prompts at each change.

Within its group a prompt goes to the engine with the fewest tokens to prefill before
its first token: those of the prompt itself that are not cached there, those that this
router sent there and that are not prefilled yet, and a fixed number for each running
request. The engine that ranks highest for the deepest shared part of a prompt is
assumed to hold that part, so that routers that do not communicate choose the same one.
An interactive prompt may leave its group when far more runs there than elsewhere.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from xxhash import xxh3_64_intdigest

from godwitmast.types import BackendId, ClassName, ZoneName

INTERACTIVE_MAX_TOKENS = 2048.0
"""Largest mean prompt length of an interactive class, in tokens: one prefill chunk. Two
chunks are the most that an event of three tokens can wait for within the strictest gap
that callers ask for."""

MAX_GAP_RATIO = 1.3
"""A class whose allowed gap exceeds the strictest one of the short classes by more than
this factor is not interactive: several of its prompts at a time delay the streams of
the strictest class."""

MEAN_WEIGHT = 0.05
"""Weight of one prompt in its class's moving average, which the last twenty or so
prompts determine."""

DEMAND_HALF_LIFE_S = 20.0
"""Demand of this age counts half. A router sees some fifty requests in that time."""

INTERACTIVE_SIZE_FACTOR = 0.8
"""Size of the interactive group relative to its share of the tokens. Below 1, since
short prompts fit in between each other while a long one fills its engine, so that the
other group makes use of what the interactive one does not need."""

RESIZE_THRESHOLD_ENGINES = 0.75
"""How far the needed number of interactive engines must be from the present one before
that changes. Routers see different shares, and an engine that some of them count as
interactive and some do not serves neither group well. A threshold of a whole engine
leaves bursts of interactive work on too few engines."""

REPEATED_PREFILL_FACTOR = 2.0
"""Cost of a shared token that is prefilled again, relative to a token that is already
queued: it takes the engine's time, and cache memory that another part then lacks."""

TOKENS_PER_RUNNING_REQUEST = 150.0
"""Cost of a running request in tokens: its share of each decode step that delays the
first token, 3 ms at fifty tokens a millisecond."""

NOT_PREFERRED_TOKENS = 500.0
"""Cost of an engine other than a part's preferred one, even if this router has already
sent the part there: the other routers send it to the preferred engine, and one cached
copy is enough. Less than any part worth caching, more than three running requests."""

OTHER_ZONE_TOKENS = 400.0
"""Cost of another availability zone: 8 ms, several times the round trip, since traffic
between zones is paid for."""

OVERFLOW_TOKENS = 6_000.0
OVERFLOW_STEP_TOKENS = 500.0
"""Cost of the first engine outside the interactive group, and the additional cost of
each further one in the common order: that of forty running requests, and of about three
more. Interactive streams that leave their group sooner run beside long prompts without
need."""

PART_RETENTION_S = 20.0
"""How long a part is assumed to be cached where this router sent it, if that is not its
preferred engine."""

MAX_TRACKED_PARTS = 4096

MIN_COPY_TOKENS = 256.0
"""Fewer tokens than this are prefilled faster than a copy of the KV cache starts."""

NEW_MEMBER_S = 20.0
"""How long an engine counts as new in its group: the parts that now rank it first are
still cached on the engines that they ranked first before."""


class PromptPart(NamedTuple):
    """A part of a prompt. Equal ids mean equal text after equal preceding parts."""

    part_id: str
    tokens: int


class Prompt(NamedTuple):
    """The properties of a request that placement needs."""

    class_name: ClassName
    tokens: int
    parts: tuple[PromptPart, ...]


class Engine(Protocol):
    """The properties of an engine that placement needs."""

    @property
    def backend_id(self) -> BackendId: ...

    @property
    def zone(self) -> ZoneName: ...

    def load(self, now: float) -> float:
        """Return the number of requests that run or wait there."""


INITIAL_INTERACTIVE_TOKENS = 5_000.0
INITIAL_OTHER_TOKENS = 15_000.0
"""Tokens of each kind that are assumed at the start: some three requests of each.
Without them the first interactive streams are spread over all engines, and the first
long prompts join them."""

INITIAL_PLACE_SECONDS = 5.0
"""Place-seconds of each kind that are assumed at the start."""

INTERACTIVE_PLACE_USE = 0.6
"""Share of their group's places that interactive requests are meant to occupy. The rest
is for requests of other routers that load reports don't show yet, and for the start of
a burst."""

MIN_SHARE = 0.02
"""A kind with a smaller share of the tokens counts as absent and gets no engines of its
own."""


@dataclass(slots=True)
class Demand:
    """Demand of interactive and of other requests, with exponential decay."""

    interactive: float = INITIAL_INTERACTIVE_TOKENS
    other: float = INITIAL_OTHER_TOKENS
    updated_at: float | None = None

    def add(self, amount: float, interactive: bool, now: float) -> None:
        elapsed_s = 0.0 if self.updated_at is None else max(0.0, now - self.updated_at)
        decay = 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
        self.interactive = self.interactive * decay + (amount if interactive else 0.0)
        self.other = self.other * decay + (0.0 if interactive else amount)
        self.updated_at = now

    @property
    def interactive_share(self) -> float:
        """Return the interactive requests' share."""
        return self.interactive / (self.interactive + self.other)

    @property
    def split_share(self) -> float | None:
        """Return the interactive requests' share, or None if only one kind of request
        arrives."""
        return (
            self.interactive_share
            if MIN_SHARE < self.interactive_share < 1 - MIN_SHARE
            else None
        )


class PoolLoad(NamedTuple):
    """Expected number of requests on all engines of a pool, and mean number of places of
    one engine."""

    requests: float
    places: float


IDLE_POOL = PoolLoad(0.0, 1.0)


class GroupSize(NamedTuple):
    """A new size of the interactive group, and what it was computed from."""

    interactive: int
    engines: int
    needed: float
    token_share: float
    place_share: float
    requests: float


@dataclass
class PromptPlacement:
    """One router's view of the prompts of one pool."""

    token_demand: Demand = field(default_factory=Demand)
    """Prompt tokens."""
    place_demand: Demand = field(
        default_factory=lambda: Demand(INITIAL_PLACE_SECONDS, INITIAL_PLACE_SECONDS)
    )
    """Place-seconds: how long requests occupied places of engines."""
    max_gaps_s: dict[ClassName, float] = field(default_factory=dict)
    """The longest allowed inter-token gap of each class."""
    mean_tokens: dict[ClassName, float] = field(default_factory=dict)
    """Mean prompt length of each class."""
    mean_own_tokens: dict[ClassName, float] = field(default_factory=dict)
    """Mean length of each class's last part, which other prompts don't share."""
    mean_held_s: dict[ClassName, float] = field(default_factory=dict)
    """Mean time for which each class's requests held their places."""
    interactive_count: int = 1
    """Number of engines in the interactive group."""
    resized: GroupSize | None = None
    """The last new size that has not been logged yet."""
    cheap: set[BackendId] = field(default_factory=set)
    """The engines that may be reclaimed at short notice."""
    pending_tokens: dict[BackendId, float] = field(default_factory=dict)
    """Tokens that this router sent to each engine and that are not prefilled yet."""
    sent_at: dict[tuple[BackendId, str], float] = field(default_factory=dict)
    """When this router last sent each part to each engine."""
    member_since: dict[bool, dict[BackendId, float]] = field(default_factory=dict)
    """Since when each engine has been in the interactive group (True) or in the other
    one."""

    def is_interactive(self, prompt: Prompt) -> bool:
        """Return whether the prompt's class has short prompts and about the strictest
        gap."""
        name = prompt.class_name
        if self.mean_tokens.get(name, prompt.tokens) > INTERACTIVE_MAX_TOKENS:
            return False
        gap_s = self.max_gaps_s.get(name, math.inf)
        tightest_s = min(
            (
                other_s
                for other, other_s in self.max_gaps_s.items()
                if self.mean_tokens.get(other, 0.0) <= INTERACTIVE_MAX_TOKENS
            ),
            default=math.inf,
        )
        return gap_s <= MAX_GAP_RATIO * tightest_s

    def record_arrival(
        self, prompt: Prompt, now: float, gap_s: float | None = None
    ) -> None:
        """Update the classes' means and the groups' demand with a prompt.

        `gap_s` is the longest inter-token gap that its class allows, if it names one.
        """
        if gap_s is not None:
            self.max_gaps_s[prompt.class_name] = gap_s
        own = prompt.tokens - sum(part.tokens for part in prompt.parts[:-1])
        update_mean(self.mean_tokens, prompt.class_name, prompt.tokens)
        mean = update_mean(self.mean_own_tokens, prompt.class_name, max(0, own))
        self.token_demand.add(mean, self.is_interactive(prompt), now)

    def record_end(self, prompt: Prompt, held_s: float, now: float) -> None:
        """Record for how long a request occupied its place."""
        self.place_demand.add(held_s, self.is_interactive(prompt), now)
        update_mean(self.mean_held_s, prompt.class_name, held_s)

    def interactive_engines_needed(self, engines: int, load: PoolLoad) -> float:
        """Return how many of the engines the interactive requests need.

        Load pattern: short prompts with long answers. Sized by prompt tokens alone,
        their group has too few places for the answers being generated, and the rest of
        them run beside long prompts. Sized by the requests that a router knows of, it
        has the fewer places the more routers there are. When nearly all places of the
        pool are in use the group gets its share of the engines, so that the long prompts
        have theirs.
        """
        by_tokens = (
            INTERACTIVE_SIZE_FACTOR * self.token_demand.interactive_share * engines
        )
        share = self.place_demand.interactive_share
        spare = INTERACTIVE_PLACE_USE * load.places
        by_places = share * min(load.requests / spare, engines)
        return max(by_tokens, by_places)

    def group_for(
        self, prompt: Prompt, engines: Iterable[BackendId], load: PoolLoad = IDLE_POOL
    ) -> Sequence[BackendId]:
        """Return the engines of a prompt's group, out of all engines in rotation."""
        order = sorted(engines, key=self.sort_key)
        if self.token_demand.split_share is None or len(order) < 2:
            return order
        wanted = self.interactive_engines_needed(len(order), load)
        if abs(wanted - self.interactive_count) > RESIZE_THRESHOLD_ENGINES:
            self.interactive_count = round(wanted)
            self.resized = GroupSize(
                self.interactive_count,
                len(order),
                wanted,
                self.token_demand.interactive_share,
                self.place_demand.interactive_share,
                load.requests,
            )
        interactive_count = min(len(order) - 1, max(1, self.interactive_count))
        return (
            order[:interactive_count]
            if self.is_interactive(prompt)
            else order[interactive_count:]
        )

    def sort_key(self, engine: BackendId) -> tuple[bool, int]:
        """Return the key of the common order: engines that are not reclaimed come
        first."""
        return engine in self.cheap, xxh3_64_intdigest(engine.encode())

    def choose(
        self,
        prompt: Prompt,
        in_rotation: Collection[BackendId],
        available: Sequence[Engine],
        zone: ZoneName,
        now: float,
        load: PoolLoad = IDLE_POOL,
    ) -> BackendId | None:
        """Return the engine of `available` for a prompt, in its group if possible.

        `in_rotation` holds all engines in rotation, with room or not: groups and ranks
        must be the same for routers that see different engines as full.
        """
        group = self.group_for(prompt, in_rotation, load)
        self.update_membership(prompt, group, now)
        grouped = set(group)
        inside = [engine for engine in available if engine.backend_id in grouped]
        candidates = inside or available
        penalties: Mapping[BackendId, float] = {}
        if self.is_interactive(prompt):
            candidates = available
            penalties = self.overflow_penalties(group, in_rotation)
        preferred = highest_ranked(affinity_key(prompt), group)
        best = min(
            candidates,
            key=lambda engine: (
                self.cost_tokens(prompt, engine, preferred, zone, now)
                + penalties.get(engine.backend_id, 0.0)
            ),
            default=None,
        )
        return best.backend_id if best else None

    def overflow_penalties(
        self, group: Sequence[BackendId], in_rotation: Collection[BackendId]
    ) -> dict[BackendId, float]:
        """Return the additional cost of each engine outside the interactive group.

        Load pattern: a burst of interactive requests, half as many again as the group
        was sized for. The group grows within seconds; until then first tokens on its
        one engine took a second, while other engines had no more than a few requests.
        The next engine in the common order costs least, so that all routers overflow to
        the same one, and long prompts, whose cost includes the requests that run there,
        avoid it.
        """
        rest = sorted(set(in_rotation) - set(group), key=self.sort_key)
        return {
            engine: OVERFLOW_TOKENS + OVERFLOW_STEP_TOKENS * position
            for position, engine in enumerate(rest)
        }

    def cost_tokens(
        self,
        prompt: Prompt,
        engine: Engine,
        preferred: BackendId | None,
        zone: ZoneName,
        now: float,
    ) -> float:
        """Return the cost of an engine for a prompt, in tokens to prefill before its
        first output token."""
        shared = prompt.parts[:-1]
        prefill_cost = 0.0
        if engine.backend_id != preferred and shared:
            uncached = sum(
                part.tokens
                for part in shared
                if not self.holds_part(engine.backend_id, part, now)
            )
            prefill_cost = NOT_PREFERRED_TOKENS + REPEATED_PREFILL_FACTOR * uncached
        zone_cost = 0.0 if engine.zone == zone else OTHER_ZONE_TOKENS
        return (
            prefill_cost
            + self.pending_tokens.get(engine.backend_id, 0.0)
            + TOKENS_PER_RUNNING_REQUEST * engine.load(now)
            + zone_cost
        )

    def copy_source(
        self,
        prompt: Prompt,
        chosen: BackendId,
        in_rotation: Collection[BackendId],
        now: float,
    ) -> BackendId | None:
        """Return the engine from which `chosen` may copy the KV cache of a prompt's
        shared parts, if there is one.

        Load pattern: bursts that send prompts past the engine that has their prefix
        cached, and engines that join or leave, so that prefixes rank another engine
        first. Each such prompt has its prefix prefilled again, which takes the engine's
        time from everything that runs there.
        """
        shared = prompt.parts[:-1]
        missing = [part for part in shared if not self.holds_part(chosen, part, now)]
        if sum(part.tokens for part in missing) < MIN_COPY_TOKENS:
            return None
        deepest = shared[-1]
        others = [name for name in in_rotation if name != chosen]
        holders = [name for name in others if self.holds_part(name, deepest, now)]
        if holders:
            return max(holders, key=lambda name: self.sent_at[(name, deepest.part_id)])
        last_group = self.member_since.get(self.is_interactive(prompt), {})
        group = [name for name in last_group if name in in_rotation]
        preferred = highest_ranked(deepest.part_id, group)
        if preferred != chosen:
            return preferred
        if self.is_new_member(prompt, chosen, now):
            old = [name for name in group if not self.is_new_member(prompt, name, now)]
            return highest_ranked(deepest.part_id, old)
        return None

    def update_membership(
        self, prompt: Prompt, group: Collection[BackendId], now: float
    ) -> None:
        """Record since when each engine has been in the prompt's group."""
        since = self.member_since.get(self.is_interactive(prompt), {})
        self.member_since[self.is_interactive(prompt)] = {
            name: since.get(name, now) for name in group
        }

    def is_new_member(self, prompt: Prompt, engine: BackendId, now: float) -> bool:
        since = self.member_since.get(self.is_interactive(prompt), {})
        return now - since.get(engine, now) < NEW_MEMBER_S

    def holds_part(self, backend_id: BackendId, part: PromptPart, now: float) -> bool:
        """Return whether an engine is assumed to hold a part in its cache, because this
        router sent the part there less than PART_RETENTION_S ago."""
        sent_at = self.sent_at.get((backend_id, part.part_id))
        return sent_at is not None and now - sent_at < PART_RETENTION_S

    def record_start(self, backend_id: BackendId, prompt: Prompt, now: float) -> float:
        """Record a prompt that is sent to an engine; return its tokens to be prefilled
        there."""
        pending_tokens = float(prompt.tokens)
        for part in prompt.parts[:-1]:
            if self.holds_part(backend_id, part, now):
                pending_tokens -= part.tokens
            self.sent_at.pop((backend_id, part.part_id), None)
            self.sent_at[(backend_id, part.part_id)] = now
        while len(self.sent_at) > MAX_TRACKED_PARTS:
            self.sent_at.pop(next(iter(self.sent_at)))
        pending_tokens = max(0.0, pending_tokens)
        self.pending_tokens[backend_id] = (
            self.pending_tokens.get(backend_id, 0.0) + pending_tokens
        )
        return pending_tokens

    def record_prefill(self, backend_id: BackendId, tokens: float) -> None:
        """Subtract tokens of `record_start` that were prefilled, or will not be."""
        left = self.pending_tokens.get(backend_id, 0.0) - tokens
        if left > 0.5:
            self.pending_tokens[backend_id] = left
        else:
            self.pending_tokens.pop(backend_id, None)


def update_mean(means: dict[ClassName, float], name: ClassName, value: float) -> float:
    """Update a class's moving average with a prompt's value, and return it."""
    mean = means.get(name, value)
    means[name] = mean + MEAN_WEIGHT * (value - mean)
    return means[name]


def affinity_key(prompt: Prompt) -> str:
    """Return the id of the last part but one, which other prompts may share.

    The last part belongs to the request or its session alone; it is used if it is the
    only one.
    """
    parts = prompt.parts
    return parts[-2].part_id if len(parts) > 1 else parts[-1].part_id


def highest_ranked(key: str, engines: Iterable[BackendId]) -> BackendId | None:
    """Return the engine that ranks first for a key, by rendezvous hashing."""
    return max(
        engines,
        key=lambda name: xxh3_64_intdigest(f"{key}\0{name}".encode()),
        default=None,
    )
