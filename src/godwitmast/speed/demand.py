"""What kinds of prompts arrive at this VM, and what is sent to each group of engines."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from godwitmast.speed.prediction import Requests, Targets

RATE_HALF_LIFE_S = 4.0
"""Half-life of a kind's rate of arrivals: a burst lasts five seconds or more."""

MAX_KINDS = 2048
"""Kinds of prompts whose rate is kept, the latest ones."""

MIN_HELD_S = 0.001
"""Least time for which a request holds its place: one may end in the same tick of the
clock in which it began."""

MIN_TOKENS = 1.0
"""Least size of a prompt: callers state sizes, also 0."""

MIX_WEIGHT = 0.05
"""Weight of one prompt in what a group runs, which the last twenty or so determine."""


@dataclass(slots=True)
class ArrivalRate:
    """Arrivals of one kind of prompt, older ones counting less."""

    count: float = 0.0
    updated_at: float = -math.inf

    def add(self, now: float) -> None:
        self.count = self.decayed(now) + 1.0
        self.updated_at = now

    def decayed(self, now: float) -> float:
        if not self.count:
            return 0.0
        return self.count * 0.5 ** (max(0.0, now - self.updated_at) / RATE_HALF_LIFE_S)

    def per_s(self, now: float) -> float:
        """Return the rate that is certain, without the arrival that was added last.

        It is lower by a standard deviation: of a few arrivals, chance would be
        multiplied by the number of VMs.
        """
        others = max(0.0, self.decayed(now) - 1.0)
        certain = max(0.0, others - math.sqrt(others))
        return certain * math.log(2) / RATE_HALF_LIFE_S


@dataclass
class ArrivalRates:
    """Arrivals by kind; the key is the prefix that the prompts share."""

    rates: dict[str, ArrivalRate] = field(default_factory=dict)

    def add(self, key: str, now: float) -> float:
        """Count an arrival; return the rate of the kind per second."""
        rate = self.rates.pop(key, None) or ArrivalRate()
        self.rates[key] = rate
        if len(self.rates) > MAX_KINDS:
            del self.rates[next(iter(self.rates))]
        rate.add(now)
        return rate.per_s(now)


DEFAULT_HELD_S = 2.0
"""Assumed time for which requests hold their places."""

DEFAULT_TOKENS = {True: 1000.0, False: 8000.0}
"""Sizes of prompts that are assumed for the interactive group and the other one before
any arrived: within one chunk, and several."""


@dataclass(slots=True)
class GroupMix:
    """The prompts of one kind, interactive or not, that arrive at this VM, as they tell
    of those of the other VMs.

    `shares` holds the share of the open requests by what they ask for.
    """

    usual_tokens: float
    """Size of the prompt that another one is usually delayed by, in tokens to be
    prefilled: the mean of squares over the mean (Pollaczek and Khinchine)."""
    shares: dict[Targets, float] = field(default_factory=dict)
    held_s: float = 0.0
    mean_tokens: float = 0.0
    mean_square: float = 0.0

    def add(self, targets: Targets, held_s: float, tokens: float) -> None:
        """Add a prompt, and for how long it is expected to hold its place."""
        held_s, tokens = max(MIN_HELD_S, held_s), max(MIN_TOKENS, tokens)
        weight = min(1.0, MIX_WEIGHT * held_s)
        for known in self.shares:
            self.shares[known] *= 1 - weight
        self.shares[targets] = self.shares.get(targets, 0.0) + weight
        self.held_s += MIX_WEIGHT * (held_s - self.held_s)
        self.mean_tokens += MIX_WEIGHT * (tokens - self.mean_tokens)
        self.mean_square += MIX_WEIGHT * (tokens * tokens - self.mean_square)
        self.usual_tokens = self.mean_square / self.mean_tokens

    def requests(self, load: float, assumed: Targets) -> Iterator[Requests]:
        """Return the requests on an engine with so many of them; what they ask for is
        assumed before any arrived here."""
        if not self.shares:
            yield Requests(assumed, load, load / DEFAULT_HELD_S)
            return
        total = sum(self.shares.values())
        for targets, share in self.shares.items():
            count = load * share / total
            yield Requests(targets, count, count / self.held_s)
