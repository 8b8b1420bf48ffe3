"""The burn report as one value, computed from snapshots."""

from typing import Any, NamedTuple

from godwitmast.burn.budget import (
    DEFAULT_GOAL,
    WINDOWS_S,
    Alert,
    WindowReport,
    WorstTeam,
    find_alerts,
    reachable_rules,
    report_window,
    start_snapshot,
    worst_team,
)
from godwitmast.burn.snapshot import Snapshot, series_growth

GOAL = "godwit_attainment_goal"
REPORT_LAG = "godwit_usage_report_lag_seconds"
CORRECTED_WINDOWS = "godwit_usage_late_windows_total"


class Service(NamedTuple):
    """Service and cost over the longest window.

    None means that no daemon reported the figure, which is not the same as zero.
    `report_lag_s` is how long after its end the last usage window was reported.
    `corrected_windows` is the number of windows with late usage of an earlier one.
    """

    met: float
    good_tokens: float
    wasted_tokens: float
    cheap_share: float | None
    spend: float | None
    report_lag_s: float | None
    corrected_windows: float | None

    @property
    def spend_per_1000_met(self) -> float | None:
        if self.spend is None or not self.met:
            return None
        return 1000 * self.spend / self.met

    @property
    def wasted_share(self) -> float | None:
        total = self.good_tokens + self.wasted_tokens
        return self.wasted_tokens / total if total else None


class Report(NamedTuple):
    """All figures of the report; windows are in seconds, longest last."""

    at: float
    goals: dict[str, float]
    windows: list[WindowReport]
    alerts: list[Alert]
    worst: WorstTeam | None
    service: Service
    silent: list[str]
    history: list[tuple[float, dict[str, float]]]


def make_report(snapshots: list[Snapshot]) -> Report:
    """Return the report for snapshots that are sorted by time."""
    newest = snapshots[-1]
    windows = [report_window(snapshots, window) for window in WINDOWS_S]
    goals = read_goals(newest)
    return Report(
        newest.at,
        goals,
        windows,
        find_alerts(snapshots, goals),
        worst_team(windows[-1]),
        sum_service(snapshots, windows[-1]),
        newest.silent,
        attainment_history(snapshots),
    )


def read_goals(snapshot: Snapshot) -> dict[str, float]:
    """Return the goal of each class, as the entries publish it."""
    goals: dict[str, float] = {}
    for values in snapshot.values.values():
        for series, value in values.items():
            name, _, labels = series.partition("{")
            if name == GOAL:
                goals[labels.removeprefix("class_name=").removesuffix("}")] = value
    return goals


def sum_service(snapshots: list[Snapshot], window: WindowReport) -> Service:
    before = start_snapshot(snapshots, snapshots[-1].at - window.window_s)
    newest = snapshots[-1]

    def increase(name: str) -> float:
        return series_growth(before, newest, name)

    def reported(name: str) -> float | None:
        series = (s for values in newest.values.values() for s in values)
        known = any(s.partition("{")[0] == name for s in series)
        return increase(name) if known else None

    lags = [v[REPORT_LAG] for v in newest.values.values() if REPORT_LAG in v]
    tokens = increase("godwit_server_tokens_total")
    cheap = increase("godwit_server_tokens_total{kind=cheap}")
    return Service(
        sum(tally.met for tally in window.classes.values()),
        increase("godwit_good_tokens_total"),
        increase("godwit_wasted_tokens_total"),
        cheap / tokens if tokens else None,
        reported("godwit_spend_total"),
        max(lags, default=None),
        reported(CORRECTED_WINDOWS),
    )


def attainment_history(
    snapshots: list[Snapshot],
) -> list[tuple[float, dict[str, float]]]:
    """Return each class's attainment between one snapshot and the next."""
    points = []
    for number in range(1, len(snapshots)):
        pair = snapshots[number - 1 : number + 1]
        window = report_window(pair, pair[1].at - pair[0].at)
        seen = {
            name: tally.attainment
            for name, tally in window.classes.items()
            if tally.attainment is not None
        }
        points.append((pair[1].at, seen))
    return points


def as_json(report: Report) -> dict[str, Any]:
    """Return the report for other programs; figures not reported are null."""
    return {
        "at": report.at,
        "goals": report.goals,
        "windows": [window_json(w, report.goals) for w in report.windows],
        "alerts": [alert._asdict() for alert in report.alerts],
        "rules_reachable": {
            name: [f"{rule.severity}/{rule.burn:g}" for rule in reachable_rules(goal)]
            for name, goal in report.goals.items()
        },
        "worst_team": worst_json(report.worst),
        "service": report.service._asdict()
        | {
            "spend_per_1000_met": report.service.spend_per_1000_met,
            "wasted_share": report.service.wasted_share,
        },
        "silent": report.silent,
    }


def window_json(window: WindowReport, goals: dict[str, float]) -> dict[str, Any]:
    return {
        "window_s": window.window_s,
        "covered_s": window.covered_s,
        "classes": {
            name: tally._asdict()
            | {
                "attainment": tally.attainment,
                "burn": tally.burn_rate(goals.get(name, DEFAULT_GOAL)),
            }
            for name, tally in window.classes.items()
        },
        "teams": [
            {"team": team, "class": name, "attainment": tally.attainment}
            | tally._asdict()
            for (team, name), tally in window.teams.items()
        ],
    }


def worst_json(worst: WorstTeam | None) -> dict[str, Any] | None:
    if worst is None:
        return None
    return {
        "team": worst.team,
        "class": worst.class_name,
        "attainment": worst.tally.attainment,
        "requests": worst.tally.total,
    }
