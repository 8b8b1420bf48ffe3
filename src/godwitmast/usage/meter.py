"""Counts what callers were given, by team, class and pool."""

from typing import NamedTuple

from godwitmast.types import TokenCount


class UsageKey(NamedTuple):
    """What a count is kept by."""

    team: str
    class_name: str
    pool: str


class UsageSum(NamedTuple):
    """Requests and tokens since this process started."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0


class Meter:
    """Cumulative counts of this process."""

    def __init__(self) -> None:
        self.sums: dict[UsageKey, UsageSum] = {}

    def add(self, key: UsageKey, tokens: TokenCount) -> None:
        """Count one request that reached a backend server."""
        old = self.sums.get(key, UsageSum())
        self.sums[key] = UsageSum(
            old.requests + 1,
            old.prompt_tokens + tokens.prompt,
            old.output_tokens + tokens.output,
        )
