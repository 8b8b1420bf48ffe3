"""Placement of prompts by the time predicted for them on each engine.

Load pattern: engines with lasting differences, engines that become slow for less than a
second, long prompts beside short ones, and waves of demand that peak in one zone after
the other. Costs that are constants of one engine send the same load to all.

The engines of a pool are in two groups, as `dispatch.placement` derives them: their
members tell what the other VMs run there, of which load reports only state a number.
Each prefix ranks the engines of its group; a faster engine ranks first more often. The
cost of each engine is its predicted time plus the risks of late requests, in seconds
(`speed.prediction`), and of the engines that many VMs find best each takes its share
(`speed.spreading`).
"""

import math
import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from xxhash import xxh3_64_intdigest

from godwitmast.dispatch.messages import BackendSpec, RequestSpec
from godwitmast.dispatch.placement import (
    IDLE_POOL,
    MIN_COPY_TOKENS,
    PoolLoad,
    Prompt,
    PromptPlacement,
    affinity_key,
)
from godwitmast.measurements.view import FleetView
from godwitmast.speed.demand import (
    DEFAULT_HELD_S,
    DEFAULT_TOKENS,
    ArrivalRates,
    GroupMix,
)
from godwitmast.speed.model import PoolSpeed
from godwitmast.speed.prediction import (
    OTHER_ZONE_S,
    Cached,
    Copy,
    PrefillAgain,
    PrefixUse,
    Queue,
    Rates,
    Targets,
    cost_s,
    predict,
    prefill_tokens,
    repeated_work_s,
)
from godwitmast.speed.quantile import Quantile, StepQuantile
from godwitmast.speed.spreading import Share, draw
from godwitmast.types import BackendId, ClassName, RequestId, ZoneName

RANKED = 3
"""Engines of a prefix's order that are always considered."""

SAMPLED_IN_GROUP, SAMPLED_OUTSIDE = 4, 2
"""Other engines that are considered, at random, of the prompt's group and outside. With
more of them a decision would take the more time the more engines there are, and the best
of four is among the best third, mostly."""

RANKING_S = 1.0
"""For how long the order of engines for a prefix is kept: it takes a hash of each
engine, and lasting speeds change over tens of requests."""

MAX_RANKINGS = 1024

CACHED_SHARES = (1.0, 0.5, 0.25)
"""Share of a prefix that its first, second and third engine are taken to hold if this VM
did not send it there: other VMs overflow in the same order."""

VIEW_S = 0.5
"""For how long VMs have the same view: zones exchange reports this often."""

MAX_FORECASTS = 4096
"""Predictions that are kept until their first token."""

GAP_TOKENS_SHARE = 0.95
DEFAULT_GAP_TOKENS = 3072.0
MIN_GAP_TOKENS, MAX_GAP_TOKENS = 1024.0, 16_384.0
"""Tokens that are prefilled between two events, by the longest gaps: three chunks are
assumed at first, one for each step of an event of three tokens."""

TAIL_SHARE = 0.85
DEFAULT_TAIL_BACKLOG = 2.0
"""Prompts that others have ahead of ours in the tail, before any first token came: of
engines that prefill half of the time, by the formula of Pollaczek and Khinchine. At the
median there is none: half of the prompts find such an engine without a queue."""

BACKLOG_STEP = 0.1
"""Change by one first token, of which a VM among many sees one a second."""

MAX_LOAD_RATIO = 4.0
"""Limit on an engine's load relative to the mean one of its pool."""

CORRECTION_PRIOR = 8
"""First tokens for which the correction's initial value counts. A VM among many sees one
of a class each second or so; with fewer, the queue of one prompt corrects the next ones.
"""

MAX_CORRECTION = 4.0
"""Limit on the correction of predictions by their errors, or its inverse."""


class Engine(Protocol):
    """The properties of an engine that placement needs."""

    in_flight: int
    spec: BackendSpec

    @property
    def backend_id(self) -> BackendId: ...

    @property
    def zone(self) -> ZoneName: ...

    @property
    def places(self) -> float: ...

    def expected_load(self, mean: float, now: float) -> float:
        """Return the expected number of requests on the engine, ours and others'."""


