"""Chooses the engine of a prompt by the tokens that it would have to read there.

Load pattern: quick questions among long prompts, with openings that many share. An
engine reads a prompt in chunks between the tokens of all that runs on it, and a chunk
takes as long as several steps without one. A stream beside a prompt of several chunks
pauses at each event, so that placement by the number of requests makes quick streams
late even on a quiet day. And a prompt whose opening another engine has read is read
again.

So engines stand in one order that all routers agree on without talking, and the first
of them take the quick classes: those of short prompts that bear no longer pauses than
any other. They are as many as the quick requests' share of the tokens asks for, and of
the places that are held; the rest take the others. Engines that may be taken away come
last in the order: a quick stream cannot be moved, and a quick group whose engines come
and go meets the long prompts of the others at each change.

Within its group a prompt goes where the fewest tokens stand before its first one: those
to be read of itself, those that this router sent there and that are not read yet, and a
little for each request that runs there. The engine that ranks highest for the deepest
shared part is taken to hold it, so that routers which never talk send it to the same
one. A quick prompt may leave its group when much more runs there than elsewhere.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from xxhash import xxh3_64_intdigest

from godwitmast.types import BackendId, ClassName, ZoneName

QUICK_TOKENS = 2048.0
"""Tokens of the prompts of a quick class, on average: one chunk of an engine's. Two
chunks are the most that an event of three tokens can wait for within the shortest pause
that callers asked for."""

TIGHT_FACTOR = 1.3
"""A class that bears pauses longer by more than this than the tightest short one is not
quick: several of its prompts at a time hold up streams of the tightest one."""

MEAN_WEIGHT = 0.05
"""Weight of one prompt in its class's mean: the last twenty or so decide."""

SHARE_MEMORY_S = 20.0
"""Demand of this age counts half: some fifty requests of a router of today."""

QUICK_ROOM = 0.8
"""The quick group's engines as a part of its share of the tokens. Short prompts fit in
between each other, while a long one fills its engine; what the quick group does not
need, the other one does."""

BORDER_STEP = 0.75
"""How far the wanted number of quick engines must be from the present one to change it.
Routers see unlike shares, and an engine that some take for quick and some do not serves
neither. Waiting for a whole engine leaves bursts of quick work on too few."""

REREAD_FACTOR = 2.0
"""How much worse a token of a shared part is than one that stands before: it takes the
engine's time, and room in its memory that another part then lacks."""

LOAD_TOKENS = 150.0
"""What a running request counts for: the time of a token of each step that it shares,
three milliseconds at fifty tokens a millisecond."""

AWAY_TOKENS = 500.0
"""What another engine than a part's first counts for although this router has sent the
part there: the others send it to the first one, and one copy is enough. Less than any
part worth keeping, more than three running requests."""

ZONE_TOKENS = 400.0
"""What another availability zone counts for: eight milliseconds, several times the way
there and back, since the bytes between zones are paid for."""

OVERFLOW_TOKENS = 6_000.0
OVERFLOW_STEP = 500.0
"""What an engine outside of the quick group counts for, and each further one in their
order: forty running requests, and three more. Quick streams that leave sooner run
beside long prompts without need."""

PART_MEMORY_S = 20.0
"""How long a part is taken to be where this router sent it, off its first engine."""

MAX_PARTS = 4096

FETCH_TOKENS = 256.0
"""Fewer tokens than this are read sooner than a copy is begun."""

NEW_S = 20.0
"""For how long an engine counts as new in its group: the parts that now rank it first
are still where they were before."""


class Part(NamedTuple):
    """A part of a prompt, in order; equal ids are equal text after equal parts."""

    part_id: str
    tokens: int


class Prompt(NamedTuple):
    """What placement asks of a request."""

    class_name: ClassName
    tokens: int
    parts: tuple[Part, ...]


