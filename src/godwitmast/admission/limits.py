"""A team's own limits: requests a second, tokens a second, requests at a time.

The load is a team that sends more than was agreed, often a loop in its own code.
Without limits it takes every idle share, is billed for it, and fills the queues that
its own urgent requests wait in. Limits hold however idle the servers are.

Both rates are kept by the generic cell rate algorithm (ITU-T I.371): one time for
each team, at which what it has used so far is paid off. It needs no timer, and says
exactly when the next request fits, which is what callers are told.
"""

from dataclasses import dataclass

from godwitmast.config.document import Team
from godwitmast.types import TeamName

BURST_S = 2.0
"""Seconds of its limit that a team may use at once: callers that keep to their rate
still send in clumps, and a limit of one a second has to allow two together."""

CONCURRENCY_RETRY_S = 1.0
"""When to ask again for one of the team's places before any answer was timed."""


@dataclass(slots=True)
class TeamUse:
    """What a team has used of its limits."""

    requests_paid_at: float = 0.0
    tokens_paid_at: float = 0.0
    open_requests: int = 0
    returns_at: float = 0.0


class TeamLimits:
    """The use of every team that has a limit or open requests."""

    def __init__(self) -> None:
        self.uses: dict[TeamName, TeamUse] = {}

    def use(self, name: TeamName) -> TeamUse:
        use = self.uses.get(name)
        if use is None:
            use = self.uses[name] = TeamUse()
        return use

    def wait(
        self, name: TeamName, team: Team, hold_s: float | None, now: float
    ) -> float:
        """Return how long a request is over the team's limits; 0 lets it in.

        `hold_s` is how long one of the team's requests stays open.
        """
        use = self.use(name)
        waits = [0.0]
        if team.requests_per_s is not None:
            burst = max(0.0, BURST_S - 1 / team.requests_per_s)
            waits.append(use.requests_paid_at - burst - now)
        if team.tokens_per_s is not None:
            waits.append(use.tokens_paid_at - BURST_S - now)
        if team.concurrency is not None and use.open_requests >= team.concurrency:
            waits.append((hold_s or CONCURRENCY_RETRY_S) / team.concurrency)
        return max(waits)

    def opened(self, name: TeamName, team: Team, now: float) -> None:
        """Count a request that is let in."""
        self.use(name).open_requests += 1
        self.use_requests(name, team, 1, now)

    def closed(self, name: TeamName) -> None:
        """Count a request that ended."""
        self.use(name).open_requests -= 1

    def use_requests(self, name: TeamName, team: Team, count: int, now: float) -> None:
        if team.requests_per_s is not None:
            use = self.use(name)
            paid_at = max(use.requests_paid_at, now)
            use.requests_paid_at = paid_at + count / team.requests_per_s

    def use_tokens(self, name: TeamName, team: Team, tokens: float, now: float) -> None:
        """Count tokens against the limit; less than none gives some back."""
        if team.tokens_per_s is not None:
            use = self.use(name)
            paid_at = max(use.tokens_paid_at, now)
            use.tokens_paid_at = paid_at + tokens / team.tokens_per_s

    def next_return(
        self, name: TeamName, team: Team, wait_s: float, now: float
    ) -> float:
        """Return the Retry-After of a request over the limits.

        Each refused request gets a later time than the one before, at the pace of the
        limit: told the same time, they would all come back at it, and all but one be
        refused again.
        """
        use = self.use(name)
        gap = 1 / team.requests_per_s if team.requests_per_s else 0.0
        use.returns_at = max(use.returns_at + gap, now + wait_s)
        return use.returns_at - now
