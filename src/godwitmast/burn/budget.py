"""Attainment and error-budget burn rates, computed from counters alone.

The windows and their burn rates are those of "Alerting on SLOs" in The Site
Reliability Workbook (Beyer et al., O'Reilly 2018, chapter 5): an alert needs a long
window, so that it fires only for significant losses, and a short one, so that it ends
soon after the cause does.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from godwitmast.burn.snapshot import Cell, ClassCell, Snapshot, request_growth
from godwitmast.entry.metrics import CALLER_CAUSED_OUTCOMES

DEFAULT_GOAL = 0.95
"""Goal of a class for which no entry publishes one."""


class AlertRule(NamedTuple):
    """An alert rule: it fires if the burn rate of both windows is at least `burn`."""

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
"""When they fire, 2 %, 5 % and 10 % of a 30-day budget is spent.

A burn rate cannot exceed 1 / (1 - goal): it is at most 20 for a class with a goal of
95 %, and with a goal of 90 % never reaches 14.4. `reachable_rules` returns the rules
that can fire for a goal.
"""

WINDOWS_S = (300.0, 1800.0, HOUR_S, 6 * HOUR_S, 72 * HOUR_S)


class Tally(NamedTuple):
    """Number of requests of a group by outcome."""

    total: float = 0.0
    met: float = 0.0
    late: float = 0.0
    refused: float = 0.0

    @property
    def attainment(self) -> float | None:
        """Return the share that met its targets, or None without requests."""
        return self.met / self.total if self.total else None

    def burn_rate(self, goal: float) -> float | None:
        """Return the burn rate; at 1 the budget lasts exactly for its period."""
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


def count_outcomes(cells: Iterable[tuple[Cell, float]]) -> Tally:
    """Return the requests by outcome, without outcomes that callers caused."""
    total = met = late = 0.0
    for cell, value in cells:
        if cell.outcome == "own" or cell.outcome in CALLER_CAUSED_OUTCOMES:
            continue
        total += value
        met += value if cell.outcome == "met" else 0.0
        late += value if cell.outcome == "late" else 0.0
    return Tally(total, met, late, total - met - late)


def report_window(snapshots: list[Snapshot], window_s: float) -> WindowReport:
    """Return the requests that ended in `window_s` before the newest snapshot."""
    newest = snapshots[-1]
    before = start_snapshot(snapshots, newest.at - window_s)
    cells = request_growth(before, newest)
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
        {name: count_outcomes(items) for name, items in sorted(classes.items())},
        {pair: count_outcomes(items) for pair, items in sorted(teams.items())},
    )


def start_snapshot(snapshots: list[Snapshot], wanted: float) -> Snapshot | None:
    """Return the newest snapshot taken at `wanted` or before, or else the oldest one.

    With a single snapshot it returns None: the window is the counters' whole lifetime.
    """
    if len(snapshots) < 2:
        return None
    older = [s for s in snapshots[:-1] if s.at <= wanted]
    return older[-1] if older else snapshots[0]


def find_alerts(snapshots: list[Snapshot], goals: dict[str, float]) -> list[Alert]:
    """Return the alerts of every rule that fires, most urgent first."""
    alerts = []
    for rule in RULES:
        long_window = report_window(snapshots, rule.long_s)
        short_window = report_window(snapshots, rule.short_s)
        for name, counts in long_window.classes.items():
            goal = goals.get(name, DEFAULT_GOAL)
            long_burn = counts.burn_rate(goal) or 0.0
            short_burn = short_window.classes.get(name, Tally()).burn_rate(goal) or 0.0
            if min(long_burn, short_burn) >= rule.burn:
                alerts.append(Alert(name, rule.severity, rule.long_s, long_burn))
    return alerts


def reachable_rules(goal: float) -> list[AlertRule]:
    """Return the rules that fire for a goal if no request meets its targets."""
    return [rule for rule in RULES if 1 / max(1 - goal, 1e-9) >= rule.burn]


class WorstTeam(NamedTuple):
    """The team and class with the lowest attainment in a window."""

    team: str
    class_name: str
    tally: Tally


MIN_RANKED_REQUESTS = 20
"""Teams with fewer requests in the window are not ranked: one late answer out of three
would make a team the worst served, however the others are served."""


def worst_team(report: WindowReport) -> WorstTeam | None:
    """Return the team and class with the lowest attainment."""
    ranked = [
        WorstTeam(team, class_name, seen)
        for (team, class_name), seen in report.teams.items()
        if seen.total >= MIN_RANKED_REQUESTS
    ]
    return min(ranked, key=lambda w: (w.tally.attainment, w.team), default=None)