class Engine(Protocol):
    """What placement asks of an engine."""

    @property
    def backend_id(self) -> BackendId: ...

    @property
    def zone(self) -> ZoneName: ...

    def load(self, now: float) -> float:
        """Return the requests that run or wait there."""


FIRST_QUICK = 5_000.0
FIRST_OTHER = 15_000.0
"""Tokens of each kind that are taken as seen at the start: some three requests of each.
Without them the first quick streams go everywhere, and the first long prompts onto
them."""

FIRST_HELD_S = 5.0
"""Seconds of each kind that are taken as held at the start."""

QUICK_FILL = 0.6
"""The part of their places that quick requests are to hold in their group. The rest is
for what other routers send there before reports tell, and for the start of a burst."""

LEAST_SHARE = 0.02
"""Below this part of the tokens a kind counts as absent, and has no engines of its own."""


@dataclass(slots=True)
class Demand:
    """What quick and other requests took of something, forgotten with time."""

    quick: float = FIRST_QUICK
    other: float = FIRST_OTHER
    at: float | None = None

    def add(self, tokens: float, quick: bool, now: float) -> None:
        since = 0.0 if self.at is None else max(0.0, now - self.at)
        kept = 0.5 ** (since / SHARE_MEMORY_S)
        self.quick = self.quick * kept + (tokens if quick else 0.0)
        self.other = self.other * kept + (0.0 if quick else tokens)
        self.at = now

    @property
    def part(self) -> float:
        """Return the quick requests' part."""
        return self.quick / (self.quick + self.other)

    @property
    def share(self) -> float | None:
        """Return the quick requests' part; None where only one kind comes."""
        return self.part if LEAST_SHARE < self.part < 1 - LEAST_SHARE else None


class Running(NamedTuple):
    """What runs on all engines of a pool, and how many requests one of them runs."""

    requests: float
    places: float


IDLE = Running(0.0, 1.0)


