"""Retry-After times of refused requests.

They prevent retry storms. If thousands of refused callers were all given the same time,
they would return as one burst and be refused again, and refusing them would crowd out
the admitted requests. Here each refusal gets the next slot in a sequence that advances
at the rate at which the class is served, divided among teams by their shares, so that
returning callers can be admitted.
"""

import random

from godwitmast.admission.fairness import TeamQueue

MAX_RETRY_AFTER_S = 60.0
"""Longest Retry-After. Beyond this the estimate is unreliable, and a caller on a phone
gives up."""

MIN_RETRY_AFTER_S = 1.0
"""Retry-After is in whole seconds, and 0 would mean at once."""


def next_retry_after(
    team: TeamQueue, rate: float, wait_s: float, now: float, rng: random.Random
) -> float:
    """Return the Retry-After, in seconds, of a refused request of `team`.

    `rate` is how many requests of the team are served per second, `wait_s` how many
    seconds too late the request would start. Once the sequence extends past
    MAX_RETRY_AFTER_S, its end would become one burst; from there on times are drawn at
    random from the second half of that range.
    """
    latest_at = now + MAX_RETRY_AFTER_S
    step_s = 1 / max(rate, 1 / MAX_RETRY_AFTER_S)
    team.next_retry_at = max(
        team.next_retry_at + step_s, now + max(wait_s, MIN_RETRY_AFTER_S)
    )
    if team.next_retry_at < latest_at:
        return team.next_retry_at - now
    team.next_retry_at = latest_at
    return rng.uniform(MAX_RETRY_AFTER_S / 2, MAX_RETRY_AFTER_S)
