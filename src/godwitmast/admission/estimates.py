"""Running estimates that cost one float and one step for each thing seen.

They answer loads whose shape is not known in advance: answer lengths, times to the
first token, rates. A fixed guess in their place refuses what could be served, or
serves late what should be refused, as soon as the models or the callers change.
"""

from dataclasses import dataclass
from math import exp

STEP = 0.05
"""Weight of a new value once warm: the last 20 or so count. At the one request a second
of a small class, a hundredth would need minutes to follow an engine that slows down."""

RATE_WINDOW_S = 5.0
"""Time constant of rates: long against one engine step, short against a burst."""


@dataclass(slots=True)
class RunningQuantile:
    """A quantile of a stream of positive values, by stochastic approximation.

    Robbins and Monro (1951): go up by a large step when a value exceeds the estimate
    and down by a small one when it does not, so that both balance at the quantile.
    """

    quantile: float
    value: float | None = None
    count: int = 0

    def add(self, seen: float) -> None:
        self.count += 1
        if self.value is None:
            self.value = seen
            return
        step = max(STEP, 1 / (self.count + 1))
        if seen > self.value:
            self.value *= 1 + step * self.quantile
        else:
            self.value *= 1 - step * (1 - self.quantile)


@dataclass(slots=True)
class RunningMean:
    """A mean in which old values fade."""

    value: float | None = None
    count: int = 0

    def add(self, seen: float) -> None:
        self.count += 1
        if self.value is None:
            self.value = seen
            return
        self.value += max(STEP, 1 / self.count) * (seen - self.value)


@dataclass(slots=True)
class DecayingRate:
    """Events a second over about the last RATE_WINDOW_S."""

    level: float = 0.0
    at: float = 0.0

    def add(self, now: float) -> None:
        self.level = self.read(now) + 1 / RATE_WINDOW_S
        self.at = now

    def read(self, now: float) -> float:
        return self.level * exp(min(0.0, self.at - now) / RATE_WINDOW_S)
