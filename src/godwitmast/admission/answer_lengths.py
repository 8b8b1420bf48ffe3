"""Estimates of answer lengths, by team and class.

Most callers do not state how long an answer will be, and lengths range from short
replies to long documents. Charged at `max_tokens`, teams that leave it unset would seem
to use fifty times what they do; charged only at the end, a team could start a flood of
long answers before the first one counts. So a running quantile for each team and class
is charged at the start, and corrected as tokens are written.
"""

from godwitmast.admission.estimates import RunningQuantile
from godwitmast.types import ClassName, TeamName

LENGTH_QUANTILE = 0.95
"""Nineteen answers in twenty are no longer than charged. The excess is refunded at the
end, so that this value affects when a team is charged, not how much. It also sets the
latest start of classes with a target for the whole answer."""

DEFAULT_ANSWER_TOKENS = 256
"""Tokens charged in a class that has no completed answer yet."""

MIN_TEAM_ANSWERS = 5
"""Number of answers after which a team's own quantile is used rather than its
class's."""


class AnswerLengths:
    """Running quantiles of answer lengths in tokens."""

    def __init__(self) -> None:
        self.by_class: dict[ClassName, RunningQuantile] = {}
        self.by_team: dict[tuple[TeamName, ClassName], RunningQuantile] = {}

    def add(self, team: TeamName, class_name: ClassName, tokens: int) -> None:
        """Add the length of a completed answer."""
        if tokens <= 0:
            return
        for estimate in (
            self.by_class.setdefault(class_name, RunningQuantile(LENGTH_QUANTILE)),
            self.by_team.setdefault(
                (team, class_name), RunningQuantile(LENGTH_QUANTILE)
            ),
        ):
            estimate.add(tokens)

    def estimate_tokens(
        self, team: TeamName, class_name: ClassName, max_tokens: int
    ) -> float:
        """Return the tokens to charge for an answer that has not started."""
        estimate = self.by_team.get((team, class_name))
        if estimate is None or estimate.count < MIN_TEAM_ANSWERS:
            estimate = self.by_class.get(class_name)
        if estimate is None or estimate.value is None:
            return min(DEFAULT_ANSWER_TOKENS, max_tokens)
        return min(estimate.value, max_tokens)
