"""Metrics of an entry, in registries of its own."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    disable_created_metrics,
)
from prometheus_client.metrics_core import CounterMetricFamily
from prometheus_client.registry import Collector

from godwitmast.backends.answer_limits import AnswerTooLong
from godwitmast.backends.connection_use import DroppedConnection
from godwitmast.config.document import NumberedConfig, RequestClass
from godwitmast.entry.sending import EntryMemory
from godwitmast.memory.budget import Holder
from godwitmast.room.messages import RoomSummary
from godwitmast.types import PoolName

# A series with the creation time of each counter would double the page of team metrics.
disable_created_metrics()

LATENCY_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 1.2, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0)
TOKEN_GAP_BUCKETS_S = (0.005, 0.01, 0.015, 0.02, 0.028, 0.04, 0.06, 0.1, 0.25, 1.0)

CALLER_CAUSED_OUTCOMES = frozenset(
    {"team_limit", "caller_gone", "caller_slow", "key_withdrawn"}
)
"""Outcomes that spend no error budget: the team's own limit, a caller that
disconnected or read too slowly, and a key that its operator withdrew."""


class Gap(NamedTuple):
    """An inter-token gap; `ended_at` is on the entry's clock."""

    seconds: float = 0.0
    ended_at: float | None = None


@dataclass(slots=True)
class TokenTimes:
    """Times at which the tokens of an answer arrived, on the entry's clock."""

    first_at: float | None = None
    last_at: float = 0.0
    longest_gap: Gap = Gap()

    def record_arrival(self, now: float) -> None:
        """Record one or more tokens that arrived together."""
        if self.first_at is None:
            self.first_at = now
        elif now - self.last_at > self.longest_gap.seconds:
            self.longest_gap = Gap(now - self.last_at, now)
        self.last_at = now


class Timing(NamedTuple):
    """Seconds from a request's arrival to its first and last token, and its tokens."""

    first_token_s: float | None
    last_token_s: float
    tokens: int

    @property
    def between_tokens_s(self) -> float | None:
        """Return the mean inter-token time, or None with fewer than two tokens."""
        if self.first_token_s is None or self.tokens < 2:
            return None
        return (self.last_token_s - self.first_token_s) / (self.tokens - 1)


def meets_targets(target: RequestClass, timing: Timing) -> bool:
    """Return whether an answer met every latency target of its class."""
    pairs = (
        (target.first_token_s, timing.first_token_s),
        (target.between_tokens_s, timing.between_tokens_s),
        (target.completion_s, timing.last_token_s),
    )
    return all(limit is None or seen is None or seen <= limit for limit, seen in pairs)


