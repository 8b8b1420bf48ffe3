"""Usage counters: requests and tokens by team, class and pool."""

from collections.abc import Callable
from typing import NamedTuple

from godwitmast.types import TokenCount


class UsageKey(NamedTuple):
    """The dimensions of a usage counter."""

    team: str
    class_name: str
    pool: str


class UsageSum(NamedTuple):
    """A sum of requests and tokens."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0

    def plus(self, other: "UsageSum") -> "UsageSum":
        return UsageSum(*(a + b for a, b in zip(self, other, strict=True)))

    def minus(self, other: "UsageSum") -> "UsageSum":
        return UsageSum(*(a - b for a, b in zip(self, other, strict=True)))


Sums = dict[UsageKey, UsageSum]


def add_sums(into: Sums, increments: Sums) -> None:
    """Add `increments` to `into`, key by key."""
    for key, value in increments.items():
        into[key] = into.get(key, UsageSum()).plus(value)


def subtract_sums(whole: Sums, part: Sums) -> Sums:
    """Return `whole` minus `part`, without keys whose difference is zero."""
    remaining = {key: s.minus(part.get(key, UsageSum())) for key, s in whole.items()}
    return {key: value for key, value in remaining.items() if any(value)}


class Meter:
    """Cumulative counters of this process; listeners receive each increment."""

    def __init__(self) -> None:
        self.sums: Sums = {}
        self.listeners: list[Callable[[UsageKey, UsageSum], None]] = []

    def count_request(self, key: UsageKey) -> None:
        """Count a request that a backend server has started on."""
        self.count(key, UsageSum(requests=1))

    def count_tokens(self, key: UsageKey, tokens: TokenCount) -> None:
        """Count the tokens of a request that ended.

        The request itself was counted when it started: it belongs to the window in
        which it started, its tokens to the one in which their number is known.
        """
        self.count(key, UsageSum(0, tokens.prompt, tokens.output))

    def count(self, key: UsageKey, increment: UsageSum) -> None:
        self.sums[key] = self.sums.get(key, UsageSum()).plus(increment)
        for listener in self.listeners:
            listener(key, increment)
