"""What teams were served here, for the other entries, and there, for this one.

Each entry admits by itself and sees only its own queues. A team whose callers all
reach one entry, and a team spread over nine, would then get unequal shares, and each
entry would grant the whole of a team's limit. Entries tell each other, every few
seconds, how many requests and tokens of each team they served since; each counts the
others' as if it had served them.
"""

from typing import NamedTuple

from godwitmast.types import ClassName, PoolName, TeamName


class ServiceKey(NamedTuple):
    """Whose service is counted."""

    team: TeamName
    class_name: ClassName
    pool: PoolName


class ServiceReport(NamedTuple):
    """What one entry served of a key since its last report."""

    key: ServiceKey
    requests: int
    tokens: float


class ServiceCounter:
    """What was served here since the last report."""

    def __init__(self) -> None:
        self.served: dict[ServiceKey, tuple[int, float]] = {}

    def add(self, key: ServiceKey, requests: int, tokens: float) -> None:
        old_requests, old_tokens = self.served.get(key, (0, 0.0))
        self.served[key] = (old_requests + requests, old_tokens + tokens)

    def take(self) -> list[ServiceReport]:
        """Return and forget what was counted."""
        reports = [
            ServiceReport(key, requests, tokens)
            for key, (requests, tokens) in self.served.items()
        ]
        self.served = {}
        return reports
