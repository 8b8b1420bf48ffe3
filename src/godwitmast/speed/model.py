"""A model of the speed of a pool's servers, learned by all VMs together.

Load pattern: servers that differ for good by a factor of up to 2.4, others that become
2.5 times as slow for less than a second, and so many VMs that each sends a server one
request in half a minute. Of a server of which nothing is known, what is usual in its
pool is assumed.

A server's lasting slowness is learned from the gaps between events and from the prompt
tokens that it prefills until a first token. Both are affected by what else runs there,
which only delays: the lower quartile of gaps and the upper one of rates are taken. They
are corrected by what the server stated, if it did so lately. The other VMs' samples
count beside our own, by their weight and by how old they are.

Nothing here ejects a server: a slower one gets less.
"""

import math
import statistics
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from godwitmast.measurements.messages import FleetSpeed, SpeedSample
from godwitmast.measurements.view import FleetView
from godwitmast.speed.quantile import Quantile
from godwitmast.speed.statement import Stated
from godwitmast.types import BackendId

FAST_SHARE = 0.25
"""The quartile of times that are least delayed by other work. Fewer would be those of
events that the network delivered together."""

DEFAULT_STEP_S = 0.02
DEFAULT_TOKENS_PER_S = 50_000.0
DEFAULT_SERVICE_S = 0.05
"""Assumed before anything is measured: an event of a few tokens, and prefill, of a
common engine; a short answer of a plain service."""

PRIOR_WEIGHT = 10.0
"""Requests by which a server's own speed counts as much as what is usual for its
pool."""

GAP_WEIGHT = 0.05
"""Weight of a gap in requests: an answer has some twenty or more."""

WEIGHT_HALF_LIFE_S = 120.0
"""Half-life of what was measured: with one request of ours in half a minute, four or so
count."""

FAST_RATE_SHARE = 0.9
"""Quantile of the rates of prefill. Most prompts have others ahead of them or parts that
are not cached, which makes the rate of their own part come out too low."""

MIN_PREFILL_SHARE = 0.3
"""Least share of the time to a first token that is taken to be prefill."""

POOL_STEP = 0.01
"""Relative step of what is usual in a pool. The events of one answer come together, and
must not change what all servers are compared with."""

RATE_PRIOR = 4.0
"""First tokens by which a server's own rate counts as much as the pool's: of one or two,
most had other prompts ahead of them."""

MIN_LEARNED_TOKENS = 512
"""A prompt with fewer tokens of its own tells nothing of the prefill rate."""

LARGEST_SLOWNESS = 8.0
"""Limit on a server's lasting slowness or its inverse: more than that is a fault, which
is found otherwise."""

FLEET_REFRESH_S = 0.2
"""How often the other VMs' measurements of a server are read at most: they arrive each
half second, and a statement means little after 0.6 s."""

FLEET_USUAL_S = 0.5
"""How often the medians over a pool's servers are derived at most: as often as reports
of zones arrive."""

SAMPLE_RETENTION_S = 30.0
"""How long after its last measurement a server is reported: after that, nobody trusts
the report any more."""

MAX_FLEET_WEIGHT = 100.0
"""Most requests that the other VMs' measurements count for."""

REPEATED_S = 0.05
"""Statements this close together are the same one, which other VMs heard as well."""

USUAL_WEIGHT = 0.02
"""Weight of one measured request in the usual slowness of a pool."""


@dataclass(slots=True)
class ServerSpeed:
    """What was measured of one start of a server."""

    incarnation: int = 0
    step_s: Quantile = field(default_factory=lambda: Quantile(FAST_SHARE))
    tokens_per_s: Quantile = field(default_factory=lambda: Quantile(FAST_RATE_SHARE))
    service_s: Quantile = field(default_factory=lambda: Quantile(0.5))
    weight: float = 0.0
    measured_at: float = -math.inf
    stated: Stated = field(default_factory=Stated)
    """The last statement that any VM heard."""
    own_percent: int | None = None
    own_stated_at: float = -math.inf
    """The last statement that this VM heard, which it passes on."""
    fleet: FleetSpeed | None = None
    fleet_read_at: float = -math.inf
    log_slowness: float = 0.0
    lasting: float = 1.0
    """The lasting slowness and its logarithm, kept until the next measurement."""

    def add_weight(self, weight: float, now: float) -> None:
        self.weight = self.weight_at(now) + weight
        self.measured_at = max(self.measured_at, now)

    def weight_at(self, now: float) -> float:
        """Return the number of measured requests, older ones counting less."""
        age_s = max(0.0, now - self.measured_at)
        return self.weight * 0.5 ** (age_s / WEIGHT_HALF_LIFE_S)

    def rate_beside(self, pool_tokens_per_s: float | None) -> float | None:
        """Return the rate of prefill; that of the pool counts for more the fewer first
        tokens there were."""
        rate, count = self.tokens_per_s.value, self.tokens_per_s.count
        if not rate or not pool_tokens_per_s:
            return rate
        share = count / (count + RATE_PRIOR)
        return math.exp(
            share * math.log(rate) + (1 - share) * math.log(pool_tokens_per_s)
        )

    def sample(self, now: float, pool_tokens_per_s: float | None) -> SpeedSample:
        """Return what this VM measured, as other VMs are told."""
        rate = self.rate_beside(pool_tokens_per_s)
        step, service = self.step_s.value, self.service_s.value
        stated_age_s = max(0.0, now - self.own_stated_at)
        is_stated = stated_age_s <= SAMPLE_RETENTION_S
        return SpeedSample(
            rate / 1000 if rate else None,
            step * 1000 if step else None,
            service * 1000 if service else None,
            self.weight_at(now),
            self.own_percent if is_stated else None,
            stated_age_s if is_stated else 0.0,
        )


