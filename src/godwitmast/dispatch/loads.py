"""Estimates what other entries have on a server, from its lagging load reports.

Load pattern: several entries share the same servers, and none sees the others' queues.
If each trusted only its own count, nine entries would each fill a server that has room
for one entry's work. If each trusted the newest report as it stands, all of them would
send to whichever server the reports call idle, until the next reports say otherwise.

So a report is corrected for what was ours in it, counts less with age, and what it
leaves free is not all ours to take: of the room that others might take as well, an
entry claims its share, rounded at random, so that many entries together claim about
the whole.

The more entries there are, the longer it is since one of them heard of a server. What
an old report no longer tells is taken from the newer ones of the pool's other servers.
Taken for nothing, it made every entry send to the servers that it had not heard of for
longest, however full all of them were.
"""

import math
import random
from dataclasses import dataclass, field

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


USUAL_WEIGHT = 0.1
"""Least weight of one report in the usual load of a pool: the last ten or so decide."""


@dataclass(slots=True)
class UsualLoad:
    """What others have on a server of a pool, over the reports of all its servers."""

    mean: float = 0.0
    at: float = -math.inf

    def add(self, others: float, now: float) -> None:
        """Take a report; the first one after a silence counts for more."""
        faded = 1 - 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        self.mean += max(USUAL_WEIGHT, faded) * (others - self.mean)
        self.at = now


@dataclass(slots=True)
class OtherLoad:
    """What is on one server beside our own requests."""

    usual: UsualLoad = field(default_factory=UsualLoad)
    others: float = 0.0
    reported_at: float = -math.inf
    own_mean: float = 0.0
    own_mean_at: float = 0.0
    claims: float = math.inf

    def listed(self, now: float) -> None:
        """Take a server that has just started: nobody has sent there yet."""
        self.others = 0.0
        self.reported_at = now
        self.claims = math.inf

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
    ) -> bool:
        """Take a report; return False if it is older than the last, and was dropped."""
        made_at = now - report.age_s
        if made_at < self.reported_at:
            return False
        self.own_changed(in_flight, now)
        total = report.running + report.waiting
        self.reported_at = made_at
        own = in_flight if report.age_s < FRESH_S else self.own_mean
        self.others = max(0.0, total - own)
        if self.others < 1:
            self.claims = math.inf
            return True
        share = max(LEAST_SHARE, min(1.0, own / total))
        room = max(0.0, limit - self.estimate(now) - in_flight)
        whole, part = divmod(room * share, 1.0)
        self.claims = whole + (draw.random() < part)
        return True

    def estimate(self, now: float) -> float:
        """Return how many requests of others are on the server, as far as is known."""
        kept = 0.5 ** (max(0.0, now - self.reported_at) / HALF_LIFE_S)
        return self.others * kept + self.usual.mean * (1 - kept)
