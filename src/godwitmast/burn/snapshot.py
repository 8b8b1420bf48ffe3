"""Counters of the daemons at one moment, scraped or read from a file."""

import json
import time
from collections import defaultdict
from pathlib import Path
from typing import Any, NamedTuple

import httpx
from prometheus_client.parser import text_string_to_metric_families

SCRAPE_TIMEOUT_S = 5.0
CLASS_REQUESTS = "godwit_requests_total"
TEAM_REQUESTS = "godwit_team_requests_total"


class ClassCell(NamedTuple):
    """Requests of a class with one outcome."""

    class_name: str
    outcome: str


class TeamCell(NamedTuple):
    """A team's requests of a class: `met`, `missed`, or `own` (the team's doing)."""

    team: str
    class_name: str
    outcome: str


Cell = ClassCell | TeamCell


class Snapshot(NamedTuple):
    """The counters of each daemon that answered.

    `cells` holds requests, `values` all other series by name and labels, each by the
    daemon's address. `silent` names those that did not answer, whose counts are missing.
    """

    at: float
    cells: dict[str, dict[Cell, float]]
    values: dict[str, dict[str, float]]
    silent: list[str] = []


def scrape(urls: list[str], teams: bool = True) -> Snapshot:
    """Return the present counters of the daemons at `urls`."""
    snapshot = Snapshot(time.time(), {}, {}, [])
    with httpx.Client(timeout=SCRAPE_TIMEOUT_S, trust_env=False) as client:
        for url in urls:
            base = url.rstrip("/")
            text = fetch(client, f"{base}/metrics")
            if text is None:
                snapshot.silent.append(url)
                continue
            by_team = fetch(client, f"{base}/metrics/teams") if teams else None
            read_metrics(snapshot, url, text + (by_team or ""))
    return snapshot


def fetch(client: httpx.Client, url: str) -> str | None:
    """Return a page, or None without one: a control daemon has no page by team."""
    try:
        answer = client.get(url)
    except httpx.HTTPError:
        return None
    return answer.text if answer.status_code == 200 else None


def read_metrics(snapshot: Snapshot, entry: str, text: str) -> None:
    """Add one daemon's samples to a snapshot."""
    cells = snapshot.cells.setdefault(entry, {})
    values = snapshot.values.setdefault(entry, {})
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = sample.labels
            if sample.name == CLASS_REQUESTS:
                cells[ClassCell(labels["class_name"], labels["outcome"])] = sample.value
            elif sample.name == TEAM_REQUESTS:
                team = TeamCell(labels["team"], labels["class_name"], labels["result"])
                cells[team] = sample.value
            elif not sample.name.endswith(("_bucket", "_created")):
                values[series_name(sample.name, labels)] = sample.value


def series_name(name: str, labels: dict[str, str]) -> str:
    """Return a series as `name` or `name{label=value,...}`, labels in order."""
    kept = ",".join(f"{key}={labels[key]}" for key in sorted(labels))
    return f"{name}{{{kept}}}" if kept else name


def save(snapshot: Snapshot, path: Path) -> None:
    """Append the snapshot to a file of one JSON object a line."""
    raw = snapshot._asdict() | {
        "cells": {
            entry: [[*cell, value] for cell, value in cells.items()]
            for entry, cells in snapshot.cells.items()
        }
    }
    with path.open("a") as output:
        output.write(json.dumps(raw) + "\n")


def load(path: Path) -> list[Snapshot]:
    """Return the snapshots of a file, oldest first."""
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    return sorted((read_line(json.loads(line)) for line in lines), key=lambda s: s.at)


def read_line(raw: dict[str, Any]) -> Snapshot:
    cells = {
        entry: {read_cell(item): float(item[-1]) for item in items}
        for entry, items in raw["cells"].items()
    }
    return Snapshot(raw["at"], cells, raw["values"], raw["silent"])


def read_cell(item: list[Any]) -> Cell:
    names = item[:-1]
    return ClassCell(*names) if len(names) == 2 else TeamCell(*names)


def request_growth(before: Snapshot | None, after: Snapshot) -> dict[Cell, float]:
    """Return how much each count of requests grew between two snapshots."""
    totals: defaultdict[Cell, float] = defaultdict(float)
    for entry, cells in after.cells.items():
        old = before.cells.get(entry, {}) if before else {}
        for cell, value in cells.items():
            totals[cell] += counter_growth(old.get(cell, 0.0), value)
    return dict(totals)


def series_growth(before: Snapshot | None, after: Snapshot, name: str) -> float:
    """Return how much a counter grew over all daemons.

    `name` is one series with its labels, or a bare name for all of its series.
    """
    totals = 0.0
    for entry, values in after.values.items():
        old = before.values.get(entry, {}) if before else {}
        for series, value in values.items():
            if name in (series, series.partition("{")[0]):
                totals += counter_growth(old.get(series, 0.0), value)
    return totals


def counter_growth(was: float, now: float) -> float:
    """Return how much a counter grew.

    A counter that decreased belongs to a process that was restarted; its whole value
    was counted since then.
    """
    return now - was if now >= was else now
