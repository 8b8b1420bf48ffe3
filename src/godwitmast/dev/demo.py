"""Sample requests of `godwit-dev`, and tables of their results."""

import statistics
import time
from typing import NamedTuple

import anyio
from openai import AsyncOpenAI
from rich.console import Console
from rich.table import Table

from godwitmast.dev.document import CLASSES, MODEL, TEAMS, dev_key
from godwitmast.dev.system import DevSystem

REQUESTS_PER_TEAM = 8
FIRST_TOKEN_TARGET_S = 1.2


class Sample(NamedTuple):
    """Result of one request, as its caller saw it."""

    team: str
    class_name: str
    first_token_s: float
    total_s: float
    tokens: int
    met: bool


async def run_demo(console: Console) -> bool:
    """Send streamed requests and print the tables; return whether all were answered."""
    system = DevSystem()
    samples: list[Sample] = []
    async with anyio.create_task_group() as tasks:
        await system.start(tasks)
        url = system.entries[0].server.url
        console.print(f"One entry at {url}, {len(system.engines)} stand-in engines.")
        async with anyio.create_task_group() as callers:
            for team in TEAMS:
                callers.start_soon(call_as, team, url, samples)
        await system.close()
        tasks.cancel_scope.cancel()
    console.print(class_table(samples))
    console.print(team_table(samples))
    return len(samples) == len(TEAMS) * REQUESTS_PER_TEAM


async def call_as(team: str, url: str, samples: list[Sample]) -> None:
    """Send a team's requests with the unmodified OpenAI client, one after another."""
    async with AsyncOpenAI(base_url=f"{url}/v1", api_key=dev_key(team)) as client:
        for number in range(REQUESTS_PER_TEAM):
            class_name = CLASSES[number % len(CLASSES)]
            samples.append(await call(client, team, class_name, number))


async def call(client: AsyncOpenAI, team: str, class_name: str, number: int) -> Sample:
    """Send one streamed request, and return its result."""
    length = 20 if class_name == "question" else 120
    began = time.monotonic()
    first = None
    tokens = 0
    stream = await client.chat.completions.create(
        model=MODEL,
        messages=[
            {"role": "user", "content": f"{team} asks no. {number}, length={length}"}
        ],
        stream=True,
        extra_headers={"Godwit-Class": class_name},
    )
    async for chunk in stream:
        if chunk.choices and chunk.choices[0].delta.content:
            first = first or time.monotonic() - began
            tokens += 1
    total = time.monotonic() - began
    first = first if first is not None else total
    complete = tokens == length
    met = complete and (class_name != "question" or first <= FIRST_TOKEN_TARGET_S)
    return Sample(team, class_name, first, total, tokens, met)


def class_table(samples: list[Sample]) -> Table:
    table = Table(title="Attainment by class")
    for heading in ("class", "requests", "met", "first token, median", "tokens"):
        table.add_column(heading)
    for class_name in CLASSES:
        of_class = [s for s in samples if s.class_name == class_name]
        table.add_row(
            class_name,
            str(len(of_class)),
            f"{attainment(of_class):.0%}",
            f"{statistics.median(s.first_token_s for s in of_class) * 1000:.0f} ms",
            str(sum(s.tokens for s in of_class)),
        )
    return table


def team_table(samples: list[Sample]) -> Table:
    """Return a table of the worst-served team's attainment and that of all teams."""
    by_team = {team: [s for s in samples if s.team == team] for team in TEAMS}
    worst = min(by_team, key=lambda team: (attainment(by_team[team]), team))
    table = Table(title="Worst-served team")
    for heading in ("team", "met", "all teams"):
        table.add_column(heading)
    table.add_row(
        worst, f"{attainment(by_team[worst]):.0%}", f"{attainment(samples):.0%}"
    )
    return table


def attainment(samples: list[Sample]) -> float:
    return sum(s.met for s in samples) / len(samples) if samples else 0.0
