"""How much work each class will ask for when a server ordered now begins to serve."""

import math
from dataclasses import dataclass, field

from godwitmast.types import ClassName

LEVEL_S = 45.0
"""Time constant of the level. Shorter follows the noise of a few seconds' arrivals;
longer sees a burst only when its queue is already past the targets."""

TREND_S = 240.0
"""Time constant of the trend: a start takes about three minutes, and a trend that
lives shorter than that would be gone before the server it asked for serves."""

SLOT_S = 900.0
SLOTS = 96
"""The daily profile has a slot for each quarter of an hour."""

PROFILE_WEIGHT = 0.5
"""Weight of the newest day in the profile: two days ago counts a quarter."""

PROFILE_RATIO = (0.5, 1.5)
"""Bounds on today's level against the profile's: a day unlike the others is followed,
but one hour without callers must not erase an evening that comes every day."""


@dataclass(slots=True)
class Trend:
    """An exponentially smoothed level with a trend (Holt, 1957) and its error."""

    level: float
    slope: float = 0.0
    variance: float = 0.0
    updated: float = 0.0

    def observe(self, value: float, now: float) -> None:
        gap = max(now - self.updated, 1e-3)
        expected = self.level + self.slope * gap
        error = value - expected
        alpha = 1 - math.exp(-gap / LEVEL_S)
        beta = 1 - math.exp(-gap / TREND_S)
        before = self.level
        self.level = expected + alpha * error
        self.slope += beta * ((self.level - before) / gap - self.slope)
        # Only what came above the forecast is noise to keep room for: a fall of the
        # demand would otherwise order servers for its own surprise.
        above = max(0.0, error)
        self.variance += alpha * (above * above - self.variance)
        self.updated = now

    def at(self, ahead_s: float, sigmas: float) -> float:
        """Return the work expected in `ahead_s`, with room for noise.

        A falling trend is not followed: the servers go by hysteresis, not by hope.
        """
        noise = sigmas * math.sqrt(self.variance)
        return max(0.0, self.level + max(0.0, self.slope) * ahead_s + noise)


@dataclass
class Profile:
    """The mean work of each quarter of an hour of the days before."""

    days: list[float | None] = field(default_factory=lambda: [None] * SLOTS)
    slot: int = -1
    total: float = 0.0
    count: int = 0

    def observe(self, value: float, wall: float) -> None:
        slot = int(wall // SLOT_S) % SLOTS
        if slot != self.slot:
            self.close_slot()
            self.slot = slot
        self.total += value
        self.count += 1

    def close_slot(self) -> None:
        if self.count:
            mean = self.total / self.count
            old = self.days[self.slot]
            self.days[self.slot] = (
                mean if old is None else old + PROFILE_WEIGHT * (mean - old)
            )
        self.total = 0.0
        self.count = 0

    def ahead(self, level: float, wall: float, ahead_s: float) -> float:
        """Return what the days before say of `ahead_s` from now, scaled to today."""
        here = self.days[int(wall // SLOT_S) % SLOTS]
        there = self.days[int((wall + ahead_s) // SLOT_S) % SLOTS]
        if not here or there is None:
            return 0.0
        low, high = PROFILE_RATIO
        return there * min(high, max(low, level / here))


class Forecast:
    """The work that each class will ask for; one for each pool."""

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

    def expect(self, name: ClassName, wall: float) -> float:
        """Return the most that now, the trend and the days before make likely."""
        trend = self.trends[name]
        profile = self.profiles[name]
        return max(
            trend.at(self.lead_s, self.sigmas),
            profile.ahead(trend.level, wall, self.lead_s),
        )
