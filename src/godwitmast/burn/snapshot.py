"""Counters of the entries at one moment, scraped or read from a file."""

import json
import time
from collections import defaultdict
from pathlib import Path
from typing import Any, NamedTuple

import httpx
from prometheus_client.parser import text_string_to_metric_families

SCRAPE_TIMEOUT_S = 5.0
MET = "met"

CALLERS_FAULT = frozenset({"team_limit", "caller_gone", "key_withdrawn"})
"""Outcomes that spend no error budget: the team's own limit, a caller that hung up,
and a key that its operator withdrew."""


class Cell(NamedTuple):
    """A team's requests of a class that ended in one way."""

    team: str
    class_name: str
    outcome: str


class Snapshot(NamedTuple):
    """The sums of every entry that answered.

    `values` holds what has no team: gauges and counters by name and labels.
    `silent` names the entries that did not answer, whose requests are missing.
    """

    at: float
    requests: dict[str, dict[Cell, float]]
    values: dict[str, float]
    silent: list[str] = []


REQUESTS = "godwit_requests_total"


def scrape(urls: list[str]) -> Snapshot:
    """Return what the entries at `urls` say of themselves now."""
    requests: dict[str, dict[Cell, float]] = {}
    values: defaultdict[str, float] = defaultdict(float)
    silent = []
    with httpx.Client(timeout=SCRAPE_TIMEOUT_S, trust_env=False) as client:
        for url in urls:
            try:
                answer = client.get(f"{url.rstrip('/')}/metrics")
                answer.raise_for_status()
            except httpx.HTTPError:
                silent.append(url)
                continue
            requests[url] = read_metrics(answer.text, values)
    return Snapshot(time.time(), requests, dict(values), silent)


def read_metrics(text: str, values: defaultdict[str, float]) -> dict[Cell, float]:
    """Return one entry's requests, and add its other samples to `values`."""
    cells: dict[Cell, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = sample.labels
            if sample.name == REQUESTS:
                cell = Cell(labels["team"], labels["class_name"], labels["outcome"])
                cells[cell] = cells.get(cell, 0.0) + sample.value
            elif not sample.name.endswith(("_bucket", "_created")):
                values[series_name(sample.name, labels)] += sample.value
    return cells


def series_name(name: str, labels: dict[str, str]) -> str:
    """Return a series as `name` or `name{label=value,...}`, labels in order."""
    kept = ",".join(f"{key}={labels[key]}" for key in sorted(labels))
    return f"{name}{{{kept}}}" if kept else name


def save(snapshot: Snapshot, path: Path) -> None:
    """Append the snapshot to a file of one JSON object a line."""
    raw = {
        "at": snapshot.at,
        "requests": {
            entry: [[*cell, value] for cell, value in cells.items()]
            for entry, cells in snapshot.requests.items()
        },
        "values": snapshot.values,
        "silent": snapshot.silent,
    }
    with path.open("a") as output:
        output.write(json.dumps(raw) + "\n")


def load(path: Path) -> list[Snapshot]:
    """Return the snapshots of a file, oldest first."""
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    return sorted((read_line(json.loads(line)) for line in lines), key=lambda s: s.at)


def read_line(raw: dict[str, Any]) -> Snapshot:
    requests = {
        entry: {Cell(*item[:3]): float(item[3]) for item in cells}
        for entry, cells in raw["requests"].items()
    }
    return Snapshot(raw["at"], requests, raw["values"], raw.get("silent", []))


def growth(before: Snapshot | None, after: Snapshot) -> dict[Cell, float]:
    """Return what came between two snapshots.

    A counter that fell belongs to an entry that started again, so all that it shows
    came since; an entry that is not in `before` counts whole for the same reason.
    """
    grown: defaultdict[Cell, float] = defaultdict(float)
    for entry, cells in after.requests.items():
        old = before.requests.get(entry, {}) if before else {}
        for cell, value in cells.items():
            was = old.get(cell, 0.0)
            grown[cell] += value - was if value >= was else value
    return dict(grown)


def value_growth(before: Snapshot | None, after: Snapshot, name: str) -> float:
    """Return how much a counter grew, with the same rule for a restart."""
    now = after.values.get(name, 0.0)
    was = before.values.get(name, 0.0) if before else 0.0
    return now - was if now >= was else now
