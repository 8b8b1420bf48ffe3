"""Estimates of quantiles that keep no list of samples.

Ma, Muthukrishnan and Sandler, "Frugal Streaming", 2013.
"""

from dataclasses import dataclass

STEP = 0.06
"""Relative step after many samples: a change by half is followed within some tens."""

FIRST_STEP = 0.6
"""Relative step after the first sample, which may be far off."""


@dataclass(slots=True)
class Quantile:
    """The value that `share` of the positive samples are below; None before the first.

    Its steps are relative to the value, and larger while there are few samples. Of the
    first few, the largest is taken for a high quantile, the smallest for a low one.
    """

    share: float
    value: float | None = None
    count: int = 0
    step: float = STEP

    def add(self, sample: float) -> None:
        """Move towards a positive sample."""
        self.count += 1
        if self.value is None:
            self.value = sample
            return
        if self.count * min(self.share, 1 - self.share) <= 1:
            # Of so few samples the largest or the smallest is the quantile.
            pick = max if self.share > 0.5 else min
            self.value = pick(self.value, sample)
            return
        step = max(self.step, FIRST_STEP / self.count)
        if sample > self.value:
            self.value = min(sample, self.value * (1 + step * self.share))
        else:
            self.value = max(sample, self.value / (1 + step * (1 - self.share)))


@dataclass(slots=True)
class StepQuantile:
    """The value that `share` of the samples are below, found in steps of a fixed size,
    for samples that may be 0 or below."""

    share: float
    value: float
    step: float

    def add(self, sample: float) -> None:
        """Move towards a sample; the value stays at 0 or above."""
        if sample > self.value:
            self.value = min(sample, self.value + self.step * self.share)
        else:
            self.value = max(sample, self.value - self.step * (1 - self.share), 0.0)
