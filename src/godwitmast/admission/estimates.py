"""Running estimates with constant memory and constant time per sample.

They serve loads whose shape is not known in advance: answer lengths, times to the first
token, rates. Fixed values would refuse requests that could be served, or serve requests
late that should be refused, as soon as the models or the callers change.
"""

from dataclasses import dataclass
from math import exp

MIN_SAMPLE_WEIGHT = 0.05
"""Weight of a new sample after warm-up: about the last 20 samples count. In a small
class with one request a second, a weight of a hundredth would take minutes to follow an
engine that slows down."""

RATE_WINDOW_S = 5.0
"""Time constant of rates: long compared with one engine step, short compared with a
burst."""


@dataclass(slots=True)
class RunningQuantile:
    """A quantile of a stream of positive values, by stochastic approximation.

    Robbins and Monro (1951): a sample above the estimate raises it by a large step, one
    below lowers it by a small step, so that both balance at the quantile.
    """

    quantile: float
    value: float | None = None
    count: int = 0
    stays_in_range: bool = False
    """Whether no step goes past its sample. Without it, a few samples that differ by
    little raise the estimate far above all of them."""

    def add(self, sample: float) -> None:
        self.count += 1
        if self.value is None:
            self.value = sample
            return
        step = max(MIN_SAMPLE_WEIGHT, 1 / (self.count + 1))
        if sample > self.value:
            raised = self.value * (1 + step * self.quantile)
            self.value = min(raised, sample) if self.stays_in_range else raised
        else:
            lowered = self.value * (1 - step * (1 - self.quantile))
            self.value = max(lowered, sample) if self.stays_in_range else lowered


@dataclass(slots=True)
class RunningMean:
    """An exponentially weighted moving average."""

    value: float | None = None
    count: int = 0

    def add(self, sample: float) -> None:
        self.count += 1
        if self.value is None:
            self.value = sample
            return
        self.value += max(MIN_SAMPLE_WEIGHT, 1 / self.count) * (sample - self.value)


@dataclass(slots=True)
class DecayingRate:
    """Events per second over about the last RATE_WINDOW_S."""

    level: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float) -> None:
        self.level = self.read(now) + 1 / RATE_WINDOW_S
        self.updated_at = now

    def read(self, now: float) -> float:
        return self.level * exp(min(0.0, self.updated_at - now) / RATE_WINDOW_S)
