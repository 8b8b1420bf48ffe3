"""A model engine without I/O: continuous batching, priorities and a prefix cache.

The HTTP stand-in steps it in real time and the scenario player in virtual time, so
that both meet the same engine.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple


class EngineSpeed(NamedTuple):
    """How fast an engine is; the defaults resemble a 7-billion-parameter model.

    One step takes `step_s`, and more for each sequence that it decodes and for each
    prompt token that it reads. `speed` of 0.1 makes a straggler. An engine that
    `preempts` gives the place of a less urgent sequence to one that waits.
    """

    step_s: float = 0.010
    sequence_s: float = 0.0004
    prompt_tokens_per_s: float = 12_000.0
    chunk_tokens: int = 512
    max_batch: int = 32
    cache_tokens: int = 60_000
    speed: float = 1.0
    preempts: bool = False


@dataclass(slots=True)
class Sequence:
    """A request inside an engine."""

    sequence_id: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    prefix: str = ""
    prefix_tokens: int = 0
    generated: int = 0
    imported: int = 0
    """Tokens whose KV cache came from another engine and need not be read."""
    unread: int = 0
    order: int = 0


class TokenEvent(NamedTuple):
    """A token came out of a sequence; `position` counts from 1."""

    sequence_id: str
    position: int
    last: bool


class CacheEvent(NamedTuple):
    """A prompt prefix entered or left the cache."""

    sequence: int
    prefix: str
    stored: bool


class Preempted(NamedTuple):
    """A sequence lost its place in the batch while `others` kept theirs."""

    sequence_id: str
    others: tuple[str, ...]


class Step(NamedTuple):
    """How long a step takes and what it gives at its end."""

    duration_s: float
    events: list[TokenEvent]


@dataclass
class EngineModel:
    """An engine's queue, batch and prefix cache."""

    rates: EngineSpeed = EngineSpeed()
    waiting: list[Sequence] = field(default_factory=list)
    running: dict[str, Sequence] = field(default_factory=dict)
    cache: "OrderedDict[str, int]" = field(default_factory=OrderedDict)
    cache_used: int = 0
    cache_events: list[CacheEvent] = field(default_factory=list)
    preempted: list[Preempted] = field(default_factory=list)
    submitted: int = 0
    generated_total: int = 0

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence; one with `generated` above 0 is resumed."""
        self.submitted += 1
        sequence.order = self.submitted
        self.enqueue(sequence)

    def enqueue(self, sequence: Sequence) -> None:
        """Put a sequence among those that wait, the most urgent first."""
        self.waiting.append(sequence)
        self.waiting.sort(key=urgency)

    def cancel(self, sequence_id: str) -> None:
        """Drop a sequence, wherever it is."""
        self.running.pop(sequence_id, None)
        self.waiting = [s for s in self.waiting if s.sequence_id != sequence_id]

    def clear(self) -> list[str]:
        """Lose everything, as a crash does; return the ids that were lost."""
        lost = [*self.running, *(item.sequence_id for item in self.waiting)]
        self.running.clear()
        self.waiting.clear()
        self.cache.clear()
        self.cache_used = 0
        return lost

    @property
    def busy(self) -> bool:
        return bool(self.running or self.waiting)

    def step(self) -> Step:
        """Run one batch step."""
        rates = self.rates
        self.fill_batch()
        budget = rates.chunk_tokens
        read = 0
        decoding = []
        for sequence in self.running.values():
            if sequence.unread:
                chunk = min(sequence.unread, budget - read)
                sequence.unread -= chunk
                read += chunk
                if sequence.unread:
                    continue
            decoding.append(sequence)
        events = [self.decode(sequence) for sequence in decoding]
        duration = (
            rates.step_s
            + len(decoding) * rates.sequence_s
            + read / rates.prompt_tokens_per_s
        )
        return Step(duration / rates.speed, events)

    def fill_batch(self) -> None:
        """Admit what waits while there is room, or a less urgent sequence runs."""
        while self.waiting:
            if len(self.running) >= self.rates.max_batch:
                victim = max(self.running.values(), key=urgency)
                if not self.rates.preempts or (
                    victim.priority <= self.waiting[0].priority
                ):
                    return
                self.preempt(victim)
            self.admit(self.waiting.pop(0))

    def preempt(self, victim: Sequence) -> None:
        """Put a running sequence back; its prompt and answer are read again."""
        del self.running[victim.sequence_id]
        self.preempted.append(Preempted(victim.sequence_id, tuple(self.running)))
        victim.imported = 0
        self.enqueue(victim)

    def admit(self, sequence: Sequence) -> None:
        """Move a sequence into the batch, sparing the part of its prompt in cache."""
        known = sequence.imported
        if sequence.prefix:
            cached = min(self.cache.get(sequence.prefix, 0), sequence.prompt_tokens - 1)
            known = max(known, cached)
            self.remember(sequence.prefix, sequence.prefix_tokens)
        sequence.unread = max(1, sequence.prompt_tokens + sequence.generated - known)
        self.running[sequence.sequence_id] = sequence

    def decode(self, sequence: Sequence) -> TokenEvent:
        sequence.generated += 1
        self.generated_total += 1
        last = sequence.generated >= sequence.output_tokens
        if last:
            del self.running[sequence.sequence_id]
        return TokenEvent(sequence.sequence_id, sequence.generated, last)

    def remember(self, prefix: str, tokens: int) -> None:
        """Keep a prompt prefix, dropping the ones used longest ago."""
        if prefix in self.cache:
            self.cache.move_to_end(prefix)
            return
        self.cache[prefix] = tokens
        self.cache_used += tokens
        self.note_cache(prefix, True)
        while self.cache_used > self.rates.cache_tokens and len(self.cache) > 1:
            dropped, size = self.cache.popitem(last=False)
            self.cache_used -= size
            self.note_cache(dropped, False)

    def note_cache(self, prefix: str, stored: bool) -> None:
        number = self.cache_events[-1].sequence + 1 if self.cache_events else 1
        self.cache_events.append(CacheEvent(number, prefix, stored))
        del self.cache_events[:-1000]


def urgency(sequence: Sequence) -> tuple[int, int]:
    """Return what an engine admits by; the newest of the last priority goes first."""
    return (sequence.priority, sequence.order)
