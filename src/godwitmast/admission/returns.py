"""When refused callers are told to come back.

The load is a retry storm: thousands of callers were refused, and each resends. Told
one and the same second, they come back as one burst and are refused again, and the
work of refusing them crowds out the work that was let in. Here each refusal gets the
next time in a line that moves at the rate at which the class is served, for each team
by its share, so that those who return can be let in.
"""

import random

from godwitmast.admission.fairness import TeamQueue

MAX_RETRY_S = 60.0
"""Longest time that callers are told: past it the estimate says little, and a caller
on a phone gives up."""

MIN_RETRY_S = 1.0
"""Retry-After is in whole seconds, and 0 would mean at once."""


def next_return(
    team: TeamQueue, rate: float, wait_s: float, now: float, rng: random.Random
) -> float:
    """Return the Retry-After, in seconds, of a refused request of `team`.

    `rate` is at how many a second the team's requests are served, `wait_s` how much
    longer the request would have to wait than it can. Once the line is longer than
    MAX_RETRY_S its end would be one burst, so that from there on the times are spread
    at random over its later half.
    """
    last = now + MAX_RETRY_S
    gap = 1 / max(rate, 1 / MAX_RETRY_S)
    team.returns_at = max(team.returns_at + gap, now + max(wait_s, MIN_RETRY_S))
    if team.returns_at < last:
        return team.returns_at - now
    team.returns_at = last
    return rng.uniform(MAX_RETRY_S / 2, MAX_RETRY_S)
