"""Traffic mixes of both users: rates over the day, classes, lengths and teams."""

import math
import random
from dataclasses import dataclass
from typing import NamedTuple

DAY_S = 86_400.0
HOUR_S = 3_600.0


class Lengths(NamedTuple):
    """Token counts as a log-normal: `median`, and `sigma` of the logarithm."""

    median: float
    sigma: float
    max_tokens: int = 2048

    @property
    def mean(self) -> float:
        return self.median * math.exp(self.sigma**2 / 2)

    @property
    def deviation(self) -> float:
        return self.mean * math.sqrt(math.exp(self.sigma**2) - 1)

    def draw(self, source: random.Random) -> int:
        drawn = source.lognormvariate(math.log(self.median), self.sigma)
        return max(1, min(self.max_tokens, round(drawn)))


class ClassMix(NamedTuple):
    """A request class of a mix with its targets, as the examples configure it."""

    name: str
    tier: int
    share: float
    prompt: Lengths
    answer: Lengths
    first_token_s: float | None = None
    completion_s: float | None = None


class TeamMix(NamedTuple):
    """A team with its share of the requests."""

    name: str
    share: float


class DailyProfile(NamedTuple):
    """Request rates at each hour of a day, relative to the peak of an ordinary day."""

    rates: tuple[float, ...]

    def at(self, seconds: float) -> float:
        """Return the rate at a time of day, interpolated between the hours."""
        hour = seconds % DAY_S / HOUR_S
        low = int(hour)
        share = hour - low
        after = self.rates[(low + 1) % 24]
        return self.rates[low] * (1 - share) + after * share


@dataclass(frozen=True, slots=True)
class Mix:
    """The traffic of one user; `peak_per_s` is the peak rate of an ordinary day.

    `days` holds a factor of the rate for each day of the mix. `bursts_per_day` bursts
    start at random times; each multiplies the rate by a factor that declines over
    `burst_s`. A share `resend` of refused requests is sent again once.
    """

    name: str
    model: str
    peak_per_s: float
    hours: DailyProfile
    days: tuple[float, ...]
    classes: tuple[ClassMix, ...]
    teams: tuple[TeamMix, ...]
    zones: tuple[str, ...]
    bursts_per_day: float = 3.0
    burst_factor: float = 1.6
    burst_s: float = 900.0
    resend: float = 0.3

    @property
    def duration_s(self) -> float:
        return len(self.days) * DAY_S

    def rate(self, seconds: float) -> float:
        """Return the rate in requests a second, without bursts."""
        day = int(seconds // DAY_S) % len(self.days)
        return self.peak_per_s * self.days[day] * self.hours.at(seconds)

    def draw_bursts(self, source: random.Random) -> list[tuple[float, float]]:
        """Return the start and the factor of each burst."""
        bursts: list[tuple[float, float]] = []
        at = 0.0
        while True:
            at += source.expovariate(self.bursts_per_day / DAY_S)
            if at >= self.duration_s:
                return bursts
            bursts.append((at, source.uniform(1.2, self.burst_factor)))

    def draw_team(self, source: random.Random) -> str:
        names = [team.name for team in self.teams]
        return source.choices(names, [team.share for team in self.teams])[0]


TRUST = Mix(
    name="trust",
    model="godwit-lm",
    peak_per_s=24.0,
    # The peak is in the evening (birthdays), with a lower one at lunch and a few
    # requests all night.
    hours=DailyProfile(
        (
            *(0.22, 0.16, 0.12, 0.10, 0.10, 0.12, 0.18, 0.28, 0.34, 0.36, 0.38, 0.42),
            *(0.50, 0.48, 0.42, 0.42, 0.50, 0.66, 0.86, 1.00, 0.98, 0.80, 0.54, 0.34),
        )
    ),
    days=(1.0,),
    classes=(
        ClassMix("question", 1, 0.60, Lengths(220, 0.6), Lengths(70, 0.6), 1.2),
        ClassMix("summary", 2, 0.25, Lengths(900, 0.5), Lengths(160, 0.5), 3.0, 30.0),
        ClassMix(
            "invitation", 3, 0.15, Lengths(400, 0.5), Lengths(420, 0.6), None, 120.0
        ),
    ),
    teams=(
        TeamMix("port-of-spain", 0.30),
        TeamMix("arima", 0.16),
        TeamMix("chaguanas", 0.16),
        TeamMix("san-fernando", 0.14),
        TeamMix("couva", 0.06),
        TeamMix("diego-martin", 0.05),
        TeamMix("mayaro", 0.03),
        TeamMix("point-fortin", 0.04),
        TeamMix("princes-town", 0.03),
        TeamMix("tobago", 0.03),
    ),
    zones=("tt-north-a", "tt-north-b", "tt-north-c"),
)

COOPERATIVE = Mix(
    name="coop",
    model="assist-models",
    peak_per_s=5.8,
    # Office hours and a long evening; the last day of the week is that of a deadline.
    hours=DailyProfile(
        (
            *(0.06, 0.04, 0.03, 0.03, 0.04, 0.08, 0.20, 0.45, 0.75, 0.92, 1.00, 0.96),
            *(0.82, 0.90, 0.98, 1.00, 0.94, 0.80, 0.66, 0.52, 0.40, 0.28, 0.18, 0.10),
        )
    ),
    days=(0.55, 0.60, 0.70, 0.35, 0.45, 1.10, 1.70),
    classes=(
        ClassMix("taproom", 1, 0.45, Lengths(260, 0.6), Lengths(80, 0.6), 1.2),
        ClassMix(
            "reconcile", 2, 0.30, Lengths(1400, 0.5), Lengths(220, 0.5), 5.0, 60.0
        ),
        ClassMix("draft", 3, 0.25, Lengths(2200, 0.6), Lengths(800, 0.5), None, 300.0),
    ),
    teams=(
        TeamMix("bend", 0.24),
        TeamMix("portland", 0.24),
        TeamMix("bellingham", 0.15),
        TeamMix("eugene", 0.10),
        TeamMix("astoria", 0.05),
        TeamMix("corvallis", 0.05),
        TeamMix("hood-river", 0.05),
        TeamMix("olympia", 0.04),
        TeamMix("spokane", 0.04),
        TeamMix("yakima", 0.04),
    ),
    zones=("pnw-a", "pnw-b", "pnw-c"),
)

MIXES = {mix.name: mix for mix in (TRUST, COOPERATIVE)}
