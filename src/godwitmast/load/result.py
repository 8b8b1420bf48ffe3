"""Results of a run over HTTP: outcomes and histograms, result files and tables."""

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram
from rich.table import Table

from godwitmast.load.schedule import RunPlan

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 3
QUANTILES = (50.0, 95.0, 99.0, 99.9)

MET = "met"
LATE = "late"
NOT_SENT = "not_sent"
"""The maximum of open requests was reached, so the tool did not keep its schedule."""


def make_histogram() -> Any:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


@dataclass
class ClassResult:
    """A class's outcomes, and latencies in microseconds from the scheduled sending."""

    outcomes: dict[str, int] = field(default_factory=dict)
    first_token: Any = field(default_factory=make_histogram)
    whole: Any = field(default_factory=make_histogram)
    between: Any = field(default_factory=make_histogram)
    tokens: int = 0

    def count(self, outcome: str) -> None:
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    @property
    def total(self) -> int:
        return sum(self.outcomes.values())

    @property
    def attainment(self) -> float:
        return self.outcomes.get(MET, 0) / self.total if self.total else 1.0


@dataclass
class RunResult:
    """Result of a run."""

    plan: RunPlan
    url: str
    classes: dict[str, ClassResult] = field(default_factory=dict)
    teams: dict[str, list[int]] = field(default_factory=dict)
    """Number of requests that met their targets, and of all, by team."""
    took_s: float = 0.0
    sent_late_s: float = 0.0
    """Longest time by which the tool sent a request later than scheduled."""

    def class_result(self, class_name: str) -> ClassResult:
        return self.classes.setdefault(class_name, ClassResult())

    def record_team(self, team: str, met: bool) -> None:
        counts = self.teams.setdefault(team, [0, 0])
        counts[0] += met
        counts[1] += 1

    @property
    def worst_team(self) -> tuple[str, float] | None:
        """Return the team with the lowest attainment, and its attainment."""
        shares = {team: met / total for team, (met, total) in self.teams.items()}
        return min(shares.items(), key=lambda item: (item[1], item[0]), default=None)


def save_result(result: RunResult, path: Path) -> None:
    raw = {
        "plan": result.plan._asdict(),
        "url": result.url,
        "took_s": result.took_s,
        "sent_late_s": result.sent_late_s,
        "teams": result.teams,
        "classes": {
            name: {
                "outcomes": item.outcomes,
                "tokens": item.tokens,
                "first_token": item.first_token.encode().decode(),
                "whole": item.whole.encode().decode(),
                "between": item.between.encode().decode(),
            }
            for name, item in result.classes.items()
        },
    }
    path.write_text(json.dumps(raw, indent=1) + "\n")


def load_result(path: Path) -> RunResult:
    """Return a saved result; ValueError or KeyError if the file holds none."""
    raw = json.loads(path.read_text())
    classes = {
        name: ClassResult(
            item["outcomes"],
            HdrHistogram.decode(item["first_token"]),
            HdrHistogram.decode(item["whole"]),
            HdrHistogram.decode(item["between"]),
            item["tokens"],
        )
        for name, item in raw["classes"].items()
    }
    return RunResult(
        RunPlan(**raw["plan"]),
        raw["url"],
        classes,
        raw["teams"],
        raw["took_s"],
        raw["sent_late_s"],
    )


def result_table(result: RunResult) -> Table:
    """Return a table of one run, by class."""
    table = Table(title=f"{result.plan.mix} against {result.url}")
    for heading in ("class", "sent", "met", "first token p50/p95/p99, ms"):
        table.add_column(heading)
    for heading in ("whole p50/p95/p99, ms", "between p95, ms", "other outcomes"):
        table.add_column(heading)
    for name, item in sorted(result.classes.items()):
        others = ", ".join(
            f"{outcome} {count}"
            for outcome, count in sorted(item.outcomes.items())
            if outcome != MET
        )
        table.add_row(
            name,
            str(item.total),
            f"{item.attainment:.2%}",
            show_quantiles(item.first_token),
            show_quantiles(item.whole),
            f"{milliseconds(item.between, 95.0):.1f}",
            others or "-",
        )
    return table


def show_quantiles(histogram: Any) -> str:
    return " / ".join(f"{milliseconds(histogram, q):.0f}" for q in QUANTILES[:3])


def milliseconds(histogram: Any, quantile: float) -> float:
    return float(histogram.get_value_at_percentile(quantile)) / 1000


def compare_table(a: RunResult, b: RunResult) -> Table:
    """Return a table of two runs; its last column compares B with A."""
    table = Table(title=f"A {a.url}, B {b.url}")
    for heading in ("class", "what", "A", "B", "B against A"):
        table.add_column(heading)
    for name in sorted(a.classes.keys() | b.classes.keys()):
        first, second = a.class_result(name), b.class_result(name)
        points = 100 * (second.attainment - first.attainment)
        table.add_row(
            name,
            "met",
            f"{first.attainment:.2%}",
            f"{second.attainment:.2%}",
            f"{points:+.2f} points",
        )
        for what in ("first_token", "whole", "between"):
            for quantile in QUANTILES:
                add_latency(table, name, what, quantile, first, second)
    return table


def add_latency(
    table: Table,
    name: str,
    what: str,
    quantile: float,
    first: ClassResult,
    second: ClassResult,
) -> None:
    one = milliseconds(getattr(first, what), quantile)
    two = milliseconds(getattr(second, what), quantile)
    ratio = f"{two / one:.2f}x" if one else "-"
    label = f"{what.replace('_', ' ')} p{quantile:g}, ms"
    table.add_row(name, label, f"{one:.1f}", f"{two:.1f}", ratio)


def plans_differ(a: RunResult, b: RunResult) -> list[str]:
    """Return the parameters in which the plans of two runs differ."""
    pairs = zip(a.plan._fields, a.plan, b.plan, strict=True)
    return [f"{name}: {x} and {y}" for name, x, y in pairs if x != y]
