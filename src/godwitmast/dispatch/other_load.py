"""An estimate of other entries' requests on a server, from its delayed load reports.

Load pattern: several entries share the same servers, and none sees the others' queues.
If each relied on its own count alone, nine entries would each fill a server that has
room for one entry's requests. If each relied on the latest report alone, all of them
would send to the server that it shows as idle, until the next reports arrive.

So our own requests are subtracted from a report, its weight decays with age, and this
entry uses only part of the room that it shows: of the room that others might use as
well, an entry claims its share, rounded at random, so that many entries together claim
about the whole.
"""

import math
import random
from dataclasses import dataclass

from godwitmast.dispatch.messages import LoadReport

HALF_LIFE_S = 4.0
"""A report of this age counts half. Reports are made each second and arrive about a
second later; an answer takes some seconds, so that after four about half of the
reported requests have ended."""

OWN_SMOOTHING_S = 1.0
"""Our own count is smoothed over the usual age of reports, from which it is
subtracted."""

FRESH_AGE_S = 0.2
"""From a report younger than this, such as one that came with an answer, our current
count is subtracted."""

MIN_CLAIM_SHARE = 0.1
"""An entry with no request on a server still claims this share of its room: about an
equal share with eight or nine entries."""


MEAN_WEIGHT = 0.1
"""Least weight of one report in a pool's mean, which the last ten or so determine."""


@dataclass(slots=True)
class MeanOtherLoad:
    """Mean of others' requests on a pool's servers, over the newest reports of all."""

    value: float = 0.0
    updated_at: float = -math.inf

    def add(self, others: float, now: float) -> None:
        """Add a report; the first one after a silence counts for more."""
        faded = 1 - 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.value += max(MEAN_WEIGHT, faded) * (others - self.value)
        self.updated_at = now


@dataclass(slots=True)
class OtherLoad:
    """Estimate of the requests on one server that are not our own."""

    others: float = 0.0
    reported_at: float = -math.inf
    smoothed_own: float = 0.0
    smoothed_at: float = 0.0
    claimable: float = math.inf
    """Requests that this entry may still send before the next report."""

    def update_own(self, in_flight: int, now: float) -> None:
        """Update the moving average of our own count, before the count changes."""
        past = max(0.0, now - self.smoothed_at)
        weight = 1 - math.exp(-past / OWN_SMOOTHING_S)
        self.smoothed_own += weight * (in_flight - self.smoothed_own)
        self.smoothed_at = now

    def record_report(
        self,
        report: LoadReport,
        in_flight: int,
        limit: float,
        now: float,
        rng: random.Random,
    ) -> None:
        """Apply a report, unless it is older than the last one."""
        made_at = now - report.age_s
        if made_at < self.reported_at:
            return
        self.update_own(in_flight, now)
        total = report.running + report.waiting
        self.reported_at = made_at
        own = in_flight if report.age_s < FRESH_AGE_S else self.smoothed_own
        self.others = max(0.0, total - own)
        if self.others < 1:
            self.claimable = math.inf
            return
        share = max(MIN_CLAIM_SHARE, min(1.0, own / total))
        room = max(0.0, limit - self.estimate(now) - in_flight)
        whole, part = divmod(room * share, 1.0)
        self.claimable = whole + (rng.random() < part)

    def record_full(self, in_flight: int, limit: float, now: float) -> None:
        """Record that the server rejected a request of ours, as it had no room."""
        self.others = max(self.others, limit - in_flight, 1.0)
        self.reported_at = now
        self.claimable = 0.0

    def estimate(self, now: float) -> float:
        """Return the estimated number of other entries' requests on the server."""
        return self.others * self.validity(now) if self.others else 0.0

    def expect(self, mean: float, now: float) -> float:
        """Return the expected number of other entries' requests on the server.

        What an old report no longer tells is taken from the pool's mean. Taken for
        nothing, as by `estimate`, the requests of a whole pool come out the lower, the
        more entries there are and the less often each hears of a server.
        """
        validity = self.validity(now)
        return self.others * validity + mean * (1 - validity)

    def validity(self, now: float) -> float:
        """Return what part of the last report is still taken to be true."""
        return 0.5 ** (max(0.0, now - self.reported_at) / HALF_LIFE_S)
