"""Attainment and the burn of error budgets, from counters alone.

The windows and their burn rates are those of "Alerting on SLOs" in The Site
Reliability Workbook (Beyer et al., O'Reilly 2018, chapter 5): an alert needs a long
window, so that it is worth waking someone for, and a short one, so that it ends soon
after the trouble does.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from godwitmast.burn.snapshot import Cell, ClassCell, Snapshot, growth
from godwitmast.entry.metrics import CALLER_CAUSED_OUTCOMES

DEFAULT_GOAL = 0.95
"""The goal of a class whose entry does not publish one."""


class AlertRule(NamedTuple):
    """Both windows must burn at `burn` times the sustainable rate or faster."""

    severity: str
    long_s: float
    short_s: float
    burn: float


HOUR_S = 3600.0
RULES = (
    AlertRule("page", 1 * HOUR_S, 300.0, 14.4),
    AlertRule("page", 6 * HOUR_S, 1800.0, 6.0),
    AlertRule("ticket", 72 * HOUR_S, 6 * HOUR_S, 1.0),
)
"""Spent of a 30 days' budget before each fires: 2 %, 5 % and 10 %.

A burn cannot pass 1 / (1 - goal): a class with a goal of 95 % burns at 20 at most, and
one of 90 % never reaches 14.4. `reachable` says which rules can fire for a goal.
"""

WINDOWS_S = (300.0, 1800.0, HOUR_S, 6 * HOUR_S, 72 * HOUR_S)


class Tally(NamedTuple):
    """How a group of requests ended."""

    total: float = 0.0
    met: float = 0.0
    late: float = 0.0
    refused: float = 0.0

    @property
    def attainment(self) -> float | None:
        """Return the share that met its targets; None if there were no requests."""
        return self.met / self.total if self.total else None

    def burn(self, goal: float) -> float | None:
        """Return how many times faster than sustainable the budget goes."""
        if not self.total:
            return None
        missed = 1 - self.met / self.total
        return missed / max(1 - goal, 1e-9)


class Alert(NamedTuple):
    """A rule that fires for a class."""

    class_name: str
    severity: str
    long_s: float
    burn: float


class WindowReport(NamedTuple):
    """A window as far as the snapshots cover it; `covered_s` may be shorter."""

    window_s: float
    covered_s: float
    classes: dict[str, Tally]
    teams: dict[tuple[str, str], Tally]


def tally(cells: Iterable[tuple[Cell, float]]) -> Tally:
    """Return how the requests ended, without what is the callers' own doing."""
    total = met = late = 0.0
    for cell, value in cells:
        if cell.outcome == "own" or cell.outcome in CALLER_CAUSED_OUTCOMES:
            continue
        total += value
        met += value if cell.outcome == "met" else 0.0
        late += value if cell.outcome == "late" else 0.0
    return Tally(total, met, late, total - met - late)


def report_window(snapshots: list[Snapshot], window_s: float) -> WindowReport:
    """Return what came in the last `window_s` before the newest snapshot."""
    newest = snapshots[-1]
    before = pick_start(snapshots, newest.at - window_s)
    cells = growth(before, newest)
    classes: defaultdict[str, list[tuple[Cell, float]]] = defaultdict(list)
    teams: defaultdict[tuple[str, str], list[tuple[Cell, float]]] = defaultdict(list)
    for cell, value in cells.items():
        if isinstance(cell, ClassCell):
            classes[cell.class_name].append((cell, value))
        else:
            teams[cell.team, cell.class_name].append((cell, value))
    covered = newest.at - before.at if before else 0.0
    return WindowReport(
        window_s,
        covered,
        {name: tally(items) for name, items in sorted(classes.items())},
        {pair: tally(items) for pair, items in sorted(teams.items())},
    )


def pick_start(snapshots: list[Snapshot], wanted: float) -> Snapshot | None:
    """Return the newest snapshot from `wanted` or before, or else the oldest.

    With one snapshot there is no start: the counters' whole life is the window.
    """
    if len(snapshots) < 2:
        return None
    older = [s for s in snapshots[:-1] if s.at <= wanted]
    return older[-1] if older else snapshots[0]


def find_alerts(snapshots: list[Snapshot], goals: dict[str, float]) -> list[Alert]:
    """Return every rule that fires, the most urgent first."""
    alerts = []
    for rule in RULES:
        long = report_window(snapshots, rule.long_s)
        short = report_window(snapshots, rule.short_s)
        for name, seen in long.classes.items():
            goal = goals.get(name, DEFAULT_GOAL)
            slow = seen.burn(goal) or 0.0
            fast = short.classes.get(name, Tally()).burn(goal) or 0.0
            if min(slow, fast) >= rule.burn:
                alerts.append(Alert(name, rule.severity, rule.long_s, slow))
    return alerts


def reachable(goal: float) -> list[AlertRule]:
    """Return the rules that can fire for a goal when nothing is met at all."""
    return [rule for rule in RULES if 1 / max(1 - goal, 1e-9) >= rule.burn]


class WorstTeam(NamedTuple):
    """The team that is served worst in a window."""

    team: str
    class_name: str
    tally: Tally


LEAST_REQUESTS = 20
"""A team with fewer requests in the window is not ranked: one late answer of three
would make it the worst served whatever the others get."""


def worst_team(report: WindowReport) -> WorstTeam | None:
    """Return the team and class with the lowest attainment."""
    ranked = [
        WorstTeam(team, class_name, seen)
        for (team, class_name), seen in report.teams.items()
        if seen.total >= LEAST_REQUESTS
    ]
    return min(ranked, key=lambda w: (w.tally.attainment, w.team), default=None)
