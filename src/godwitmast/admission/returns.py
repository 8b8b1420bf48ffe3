"""Retry-After times of refused requests.

They prevent retry storms. If thousands of refused callers were all given the same time,
they would return as one burst and be refused again, and refusing them would crowd out
the admitted requests. Here each refusal gets the next slot in a sequence that advances
at the rate at which the class is served, divided among teams by their shares, so that
returning callers can be admitted.
"""

import random
from collections import OrderedDict
from typing import NamedTuple

from godwitmast.admission.fairness import TeamQueue
from godwitmast.dispatch.messages import RequestSpec

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


MIN_RETURN_S = 0.1
"""Shortest Retry-After where callers accept fractions of a second: two ticks of the
entry."""

OBEYED_SHARE = 1 / 3
"""Callers obey a Retry-After up to this share of the time that they have left."""

EARLY_S = 0.05
"""A caller that returns this much before its time is on time: clocks and links vary."""

KEPT_S = 10.0
"""A caller that is this late has given up."""

MAX_KEPT = 2_000
"""Callers that are remembered at most, in some 0.3 MB; beyond, the oldest are not."""


class Return(NamedTuple):
    """The time from which a refused caller may come back, and when it was first told."""

    at: float
    refused_at: float


class Returns:
    """The callers that were refused and told when to return, by fingerprint.

    A caller that comes back earlier is told the rest of the same time. One that comes
    back on time goes before the other requests of its team.
    """

    def __init__(self) -> None:
        self.by_fingerprint: OrderedDict[str, Return] = OrderedDict()

    def find(self, request: RequestSpec, now: float) -> Return | None:
        """Return when a request's caller was told to return, if it was refused lately."""
        told = self.by_fingerprint.get(request.fingerprint)
        return told if told is not None and now < told.at + KEPT_S else None

    def is_early(self, request: RequestSpec, now: float) -> bool:
        told = self.find(request, now)
        return told is not None and now < told.at - EARLY_S

    def next_after(
        self,
        request: RequestSpec,
        team: TeamQueue,
        rate: float,
        wait_s: float,
        now: float,
    ) -> float:
        """Return the Retry-After, in seconds, of a refused request.

        Each refusal gets the next time of its team's sequence, spaced at `rate` a
        second and not before `wait_s`. Callers would not wait longer than a share of the
        time they have; near that limit the times lie closer together, in the same order.
        """
        told = self.find(request, now)
        if told is not None and now < told.at - EARLY_S:
            return told.at - now
        limit_s = MAX_RETRY_AFTER_S
        if request.deadline is not None:
            limit_s = min(limit_s, OBEYED_SHARE * (request.deadline - now))
        limit_at = now + max(MIN_RETURN_S, limit_s)
        last_at = min(max(team.next_retry_at, now), limit_at)
        step_s = min(1 / max(rate, 1 / MAX_RETRY_AFTER_S), (limit_at - last_at) / 2)
        earliest_at = min(now + max(wait_s, MIN_RETURN_S), limit_at)
        team.next_retry_at = max(last_at + step_s, earliest_at)
        if request.fingerprint:
            first_at = told.refused_at if told is not None else now
            self.keep(request.fingerprint, Return(team.next_retry_at, first_at))
        return team.next_retry_at - now

    def keep(self, fingerprint: str, told: Return) -> None:
        self.by_fingerprint.pop(fingerprint, None)
        self.by_fingerprint[fingerprint] = told
        if len(self.by_fingerprint) > MAX_KEPT:
            self.by_fingerprint.popitem(last=False)

    def forget(self, request: RequestSpec) -> None:
        self.by_fingerprint.pop(request.fingerprint, None)
