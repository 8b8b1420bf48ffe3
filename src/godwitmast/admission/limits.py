"""Limits of a team: requests per second, tokens per second, and concurrency.

They stop a team that sends more than was agreed, often because of a loop in its own
code. Without limits it uses all idle capacity, is billed for it, and fills the queues
that its own urgent requests wait in. Limits apply even when servers are idle.

Both rates are enforced by the generic cell rate algorithm (ITU-T I.371), which keeps
one theoretical arrival time (TAT) per team and rate. It needs no timer, and gives the
exact time at which the next request fits, which becomes the Retry-After.
"""

from dataclasses import dataclass

from godwitmast.config.document import Team
from godwitmast.types import TeamName

BURST_S = 2.0
"""Burst allowance in seconds of the limit. Callers that keep to their rate on average
still send in bursts, and a limit of one request a second has to allow two at once."""

CONCURRENCY_RETRY_S = 1.0
"""Retry-After for the concurrency limit while no service time is known."""


@dataclass(slots=True)
class TeamUsage:
    """A team's state for its limits: theoretical arrival times and open requests."""

    requests_tat: float = 0.0
    tokens_tat: float = 0.0
    open_requests: int = 0
    next_retry_at: float = 0.0


class TeamLimits:
    """Usage of every team that has a limit or open requests, in `uses` by team."""

    def __init__(self) -> None:
        self.uses: dict[TeamName, TeamUsage] = {}

    def usage(self, name: TeamName) -> TeamUsage:
        usage = self.uses.get(name)
        if usage is None:
            usage = self.uses[name] = TeamUsage()
        return usage

    def wait_s(
        self, name: TeamName, team: Team, hold_s: float | None, now: float
    ) -> float:
        """Return how many seconds the team's limits delay a request; 0 if they do not.

        `hold_s` is the mean service time of the request's class, None if it is unknown.
        """
        usage = self.usage(name)
        waits = [0.0]
        if team.requests_per_s is not None:
            burst = max(0.0, BURST_S - 1 / team.requests_per_s)
            waits.append(usage.requests_tat - burst - now)
        if team.tokens_per_s is not None:
            waits.append(usage.tokens_tat - BURST_S - now)
        if team.concurrency is not None and usage.open_requests >= team.concurrency:
            waits.append((hold_s or CONCURRENCY_RETRY_S) / team.concurrency)
        return max(waits)

    def record_admitted(self, name: TeamName, team: Team, now: float) -> None:
        """Count an admitted request as open, and charge the request rate."""
        self.usage(name).open_requests += 1
        self.charge_requests(name, team, 1, now)

    def record_ended(self, name: TeamName) -> None:
        """Count a request as no longer open."""
        self.usage(name).open_requests -= 1

    def charge_requests(
        self, name: TeamName, team: Team, count: int, now: float
    ) -> None:
        if team.requests_per_s is not None:
            usage = self.usage(name)
            tat = max(usage.requests_tat, now)
            usage.requests_tat = tat + count / team.requests_per_s

    def charge_tokens(
        self, name: TeamName, team: Team, tokens: float, now: float
    ) -> None:
        """Charge tokens to the token rate; a negative number is a refund."""
        if team.tokens_per_s is not None:
            usage = self.usage(name)
            tat = max(usage.tokens_tat, now)
            usage.tokens_tat = tat + tokens / team.tokens_per_s

    def next_retry_after(
        self, name: TeamName, team: Team, wait_s: float, now: float
    ) -> float:
        """Return the Retry-After, in seconds, of a request over the limits.

        Consecutive refusals get times spaced at the rate of the limit. With the same
        time for all, they would return together, and all but one would be refused
        again.
        """
        usage = self.usage(name)
        step_s = 1 / team.requests_per_s if team.requests_per_s else 0.0
        usage.next_retry_at = max(usage.next_retry_at + step_s, now + wait_s)
        return usage.next_retry_at - now
