"""Counts what callers were given, by team, class and pool."""

from collections.abc import Callable
from typing import NamedTuple

from godwitmast.types import TokenCount


class UsageKey(NamedTuple):
    """What a count is kept by."""

    team: str
    class_name: str
    pool: str


class UsageSum(NamedTuple):
    """Requests and tokens, added up."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0

    def plus(self, other: "UsageSum") -> "UsageSum":
        return UsageSum(*(a + b for a, b in zip(self, other, strict=True)))

    def minus(self, other: "UsageSum") -> "UsageSum":
        return UsageSum(*(a - b for a, b in zip(self, other, strict=True)))


Sums = dict[UsageKey, UsageSum]


def add_sums(into: Sums, more: Sums) -> None:
    """Add `more` to `into`, key by key."""
    for key, value in more.items():
        into[key] = into.get(key, UsageSum()).plus(value)


def subtract_sums(whole: Sums, part: Sums) -> Sums:
    """Return what is left of `whole`; keys with nothing left are dropped."""
    left = {key: s.minus(part.get(key, UsageSum())) for key, s in whole.items()}
    return {key: value for key, value in left.items() if any(value)}


class Meter:
    """Cumulative counts of this process; listeners get each increment."""

    def __init__(self) -> None:
        self.sums: Sums = {}
        self.listeners: list[Callable[[UsageKey, UsageSum], None]] = []

    def began(self, key: UsageKey) -> None:
        """Count a request on which a backend server has begun."""
        self.count(key, UsageSum(requests=1))

    def add(self, key: UsageKey, tokens: TokenCount) -> None:
        """Count the tokens of a request that ended, apart from its beginning.

        A request belongs to the window in which it began, its tokens to that in which
        they are known.
        """
        self.count(key, UsageSum(0, tokens.prompt, tokens.output))

    def count(self, key: UsageKey, increment: UsageSum) -> None:
        self.sums[key] = self.sums.get(key, UsageSum()).plus(increment)
        for listener in self.listeners:
            listener(key, increment)
