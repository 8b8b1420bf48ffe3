"""A model engine without I/O: continuous batching, priorities and a prefix cache.

The HTTP stand-in steps it in real time and the scenario player in virtual time, so
that both run the same engine.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple


class EngineSpeed(NamedTuple):
    """Speed and limits of an engine; the defaults resemble a 7-billion-parameter model.

    One step takes `step_s`, plus `sequence_s` for each sequence that it decodes, plus
    the time to prefill up to `chunk_tokens` at `prompt_tokens_per_s`. A `speed` of 0.1
    makes a straggler. An engine that `preempts` takes a less urgent sequence out of a
    full batch for one that waits.
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
    """A request in an engine, waiting or running."""

    sequence_id: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    prefix: str = ""
    prefix_tokens: int = 0
    generated: int = 0
    imported_tokens: int = 0
    """Tokens whose KV cache came from another engine and need no prefill."""
    prefill_left: int = 0
    """Tokens that prefill has still to process."""
    order: int = 0
    """Number of the sequence in the order of submission."""


class TokenEvent(NamedTuple):
    """A token that a step generated; `position` in the answer counts from 1."""

    sequence_id: str
    position: int
    last: bool


class CacheEvent(NamedTuple):
    """A prompt prefix was stored in the prefix cache or evicted from it."""

    sequence: int
    prefix: str
    stored: bool


class Preempted(NamedTuple):
    """A sequence that was preempted, and the `others` that stayed in the batch."""

    sequence_id: str
    others: tuple[str, ...]


class Step(NamedTuple):
    """Duration of a batch step, and the tokens that it generates."""

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
        """Queue a sequence; one with `generated` above 0 resumes its answer."""
        self.submitted += 1
        sequence.order = self.submitted
        self.enqueue(sequence)

    def enqueue(self, sequence: Sequence) -> None:
        """Add a sequence to the queue, which is sorted by admission order."""
        self.waiting.append(sequence)
        self.waiting.sort(key=admission_order)

    def cancel(self, sequence_id: str) -> None:
        """Drop a sequence, waiting or running."""
        self.running.pop(sequence_id, None)
        self.waiting = [s for s in self.waiting if s.sequence_id != sequence_id]

    def clear(self) -> list[str]:
        """Drop all sequences and the cache, as a crash does; return the lost ids."""
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
        """Run one batch step: prefill in chunks, then decode one token a sequence."""
        rates = self.rates
        self.fill_batch()
        prefill_budget = rates.chunk_tokens
        prefilled = 0
        decoding = []
        for sequence in self.running.values():
            if sequence.prefill_left:
                chunk = min(sequence.prefill_left, prefill_budget - prefilled)
                sequence.prefill_left -= chunk
                prefilled += chunk
                if sequence.prefill_left:
                    continue
            decoding.append(sequence)
        events = [self.decode(sequence) for sequence in decoding]
        duration_s = (
            rates.step_s
            + len(decoding) * rates.sequence_s
            + prefilled / rates.prompt_tokens_per_s
        )
        return Step(duration_s / rates.speed, events)

    def fill_batch(self) -> None:
        """Admit waiting sequences while there is room or a less urgent one to preempt."""
        while self.waiting:
            if len(self.running) >= self.rates.max_batch:
                victim = max(self.running.values(), key=admission_order)
                if not self.rates.preempts or (
                    victim.priority <= self.waiting[0].priority
                ):
                    return
                self.preempt(victim)
            self.admit(self.waiting.pop(0))

    def preempt(self, victim: Sequence) -> None:
        """Requeue a running sequence; its prompt and answer need prefill again."""
        del self.running[victim.sequence_id]
        self.preempted.append(Preempted(victim.sequence_id, tuple(self.running)))
        victim.imported_tokens = 0
        self.enqueue(victim)

    def admit(self, sequence: Sequence) -> None:
        """Move a sequence into the batch; cached or imported tokens need no prefill."""
        reusable = sequence.imported_tokens
        if sequence.prefix:
            cached = min(self.cache.get(sequence.prefix, 0), sequence.prompt_tokens - 1)
            reusable = max(reusable, cached)
            self.cache_prefix(sequence.prefix, sequence.prefix_tokens)
        sequence.prefill_left = max(
            1, sequence.prompt_tokens + sequence.generated - reusable
        )
        self.running[sequence.sequence_id] = sequence

    def decode(self, sequence: Sequence) -> TokenEvent:
        sequence.generated += 1
        self.generated_total += 1
        last = sequence.generated >= sequence.output_tokens
        if last:
            del self.running[sequence.sequence_id]
        return TokenEvent(sequence.sequence_id, sequence.generated, last)

    def cache_prefix(self, prefix: str, tokens: int) -> None:
        """Store a prompt prefix in the cache, and evict the least recently used ones."""
        if prefix in self.cache:
            self.cache.move_to_end(prefix)
            return
        self.cache[prefix] = tokens
        self.cache_used += tokens
        self.record_cache_event(prefix, True)
        while self.cache_used > self.rates.cache_tokens and len(self.cache) > 1:
            dropped, size = self.cache.popitem(last=False)
            self.cache_used -= size
            self.record_cache_event(dropped, False)

    def record_cache_event(self, prefix: str, stored: bool) -> None:
        number = self.cache_events[-1].sequence + 1 if self.cache_events else 1
        self.cache_events.append(CacheEvent(number, prefix, stored))
        del self.cache_events[:-1000]


def admission_order(sequence: Sequence) -> tuple[int, int]:
    """Return the key by which sequences are admitted, lowest first.

    The highest key, the newest sequence of the least urgent priority, is preempted first.
    """
    return (sequence.priority, sequence.order)