class EntryMetrics:
    """An entry's metrics; `outcome` is `met`, `late`, or an error code.

    Counters by team are in a registry of their own, with its own page. With thousands
    of teams that page has megabytes; on one page, every scrape for an alert would be
    as large.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.team_registry = CollectorRegistry()
        self.requests = Counter(
            "godwit_requests",
            "Requests that ended, by how they ended.",
            ["class_name", "outcome"],
            registry=self.registry,
        )
        self.team_requests = Counter(
            "godwit_team_requests",
            "Requests that ended: met, missed, or the team's own doing.",
            ["team", "class_name", "result"],
            registry=self.team_registry,
        )
        self.tokens = Counter(
            "godwit_output_tokens",
            "Tokens given to callers.",
            ["class_name"],
            registry=self.registry,
        )
        self.good_tokens = Counter(
            "godwit_good_tokens",
            "Tokens of answers that met their targets.",
            ["class_name"],
            registry=self.registry,
        )
        self.wasted_tokens = Counter(
            "godwit_wasted_tokens",
            "Tokens given to callers who never got a whole answer.",
            ["class_name"],
            registry=self.registry,
        )
        self.server_tokens = Counter(
            "godwit_server_tokens",
            "Tokens given to callers, by the kind of backend server they came from.",
            ["kind"],
            registry=self.registry,
        )
        self.answers = Counter(
            "godwit_backend_answers",
            "Requests that a backend server answered, by the framing of the answer and "
            "by whether the caller got a whole answer.",
            ["framing", "whole"],
            registry=self.registry,
        )
        self.long_answers = Counter(
            "godwit_answers_too_long",
            "Answers that were broken off as a part of them exceeded its limit, by their "
            "sender and that part.",
            ["sender", "limit"],
            registry=self.registry,
        )
        self.dropped_connections = Counter(
            "godwit_connections_dropped",
            "Connections that were not used again for what was found on them between two "
            "requests, by whom they lead to and what was found.",
            ["peer", "reason"],
            registry=self.registry,
        )
        self.first_token = Histogram(
            "godwit_first_token_seconds",
            "From a request's arrival to its first token.",
            ["class_name"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.between_tokens = Histogram(
            "godwit_between_tokens_seconds",
            "Mean time between the tokens of an answer.",
            ["class_name"],
            buckets=TOKEN_GAP_BUCKETS_S,
            registry=self.registry,
        )
        self.goal = Gauge(
            "godwit_attainment_goal",
            "Share of a class's requests that is to meet its targets.",
            ["class_name"],
            registry=self.registry,
        )
        self.config_version = Gauge(
            "godwit_config_version",
            "The configuration in force here.",
            registry=self.registry,
        )
        self.open_requests = Gauge(
            "godwit_open_requests", "Requests being served.", registry=self.registry
        )
        self.room_decisions = Counter(
            "godwit_room_decisions",
            "Requests that the capacity of all VMs together held back, by the cause, and "
            "that it let start late, refused, or saw return.",
            ["pool", "class_name", "decision"],
            registry=self.registry,
        )
        self.room = Gauge(
            "godwit_room",
            "State of a pool by all VMs together: slots, requests that run and wait, "
            "reserved slots, VMs, and how certain that is.",
            ["pool", "value"],
            registry=self.registry,
        )

    def config_changed(self, config: NumberedConfig) -> None:
        """Publish the configuration's version and the goals of its classes."""
        self.config_version.set(config.version)
        self.goal.clear()
        for name, item in config.document.classes.items():
            self.goal.labels(name).set(item.attainment_goal)

    def record_room(
        self,
        decisions: Mapping[tuple[str, str, str], int],
        pools: Mapping[PoolName, RoomSummary],
    ) -> None:
        """Count decisions by the capacity of all VMs, and publish the pools' state."""
        for labels, count in decisions.items():
            self.room_decisions.labels(*labels).inc(count)
        for pool, summary in pools.items():
            for name, value in summary._asdict().items():
                self.room.labels(pool, name).set(value)

    def record_answer(
        self, team: str, class_name: str, target: RequestClass, timing: Timing
    ) -> None:
        """Count a whole answer."""
        met = meets_targets(target, timing)
        self.requests.labels(class_name, "met" if met else "late").inc()
        self.team_requests.labels(team, class_name, "met" if met else "missed").inc()
        self.tokens.labels(class_name).inc(timing.tokens)
        if met:
            self.good_tokens.labels(class_name).inc(timing.tokens)
        if timing.first_token_s is not None:
            self.first_token.labels(class_name).observe(timing.first_token_s)
        if timing.between_tokens_s is not None:
            self.between_tokens.labels(class_name).observe(timing.between_tokens_s)

    def record_refusal(
        self, team: str, class_name: str, code: str, tokens: int = 0
    ) -> None:
        """Count a request without a whole answer; `tokens` were sent to the caller."""
        self.requests.labels(class_name, code).inc()
        result = "own" if code in CALLER_CAUSED_OUTCOMES else "missed"
        self.team_requests.labels(team, class_name, result).inc()
        if tokens:
            self.wasted_tokens.labels(class_name).inc(tokens)

    def count_answer(self, framing: str, error_code: str | None) -> None:
        """Count a request by the framing of the last answer to it."""
        self.answers.labels(framing, str(error_code is None).lower()).inc()

    def count_long_answer(self, sender: str, error: AnswerTooLong) -> None:
        """Count an answer of a server, of another VM or of the store that was too long."""
        self.long_answers.labels(sender, error.part.value).inc()

    def count_dropped_connection(self, peer: str, dropped: DroppedConnection) -> None:
        """Count a connection to a server or another VM that is not used again."""
        self.dropped_connections.labels(peer, dropped.reason.value).inc()

    def count_server_tokens(self, kind: str, tokens: int) -> None:
        """Count tokens by the kind of backend server that generated them."""
        self.server_tokens.labels(kind).inc(tokens)


def add_memory_metrics(memory: EntryMemory, registry: CollectorRegistry) -> None:
    """Register the sums by holder, the limit, and what was done while memory was short."""
    budget = memory.budget
    held = Gauge(
        "godwit_memory_held_bytes",
        "Bytes held for callers and servers, by what they are held for.",
        ["holder"],
        registry=registry,
    )
    for holder in Holder:
        held.labels(holder.value).set_function(partial(budget.held.__getitem__, holder))
    limit = Gauge(
        "godwit_memory_limit_bytes",
        "Bytes that may be held; 0 if they are not bounded.",
        registry=registry,
    )
    limit.set_function(lambda: budget.limit or 0)
    short = Gauge(
        "godwit_memory_short",
        "1 while large requests that are not urgent are refused, else 0.",
        registry=registry,
    )
    short.set_function(lambda: int(budget.is_short))
    registry.register(MemoryCounters(memory))


class MemoryCounters(Collector):
    """Counters that the entry's memory keeps itself."""

    def __init__(self, memory: EntryMemory) -> None:
        self.memory = memory

    def collect(self) -> Iterator[CounterMetricFamily]:
        yield CounterMetricFamily(
            "godwit_slow_callers_ended",
            "Callers whose answers were broken off as memory was short.",
            self.memory.ended_callers,
        )
        yield CounterMetricFamily(
            "godwit_memory_refusals",
            "Requests that were refused as memory was short.",
            self.memory.refused_requests,
        )
