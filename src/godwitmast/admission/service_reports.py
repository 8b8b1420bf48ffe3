"""Requests and tokens served per team, exchanged between the entries.

Each entry admits requests by its own queues only. Without an exchange, a team whose
callers all reach one entry would get a different share than one spread over nine
entries, and each entry would grant a team's full limit. Every few seconds entries
report how many requests and tokens of each team they served since, and each charges the
others' reports as if it had served them itself.
"""

from typing import NamedTuple

from godwitmast.types import ClassName, PoolName, TeamName


class ServiceKey(NamedTuple):
    """Team, class and pool that service is counted by."""

    team: TeamName
    class_name: ClassName
    pool: PoolName


class ServiceReport(NamedTuple):
    """Requests and tokens that one entry served for a key since its last report."""

    key: ServiceKey
    requests: int
    tokens: float


class ServiceCounter:
    """Service by this entry since the last report."""

    def __init__(self) -> None:
        self.served: dict[ServiceKey, tuple[int, float]] = {}

    def add(self, key: ServiceKey, requests: int, tokens: float) -> None:
        old_requests, old_tokens = self.served.get(key, (0, 0.0))
        self.served[key] = (old_requests + requests, old_tokens + tokens)

    def pop_reports(self) -> list[ServiceReport]:
        """Return the counts as reports, and reset them."""
        reports = [
            ServiceReport(key, requests, tokens)
            for key, (requests, tokens) in self.served.items()
        ]
        self.served = {}
        return reports