class Forecast(NamedTuple):
    """What was predicted for a request, until its first token."""

    backend_id: BackendId
    kind: tuple[ClassName, type[PrefixUse]]
    first_token_s: float
    use: PrefixUse
    known_s: float
    ahead_s: float
    """Uncorrected time without other VMs' prompts, and the time of one of them."""

    @property
    def source(self) -> BackendId | None:
        """Return the engine from which the prefix is to be copied."""
        match self.use:
            case Copy(source=source):
                return source
            case _:
                return None


class Option(NamedTuple):
    """An engine for a prompt, its cost, and how long the prompt occupies it."""

    engine: Engine
    forecast: Forecast
    cost_s: float
    busy_s: float


class Ranking(NamedTuple):
    """The first of so many engines for a prefix, kept until a time."""

    ranked: Sequence[BackendId]
    engines: int
    until: float


class Situation(NamedTuple):
    """A pool at the time of a decision.

    `members` are all engines in rotation, `available` those that have room, `routers`
    is how many VMs place prompts there. The engines may copy prefixes from each other
    if `may_copy`.
    """

    placement: PromptPlacement
    members: Sequence[Engine]
    available: Sequence[Engine]
    zone: ZoneName
    load: PoolLoad = IDLE_POOL
    mean_other_load: float = 0.0
    routers: float = 1.0
    may_copy: bool = False


class Question(NamedTuple):
    """A prompt to be placed, and what holds for it whatever its engine.

    `own_tokens` are those that no other prompt shares, `ranked` the first engines for
    its prefix, `holders` those to which this VM sent the prefix.
    """

    prompt: Prompt
    targets: Targets
    situation: Situation
    own_tokens: float
    ranked: Sequence[BackendId]
    group: Collection[BackendId]
    is_interactive: bool
    holders: Sequence[BackendId]
    now: float


