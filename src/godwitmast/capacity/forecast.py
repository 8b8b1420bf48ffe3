"""Forecast of each class's work at the time when a server ordered now is ready."""

import math
from dataclasses import dataclass, field

from godwitmast.types import ClassName

LEVEL_TIME_CONSTANT_S = 45.0
"""A shorter time constant follows the noise of a few seconds' arrivals; with a longer
one a burst shows only when its queue is already past the targets."""

TREND_TIME_CONSTANT_S = 240.0
"""A server takes about three minutes to start. With a shorter time constant the trend
would be gone before the server that it caused is serving."""

SLOT_S = 900.0
SLOTS_PER_DAY = 96
"""The daily profile has one slot per quarter of an hour."""

NEWEST_DAY_WEIGHT = 0.5
"""Weight of the newest day in the profile; the day before it has a quarter."""

PROFILE_SCALE_BOUNDS = (0.5, 1.5)
"""Bounds on the ratio of today's level to the profile. A day unlike the others is
followed, but one hour without callers must not erase the evening peak of every day."""


@dataclass(slots=True)
class Trend:
    """Exponentially smoothed level, trend (Holt, 1957) and error variance."""

    level: float
    slope: float = 0.0
    variance: float = 0.0
    updated: float = 0.0

    def observe(self, value: float, now: float) -> None:
        gap = max(now - self.updated, 1e-3)
        expected = self.level + self.slope * gap
        error = value - expected
        alpha = 1 - math.exp(-gap / LEVEL_TIME_CONSTANT_S)
        beta = 1 - math.exp(-gap / TREND_TIME_CONSTANT_S)
        previous_level = self.level
        self.level = expected + alpha * error
        self.slope += beta * ((self.level - previous_level) / gap - self.slope)
        # Only demand above the forecast needs headroom: errors from a fall of the
        # demand would otherwise order servers.
        excess = max(0.0, error)
        self.variance += alpha * (excess * excess - self.variance)
        self.updated = now

    def extrapolate(self, ahead_s: float, sigmas: float) -> float:
        """Return the work expected in `ahead_s` seconds, plus `sigmas` standard errors.

        A falling trend is ignored: the planner's hysteresis decides when servers go.
        """
        noise = sigmas * math.sqrt(self.variance)
        return max(0.0, self.level + max(0.0, self.slope) * ahead_s + noise)


@dataclass
class Profile:
    """Mean work in each quarter of an hour of the day, over the past days."""

    slot_means: list[float | None] = field(
        default_factory=lambda: [None] * SLOTS_PER_DAY
    )
    slot: int = -1
    total: float = 0.0
    count: int = 0

    def observe(self, value: float, wall: float) -> None:
        slot = int(wall // SLOT_S) % SLOTS_PER_DAY
        if slot != self.slot:
            self.close_slot()
            self.slot = slot
        self.total += value
        self.count += 1

    def close_slot(self) -> None:
        if self.count:
            mean = self.total / self.count
            old = self.slot_means[self.slot]
            self.slot_means[self.slot] = (
                mean if old is None else old + NEWEST_DAY_WEIGHT * (mean - old)
            )
        self.total = 0.0
        self.count = 0

    def predict(self, level: float, wall: float, ahead_s: float) -> float:
        """Return the work of past days `ahead_s` seconds from now, scaled to today."""
        current_mean = self.slot_means[int(wall // SLOT_S) % SLOTS_PER_DAY]
        future_mean = self.slot_means[int((wall + ahead_s) // SLOT_S) % SLOTS_PER_DAY]
        if not current_mean or future_mean is None:
            return 0.0
        low, high = PROFILE_SCALE_BOUNDS
        return future_mean * min(high, max(low, level / current_mean))


class Forecast:
    """Forecast of each class's work in one pool."""

    def __init__(self, lead_s: float, sigmas: float = 1.0) -> None:
        self.lead_s = lead_s
        self.sigmas = sigmas
        self.trends: dict[ClassName, Trend] = {}
        self.profiles: dict[ClassName, Profile] = {}

    def observe(self, name: ClassName, work: float, now: float, wall: float) -> None:
        trend = self.trends.get(name)
        if trend is None:
            self.trends[name] = Trend(work, updated=now)
            self.profiles[name] = Profile()
        else:
            trend.observe(work, now)
        self.profiles[name].observe(work, wall)

    def predict(self, name: ClassName, wall: float) -> float:
        """Return the higher of the trend's and the daily profile's prediction."""
        trend = self.trends[name]
        profile = self.profiles[name]
        return max(
            trend.extrapolate(self.lead_s, self.sigmas),
            profile.predict(trend.level, wall, self.lead_s),
        )
