"""How long answers become, by team and class, before they are written.

The load is short questions and long drafts whose lengths nobody states. Charged at
their `max_tokens`, teams that leave it unset would look fifty times as greedy as they
are; charged nothing until the end, a team could start a flood of long answers before
the first is counted. A running quantile for each team and class is charged at the
start and settled as tokens come.
"""

from godwitmast.admission.estimates import RunningQuantile
from godwitmast.types import ClassName, TeamName

LENGTH_QUANTILE = 0.95
"""Nineteen answers in twenty are no longer than charged. What was charged too much is
given back at the end, so that the choice moves when a team pays, not how much. A class
with a target for the whole answer also starts by it."""

FIRST_GUESS = 256
"""Tokens charged for a class of which no answer has ended."""

TRUSTED_COUNT = 5
"""Answers after which a team's own quantile is better than that of its class."""


class AnswerLengths:
    """Running quantiles of answer lengths in tokens."""

    def __init__(self) -> None:
        self.of_class: dict[ClassName, RunningQuantile] = {}
        self.of_team: dict[tuple[TeamName, ClassName], RunningQuantile] = {}

    def add(self, team: TeamName, class_name: ClassName, tokens: int) -> None:
        """Note the length of a whole answer."""
        if tokens <= 0:
            return
        for estimate in (
            self.of_class.setdefault(class_name, RunningQuantile(LENGTH_QUANTILE)),
            self.of_team.setdefault(
                (team, class_name), RunningQuantile(LENGTH_QUANTILE)
            ),
        ):
            estimate.add(tokens)

    def guess(self, team: TeamName, class_name: ClassName, max_tokens: int) -> float:
        """Return the tokens to charge for an answer that has not begun."""
        estimate = self.of_team.get((team, class_name))
        if estimate is None or estimate.count < TRUSTED_COUNT:
            estimate = self.of_class.get(class_name)
        if estimate is None or estimate.value is None:
            return min(FIRST_GUESS, max_tokens)
        return min(estimate.value, max_tokens)
