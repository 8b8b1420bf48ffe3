"""Estimates what other entries have on a server, from its lagging load reports.

Load pattern: several entries share the same servers, and none sees the others' queues.
If each trusted only its own count, nine entries would each fill a server that has room
for one entry's work. If each trusted the newest report as it stands, all of them would
send to whichever server the reports call idle, until the next reports say otherwise.

So a report is corrected for what was ours in it, counts less with age, and what it
leaves free is not all ours to take: of the room that others might take as well, an
entry claims its share, rounded at random, so that many entries together claim about
the whole.
"""

import math
import random
from dataclasses import dataclass

from godwitmast.dispatch.messages import LoadReport

HALF_LIFE_S = 4.0
"""A report of this age counts half. Reports come each second and lag another: an answer
takes some seconds, so after four about half of what was reported has ended."""

OWN_SMOOTHING_S = 1.0
"""Our own count is smoothed over the reports' usual age, to be subtracted from them."""

FRESH_S = 0.2
"""From a report of this age, such as came with an answer, our count as it is now."""

LEAST_SHARE = 0.1
"""An entry with nothing on a server still claims this part of its room: with eight or
nine entries, about its equal share."""


@dataclass(slots=True)
class OtherLoad:
    """What is on one server beside our own requests."""

    others: float = 0.0
    reported_at: float = -math.inf
    own_mean: float = 0.0
    own_mean_at: float = 0.0
    claims: float = math.inf

    def own_changed(self, in_flight: int, now: float) -> None:
        """Take our own count before it changes."""
        past = max(0.0, now - self.own_mean_at)
        weight = 1 - math.exp(-past / OWN_SMOOTHING_S)
        self.own_mean += weight * (in_flight - self.own_mean)
        self.own_mean_at = now

    def reported(
        self,
        report: LoadReport,
        in_flight: int,
        limit: float,
        now: float,
        draw: random.Random,
    ) -> None:
        """Take a report; an older one than the last is dropped."""
        made_at = now - report.age_s
        if made_at < self.reported_at:
            return
        self.own_changed(in_flight, now)
        total = report.running + report.waiting
        self.reported_at = made_at
        own = in_flight if report.age_s < FRESH_S else self.own_mean
        self.others = max(0.0, total - own)
        if self.others < 1:
            self.claims = math.inf
            return
        share = max(LEAST_SHARE, min(1.0, own / total))
        room = max(0.0, limit - self.estimate(now) - in_flight)
        whole, part = divmod(room * share, 1.0)
        self.claims = whole + (draw.random() < part)

    def estimate(self, now: float) -> float:
        """Return how many requests of others are on the server, as far as is known."""
        if not self.others:
            return 0.0
        return self.others * 0.5 ** ((now - self.reported_at) / HALF_LIFE_S)