@dataclass
class Placement:
    """The prompts of one pool, as one router sees them."""

    demand: Demand = field(default_factory=Demand)
    """Tokens of prompts."""
    held: Demand = field(default_factory=lambda: Demand(FIRST_HELD_S, FIRST_HELD_S))
    """Seconds for which places in engines were held."""
    gaps: dict[ClassName, float] = field(default_factory=dict)
    """The longest pause that each class bears."""
    means: dict[ClassName, float] = field(default_factory=dict)
    own_means: dict[ClassName, float] = field(default_factory=dict)
    border: int = 1
    cheap: set[BackendId] = field(default_factory=set)
    """The engines that may be taken away at short notice."""
    unread: dict[BackendId, float] = field(default_factory=dict)
    sent: dict[tuple[BackendId, str], float] = field(default_factory=dict)
    joined: dict[bool, dict[BackendId, float]] = field(default_factory=dict)
    """Since when each engine is in the quick group (True), or in the other one."""

    def is_quick(self, prompt: Prompt) -> bool:
        """Return whether its class has short prompts and bears the shortest pauses."""
        name = prompt.class_name
        if self.means.get(name, prompt.tokens) > QUICK_TOKENS:
            return False
        gap_s = self.gaps.get(name, math.inf)
        tightest_s = min(
            (
                other_s
                for other, other_s in self.gaps.items()
                if self.means.get(other, 0.0) <= QUICK_TOKENS
            ),
            default=math.inf,
        )
        return gap_s <= TIGHT_FACTOR * tightest_s

    def arrived(self, prompt: Prompt, now: float, gap_s: float | None = None) -> None:
        """Take a prompt into the classes' means and the groups' demand.

        `gap_s` is the longest pause that its class bears, if one is named.
        """
        if gap_s is not None:
            self.gaps[prompt.class_name] = gap_s
        own = prompt.tokens - sum(part.tokens for part in prompt.parts[:-1])
        move_mean(self.means, prompt.class_name, prompt.tokens)
        mean = move_mean(self.own_means, prompt.class_name, max(0, own))
        self.demand.add(mean, self.is_quick(prompt), now)

    def ended(self, prompt: Prompt, held_s: float, now: float) -> None:
        """Note for how long a request held its place."""
        self.held.add(held_s, self.is_quick(prompt), now)

    def quick_engines(self, engines: int, running: Running) -> float:
        """Return how many of the engines the quick requests need.

        Load pattern: short prompts with long answers. Sized by the tokens that they read
        alone, their group has too few places for what answers, and the rest of them run
        beside long prompts.
        """
        by_tokens = QUICK_ROOM * self.demand.part * engines
        by_places = self.held.part * running.requests / (QUICK_FILL * running.places)
        return max(by_tokens, by_places)

    def group(
        self, prompt: Prompt, engines: Iterable[BackendId], running: Running = IDLE
    ) -> Sequence[BackendId]:
        """Return the engines for a prompt, of all that are in the choice."""
        order = sorted(engines, key=self.place_of)
        if self.demand.share is None or len(order) < 2:
            return order
        wanted = self.quick_engines(len(order), running)
        if abs(wanted - self.border) > BORDER_STEP:
            self.border = round(wanted)
        border = min(len(order) - 1, max(1, self.border))
        return order[:border] if self.is_quick(prompt) else order[border:]

    def place_of(self, engine: BackendId) -> tuple[bool, int]:
        """Return what engines are ordered by: the ones that stay come first."""
        return engine in self.cheap, xxh3_64_intdigest(engine.encode())

    def choose(
        self,
        prompt: Prompt,
        members: Collection[BackendId],
        open_engines: Sequence[Engine],
        zone: ZoneName,
        now: float,
        running: Running = IDLE,
    ) -> BackendId | None:
        """Return the engine of `open_engines` for a prompt, in its group if it can.

        `members` are all that are in the choice, with room or not: the groups and the
        ranks must be the same for routers that see other engines full.
        """
        group = self.group(prompt, members, running)
        self.note_group(prompt, group, now)
        grouped = set(group)
        inside = [engine for engine in open_engines if engine.backend_id in grouped]
        candidates = inside or open_engines
        outside: Mapping[BackendId, float] = {}
        if self.is_quick(prompt):
            candidates = open_engines
            outside = self.overflow(group, members)
        home = highest(deepest_shared(prompt), group)
        best = min(
            candidates,
            key=lambda engine: (
                self.cost(prompt, engine, home, zone, now)
                + outside.get(engine.backend_id, 0.0)
            ),
            default=None,
        )
        return best.backend_id if best else None

    def overflow(
        self, group: Sequence[BackendId], members: Collection[BackendId]
    ) -> dict[BackendId, float]:
        """Return what each engine outside of the quick group counts for besides.

        Load pattern: a burst of quick requests, half as many again as the group was
        sized for. The border follows in seconds; until then first tokens on the group's
        one engine took a second, while others had no more than a few requests. The next
        one in the order is the cheapest, so that all routers overflow to the same one,
        and long prompts, which count what runs there, leave it alone.
        """
        rest = sorted(set(members) - set(group), key=self.place_of)
        return {
            engine: OVERFLOW_TOKENS + OVERFLOW_STEP * place
            for place, engine in enumerate(rest)
        }

    def cost(
        self,
        prompt: Prompt,
        engine: Engine,
        home: BackendId | None,
        zone: ZoneName,
        now: float,
    ) -> float:
        """Return the tokens before a prompt's first one at an engine."""
        shared = prompt.parts[:-1]
        away = 0.0
        if engine.backend_id != home and shared:
            reread = sum(
                part.tokens
                for part in shared
                if not self.holds(engine.backend_id, part, now)
            )
            away = AWAY_TOKENS + REREAD_FACTOR * reread
        far = 0.0 if engine.zone == zone else ZONE_TOKENS
        return (
            away
            + self.unread.get(engine.backend_id, 0.0)
            + LOAD_TOKENS * engine.load(now)
            + far
        )

    def source(
        self,
        prompt: Prompt,
        chosen: BackendId,
        members: Collection[BackendId],
        now: float,
    ) -> BackendId | None:
        """Return the engine that `chosen` may copy a prompt's shared parts from.

        Load pattern: bursts that send prompts past the engine that has read their
        opening, and engines that come and go, so that openings rank another one first.
        Each such prompt has its opening read again, which takes an engine's time from
        all that runs there.
        """
        shared = prompt.parts[:-1]
        missing = [part for part in shared if not self.holds(chosen, part, now)]
        if sum(part.tokens for part in missing) < FETCH_TOKENS:
            return None
        deepest = shared[-1]
        others = [name for name in members if name != chosen]
        known = [name for name in others if self.holds(name, deepest, now)]
        if known:
            return max(known, key=lambda name: self.sent[(name, deepest.part_id)])
        last_group = self.joined.get(self.is_quick(prompt), {})
        group = [name for name in last_group if name in members]
        home = highest(deepest.part_id, group)
        if home != chosen:
            return home
        if self.is_new(prompt, chosen, now):
            old = [name for name in group if not self.is_new(prompt, name, now)]
            return highest(deepest.part_id, old)
        return None

    def note_group(
        self, prompt: Prompt, group: Collection[BackendId], now: float
    ) -> None:
        """Remember since when each engine is in a group."""
        since = self.joined.get(self.is_quick(prompt), {})
        self.joined[self.is_quick(prompt)] = {
            name: since.get(name, now) for name in group
        }

    def is_new(self, prompt: Prompt, engine: BackendId, now: float) -> bool:
        since = self.joined.get(self.is_quick(prompt), {})
        return now - since.get(engine, now) < NEW_S

    def holds(self, backend_id: BackendId, part: Part, now: float) -> bool:
        sent_at = self.sent.get((backend_id, part.part_id))
        return sent_at is not None and now - sent_at < PART_MEMORY_S

    def started(self, backend_id: BackendId, prompt: Prompt, now: float) -> float:
        """Note a prompt that goes to an engine; return its tokens to be read there."""
        unread = float(prompt.tokens)
        for part in prompt.parts[:-1]:
            if self.holds(backend_id, part, now):
                unread -= part.tokens
            self.sent.pop((backend_id, part.part_id), None)
            self.sent[(backend_id, part.part_id)] = now
        while len(self.sent) > MAX_PARTS:
            self.sent.pop(next(iter(self.sent)))
        unread = max(0.0, unread)
        self.unread[backend_id] = self.unread.get(backend_id, 0.0) + unread
        return unread

    def was_read(self, backend_id: BackendId, tokens: float) -> None:
        """Note that tokens of `started` were read, or will not be."""
        left = self.unread.get(backend_id, 0.0) - tokens
        if left > 0.5:
            self.unread[backend_id] = left
        else:
            self.unread.pop(backend_id, None)


def move_mean(means: dict[ClassName, float], name: ClassName, tokens: float) -> float:
    """Move a class's mean towards a prompt's tokens, and return it."""
    mean = means.get(name, tokens)
    means[name] = mean + MEAN_WEIGHT * (tokens - mean)
    return means[name]


def deepest_shared(prompt: Prompt) -> str:
    """Return the id of the last part but one, which other prompts may share.

    The last is the request's own or its session's; alone it is the one to go by.
    """
    parts = prompt.parts
    return parts[-2].part_id if len(parts) > 1 else parts[-1].part_id


def highest(key: str, engines: Iterable[BackendId]) -> BackendId | None:
    """Return the engine that ranks first for a key, by rendezvous hashing."""
    return max(
        engines,
        key=lambda name: xxh3_64_intdigest(f"{key}\0{name}".encode()),
        default=None,
    )