@dataclass
class TimePlacement:
    """One VM's placement of the prompts of one pool by predicted time."""

    speed: PoolSpeed = field(default_factory=PoolSpeed)
    rng: random.Random = field(default_factory=random.Random)
    strictest: Targets = Targets()
    """The targets of the class with the strictest pause."""
    rates: ArrivalRates = field(default_factory=ArrivalRates)
    mixes: dict[bool, GroupMix] = field(
        default_factory=lambda: {
            kind: GroupMix(tokens) for kind, tokens in DEFAULT_TOKENS.items()
        }
    )
    """The prompts of the interactive group (True) and of the other one."""
    tail_backlog: StepQuantile = field(
        default_factory=lambda: StepQuantile(
            TAIL_SHARE, DEFAULT_TAIL_BACKLOG, BACKLOG_STEP
        )
    )
    """Prompts of the usual size that others have ahead of ours on an engine with a mean
    load, in the tail."""
    ranks: dict[str, Ranking] = field(default_factory=dict)
    forecasts: dict[RequestId, Forecast] = field(default_factory=dict)
    corrections: dict[tuple[ClassName, type[PrefixUse]], Quantile] = field(
        default_factory=dict
    )
    """Median of observed over predicted first tokens, by class and use of the prefix."""
    error: Quantile = field(default_factory=lambda: Quantile(0.5))
    """Median error of predictions, relative to what was observed."""
    gap_tokens: Quantile = field(default_factory=lambda: Quantile(GAP_TOKENS_SHARE))

    def choose(
        self,
        request: RequestSpec,
        targets: Targets,
        situation: Situation,
        view: FleetView,
        now: float,
    ) -> BackendId | None:
        """Return the available engine for a prompt, and keep what is predicted."""
        if not situation.available:
            return None
        prompt = request.prompt
        key = affinity_key(prompt) if len(prompt.parts) > 1 else prompt.class_name
        unseen = max(0.0, situation.routers - 1) * self.rates.add(key, now) * VIEW_S
        question = self.ask(prompt, key, targets, situation, now)
        options = [
            self.consider(question, engine, view)
            for engine in self.candidates(situation.available, question)
        ]
        shares = [Share(option.cost_s, option.busy_s) for option in options]
        chosen = options[draw(shares, unseen, self.rng)]
        self.record_choice(request, question, chosen.forecast)
        return chosen.engine.backend_id

    def ask(
        self,
        prompt: Prompt,
        key: str,
        targets: Targets,
        situation: Situation,
        now: float,
    ) -> Question:
        """Return what holds for a prompt whatever its engine."""
        placement = situation.placement
        names = [engine.backend_id for engine in situation.members]
        group = placement.group_for(prompt, names, situation.load)
        placement.update_membership(prompt, group, now)
        shared = prompt.parts[:-1]
        holders = (
            [name for name in names if placement.holds_part(name, shared[-1], now)]
            if shared and situation.may_copy
            else ()
        )
        return Question(
            prompt,
            targets,
            situation,
            max(1.0, prompt.tokens - sum(part.tokens for part in shared)),
            self.rank(key, group, now) if shared else (),
            frozenset(group),
            placement.is_interactive(prompt),
            holders,
            now,
        )

    def candidates(
        self, available: Sequence[Engine], question: Question
    ) -> list[Engine]:
        """Return the engines to consider: those that may hold the prefix, and a sample
        of the others."""
        likely: list[Engine] = []
        inside: list[Engine] = []
        outside: list[Engine] = []
        for engine in available:
            if engine.backend_id in question.ranked:
                likely.append(engine)
            elif engine.backend_id in question.group:
                inside.append(engine)
            else:
                outside.append(engine)
        likely += self.sample(inside, SAMPLED_IN_GROUP)
        return likely + self.sample(outside, SAMPLED_OUTSIDE)

    def sample(self, engines: list[Engine], most: int) -> list[Engine]:
        few = len(engines) <= most
        return engines if few else self.rng.sample(engines, most)

    def consider(self, question: Question, engine: Engine, view: FleetView) -> Option:
        """Return the prediction and the cost of an engine."""
        now = question.now
        speed = self.speed
        rates = Rates(
            speed.slowness(engine.backend_id, engine.spec.incarnation, view, now),
            speed.usual_step_s,
            speed.usual_tokens_per_s,
        )
        use = self.prefix_use(question, engine)
        tokens = prefill_tokens(question.own_tokens, use)
        load = engine.expected_load(question.situation.mean_other_load, now)
        is_in_group = engine.backend_id in question.group
        mix = self.mixes[question.is_interactive == is_in_group]
        ahead = self.others_ahead(question, engine, load, mix)
        raw = predict(
            tokens,
            rates,
            self.queue_at(question, engine, load, ahead),
            mix.usual_tokens,
            self.usual_gap_tokens,
        )
        kind = (question.prompt.class_name, type(use))
        prediction = raw.corrected(self.correction(kind))
        zone_s = 0.0 if engine.zone == question.situation.zone else OTHER_ZONE_S
        cost = cost_s(prediction, question.targets, mix.requests(load, self.strictest))
        cost += repeated_work_s(use, rates) + zone_s
        ahead_s = rates.prefill_s(ahead)
        forecast = Forecast(
            engine.backend_id,
            kind,
            prediction.first_token_s,
            use,
            raw.first_token_s,
            ahead_s,
        )
        return Option(engine, forecast, cost, prediction.busy_s)

    def prefix_use(self, question: Question, engine: Engine) -> PrefixUse:
        """Return what becomes of a prompt's shared parts on an engine."""
        shared = question.prompt.parts[:-1]
        backend_id = engine.backend_id
        if not shared or backend_id in question.ranked[:1]:
            return Cached()
        holds = question.situation.placement.holds_part
        missing = float(
            sum(p.tokens for p in shared if not holds(backend_id, p, question.now))
        )
        if backend_id in question.ranked:
            rank = question.ranked.index(backend_id)
            missing *= 1 - CACHED_SHARES[rank]
        if missing < 1:
            return Cached()
        sources = [*question.holders, *question.ranked[:1]]
        source = next((name for name in sources if name != backend_id), None)
        if (
            question.situation.may_copy
            and missing >= MIN_COPY_TOKENS
            and source is not None
        ):
            return Copy(missing, source)
        return PrefillAgain(missing)

    def others_ahead(
        self, question: Question, engine: Engine, load: float, mix: GroupMix
    ) -> float:
        """Return the tokens of one prompt of the usual size, times the number of other
        VMs' requests on the engine relative to the mean load."""
        situation = question.situation
        mean = situation.load.requests / max(1, len(situation.members))
        others = max(0.0, load - engine.in_flight)
        return mix.usual_tokens * min(MAX_LOAD_RATIO, others / max(1.0, mean))

    def queue_at(
        self, question: Question, engine: Engine, load: float, ahead: float
    ) -> Queue:
        """Return what is ahead of a prompt: our prompts, and the expected ones of
        others."""
        pending = question.situation.placement.pending_tokens
        excess = max(0.0, load + 1 - engine.places)
        return Queue(
            pending.get(engine.backend_id, 0.0),
            ahead * self.tail_backlog.value,
            excess * self.held_s(question) / max(1.0, engine.places),
        )

    def held_s(self, question: Question) -> float:
        """Return for how long requests of the prompt's class hold their places."""
        means = question.situation.placement.mean_held_s
        return means.get(question.prompt.class_name, DEFAULT_HELD_S)

    def rank(
        self, key: str, group: Collection[BackendId], now: float
    ) -> Sequence[BackendId]:
        """Return the first engines for a prefix, by rendezvous hashing weighted with
        their lasting speed, which all VMs learn alike."""
        known = self.ranks.pop(key, None)
        if known is None or known.until <= now or known.engines != len(group):
            slowness = self.speed.lasting_slowness

            def score(name: BackendId) -> float:
                digest = xxh3_64_intdigest(f"{key}\0{name}".encode())
                return -math.log((digest + 1) / 2**64) * slowness(name)

            ranked = tuple(sorted(group, key=score)[:RANKED])
            known = Ranking(ranked, len(group), now + RANKING_S)
        self.ranks[key] = known
        if len(self.ranks) > MAX_RANKINGS:
            del self.ranks[next(iter(self.ranks))]
        return known.ranked

    def correction(self, kind: tuple[ClassName, type[PrefixUse]]) -> float:
        """Return the median of observed over predicted first tokens."""
        known = self.corrections.get(kind)
        value = known.value if known is not None and known.value else 1.0
        return min(MAX_CORRECTION, max(1 / MAX_CORRECTION, value))

    @property
    def usual_gap_tokens(self) -> float:
        """Return how many prompt tokens are prefilled between two events at most."""
        value = self.gap_tokens.value or DEFAULT_GAP_TOKENS
        return min(MAX_GAP_TOKENS, max(MIN_GAP_TOKENS, value))

    def record_choice(
        self, request: RequestSpec, question: Question, forecast: Forecast
    ) -> None:
        """Keep what was predicted, and count the prompt."""
        self.forecasts.pop(request.request_id, None)
        self.forecasts[request.request_id] = forecast
        if len(self.forecasts) > MAX_FORECASTS:
            del self.forecasts[next(iter(self.forecasts))]
        tokens = prefill_tokens(question.own_tokens, forecast.use)
        mix = self.mixes[question.is_interactive]
        mix.add(question.targets, self.held_s(question), tokens)

    def forecast_of(
        self, request_id: RequestId, backend_id: BackendId
    ) -> Forecast | None:
        """Return what was predicted for a request on an engine, if it was chosen by
        that."""
        forecast = self.forecasts.get(request_id)
        is_chosen = forecast is not None and forecast.backend_id == backend_id
        return forecast if is_chosen else None

    def record_first_token(
        self, request: RequestSpec, backend_id: BackendId, waited_s: float, now: float
    ) -> None:
        """Learn from a prompt's first token."""
        server = self.speed.servers.get(backend_id)
        if server is None or waited_s <= 0:
            return
        forecast = self.forecasts.pop(request.request_id, None)
        if forecast is not None and forecast.backend_id == backend_id:
            self.record_error(forecast, waited_s)
        shared = sum(part.tokens for part in request.parts[:-1])
        own_tokens = max(0, request.prompt_tokens - shared)
        self.speed.record_first_token(server, own_tokens, waited_s, now)

    def record_error(self, forecast: Forecast, waited_s: float) -> None:
        """Learn from the error of a prediction."""
        ratio = waited_s / forecast.first_token_s
        self.error.add(max(1e-6, abs(1 / ratio - 1)))
        if forecast.ahead_s > 0:
            prompts = (waited_s - forecast.known_s) / forecast.ahead_s
            self.tail_backlog.add(prompts)
        median = self.corrections.setdefault(
            forecast.kind, Quantile(0.5, 1.0, CORRECTION_PRIOR)
        )
        median.add(ratio * self.correction(forecast.kind))

    def record_gap(
        self, backend_id: BackendId, gap_s: float, count: int, now: float
    ) -> None:
        """Learn from the gap before `count` events of a stream that came together."""
        server = self.speed.servers.get(backend_id)
        if server is None:
            return
        count = max(1, count)
        usual_s = self.speed.record_gap(server, gap_s / count, now)
        chunk_s = usual_s * count - self.speed.usual_step_s
        tokens = chunk_s * self.speed.usual_tokens_per_s
        self.gap_tokens.add(max(MIN_GAP_TOKENS, tokens))