@dataclass(slots=True)
class PoolSpeed:
    """What is usual in a pool, and the speed of each of its servers relative to that."""

    step_s: Quantile = field(default_factory=lambda: pool_quantile(FAST_SHARE))
    tokens_per_s: Quantile = field(
        default_factory=lambda: pool_quantile(FAST_RATE_SHARE)
    )
    service_s: Quantile = field(default_factory=lambda: pool_quantile(0.5))
    servers: dict[BackendId, ServerSpeed] = field(default_factory=dict)
    has_statement: bool = False
    """A server of the pool has stated how long work takes there."""
    usual_log_slowness: float = 0.0

    fleet_step_s: float | None = None
    fleet_tokens_per_s: float | None = None
    fleet_service_s: float | None = None
    """Medians over the servers by what all VMs measured, which count before our own."""
    fleet_updated_at: float = -math.inf

    @property
    def usual_step_s(self) -> float:
        return self.fleet_step_s or self.step_s.value or DEFAULT_STEP_S

    @property
    def usual_tokens_per_s(self) -> float:
        return (
            self.fleet_tokens_per_s or self.tokens_per_s.value or DEFAULT_TOKENS_PER_S
        )

    @property
    def usual_service_s(self) -> float:
        return self.fleet_service_s or self.service_s.value or DEFAULT_SERVICE_S

    def server(self, backend_id: BackendId, incarnation: int) -> ServerSpeed:
        """Return the speed of a server; another start of it begins anew."""
        speed = self.servers.get(backend_id)
        if speed is None or speed.incarnation != incarnation:
            speed = self.servers[backend_id] = ServerSpeed(incarnation)
            self.set_slowness(speed, self.usual_log_slowness)
        return speed

    def keep(self, backend_ids: set[BackendId]) -> None:
        """Forget the servers that are not listed any more."""
        for backend_id in self.servers.keys() - backend_ids:
            del self.servers[backend_id]

    def record_statement(
        self, server: ServerSpeed, percent: int, made_at: float
    ) -> None:
        """Record how long work takes on a server by its own word."""
        if server.stated.record(percent, made_at):
            self.has_statement = True
            server.own_percent, server.own_stated_at = percent, made_at

    def record_gap(self, server: ServerSpeed, gap_s: float, now: float) -> float:
        """Record the time from one event of an answer to the next; return what it would
        be on a server of the pool's usual speed."""
        if gap_s <= 0:
            return 0.0
        usual_s = gap_s / server.stated.expect(now)
        server.step_s.add(usual_s)
        self.step_s.add(usual_s)
        server.add_weight(GAP_WEIGHT, now)
        return usual_s / server.lasting

    def record_first_token(
        self, server: ServerSpeed, own_tokens: float, waited_s: float, now: float
    ) -> None:
        """Record a first token `waited_s` after a prompt that had at least these tokens
        to be prefilled."""
        if waited_s <= 0:
            return
        if own_tokens >= MIN_LEARNED_TOKENS:
            factor = server.stated.expect(now)
            step_s = self.usual_step_s * server.lasting
            usual_s = waited_s / factor
            rate = own_tokens / max(usual_s - step_s, usual_s * MIN_PREFILL_SHARE)
            server.tokens_per_s.add(rate)
            self.tokens_per_s.add(rate)
        server.add_weight(1.0, now)
        self.update_slowness(server, now)
        change = server.log_slowness - self.usual_log_slowness
        self.usual_log_slowness += USUAL_WEIGHT * change

    def record_service(self, server: ServerSpeed, latency_s: float, now: float) -> None:
        """Record the time that a plain service took for an answer."""
        if latency_s <= 0:
            return
        usual_s = latency_s / server.stated.expect(now)
        server.service_s.add(usual_s)
        self.service_s.add(usual_s)
        server.add_weight(1.0, now)
        self.update_slowness(server, now)

    def slowness(
        self, backend_id: BackendId, incarnation: int, view: FleetView, now: float
    ) -> float:
        """Return how long work is expected to take on a server now, relative to the
        pool's usual times."""
        server = self.server(backend_id, incarnation)
        if now - server.fleet_read_at >= FLEET_REFRESH_S:
            self.read_fleet(server, view.speed_of(backend_id, incarnation, now), now)
        return server.lasting * server.stated.expect(now)

    def lasting_slowness(self, backend_id: BackendId) -> float:
        """Return how long work usually takes on a server, relative to the pool."""
        server = self.servers.get(backend_id)
        return server.lasting if server else math.exp(self.usual_log_slowness)

    def read_fleet(
        self, server: ServerSpeed, fleet: FleetSpeed | None, now: float
    ) -> None:
        """Apply what all VMs measured of a server."""
        server.fleet_read_at = now
        server.fleet = fleet
        if now - self.fleet_updated_at >= FLEET_USUAL_S:
            self.update_fleet(now)
        if fleet is not None and fleet.sample.stated_percent is not None:
            made_at = now - fleet.age_s - fleet.sample.stated_age_s
            if made_at > server.stated.made_at + REPEATED_S:
                server.stated.record(fleet.sample.stated_percent, made_at)
        self.update_slowness(server, now)

    def update_fleet(self, now: float) -> None:
        """Derive what is usual in the pool from what all VMs measured of its servers."""
        self.fleet_updated_at = now
        samples = [
            server.fleet.sample
            for server in self.servers.values()
            if server.fleet is not None and server.fleet.trust > 0
        ]
        step_ms = median([sample.step_ms for sample in samples])
        tokens_per_ms = median([sample.prompt_tokens_per_ms for sample in samples])
        service_ms = median([sample.service_ms for sample in samples])
        self.fleet_step_s = step_ms / 1000 if step_ms else None
        self.fleet_tokens_per_s = tokens_per_ms * 1000 if tokens_per_ms else None
        self.fleet_service_s = service_ms / 1000 if service_ms else None

    def update_slowness(self, server: ServerSpeed, now: float) -> None:
        """Combine what this VM, the others and the pool tell of a server."""
        total, weight = self.usual_log_slowness * PRIOR_WEIGHT, PRIOR_WEIGHT
        for sample, trust in self.samples_of(server, now):
            counted = min(MAX_FLEET_WEIGHT, sample.weight) * trust
            total += counted * self.log_ratio(sample)
            weight += counted
        self.set_slowness(server, total / weight)

    def set_slowness(self, server: ServerSpeed, log_slowness: float) -> None:
        server.log_slowness = log_slowness
        server.lasting = math.exp(log_slowness)

    def log_ratio(self, sample: SpeedSample) -> float:
        """Return how much slower than usual a server is by a sample, as a logarithm.

        The gaps between events tell it best: there are many, and half of them are not
        delayed by prompts.
        """
        match sample:
            case SpeedSample(step_ms=float(step_ms)):
                return log_ratio(step_ms / 1000, self.usual_step_s)
            case SpeedSample(service_ms=float(service_ms)):
                return log_ratio(service_ms / 1000, self.usual_service_s)
            case SpeedSample(prompt_tokens_per_ms=float(rate)):
                return log_ratio(self.usual_tokens_per_s, rate * 1000)
        return self.usual_log_slowness

    def samples_of(
        self, server: ServerSpeed, now: float
    ) -> Iterator[tuple[SpeedSample, float]]:
        """Return the samples of a server, each with the trust in it."""
        yield server.sample(now, self.tokens_per_s.value), 1.0
        if server.fleet is not None:
            yield server.fleet.sample, server.fleet.trust

    def samples(self, now: float) -> dict[BackendId, SpeedSample]:
        """Return this VM's measurements of each server that it measured lately."""
        return {
            backend_id: server.sample(now, self.tokens_per_s.value)
            for backend_id, server in self.servers.items()
            if now - max(server.measured_at, server.own_stated_at) <= SAMPLE_RETENTION_S
        }


def log_ratio(value: float, usual: float) -> float:
    """Return the logarithm of a ratio, within the limit on a server's slowness."""
    bound = math.log(LARGEST_SLOWNESS)
    return min(bound, max(-bound, math.log(value / usual)))


def median(values: Iterable[float | None]) -> float | None:
    known = [value for value in values if value is not None]
    return statistics.median(known) if known else None


def pool_quantile(share: float) -> Quantile:
    return Quantile(share, step=POOL_STEP)
