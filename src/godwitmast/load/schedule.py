"""When each request of a run is to be sent, and what it asks: drawn before the run."""

import random
from typing import Annotated, NamedTuple

from pydantic import Field

from godwitmast.load.mixes import ClassMix, Mix

MOST_REQUESTS = 200_000
MOST_SECONDS = 3_600.0


class RunPlan(NamedTuple):
    """What a run sends.

    `rate` is requests a second. For the middle third of the run the rate is
    `burst` times that, and `hog`, if named, sends `hog_factor` times its share.
    """

    mix: str
    rate: Annotated[float, Field(gt=0)]
    seconds: Annotated[float, Field(gt=0, le=MOST_SECONDS)]
    seed: int = 1
    burst: Annotated[float, Field(ge=1)] = 1.0
    hog: str | None = None
    hog_factor: Annotated[float, Field(ge=1)] = 10.0
    resend: Annotated[float, Field(ge=0, le=1)] = 0.0
    answer_tokens: Annotated[int, Field(gt=0)] | None = None
    """Every answer's length, in place of the mix's."""


class Planned(NamedTuple):
    """One request; `at` is seconds after the run's start."""

    number: int
    at: float
    team: str
    class_name: str
    prompt_tokens: int
    answer_tokens: int
    resends: bool


def draw_schedule(plan: RunPlan, mix: Mix) -> list[Planned]:
    """Return the requests of a run, the same for the same plan."""
    source = random.Random(plan.seed)
    weights = {team.name: team.share for team in mix.teams}
    if plan.hog:
        weights[plan.hog] = weights.get(plan.hog, 0.05) * plan.hog_factor
    teams, shares = list(weights), list(weights.values())
    planned: list[Planned] = []
    at = 0.0
    while len(planned) < MOST_REQUESTS:
        in_burst = plan.seconds / 3 <= at < 2 * plan.seconds / 3
        at += source.expovariate(plan.rate * (plan.burst if in_burst else 1.0))
        if at >= plan.seconds:
            break
        asked = draw_class(mix, source)
        planned.append(
            Planned(
                len(planned) + 1,
                at,
                source.choices(teams, shares)[0],
                asked.name,
                asked.prompt.draw(source),
                plan.answer_tokens or asked.answer.draw(source),
                source.random() < plan.resend,
            )
        )
    return planned


def draw_class(mix: Mix, source: random.Random) -> ClassMix:
    return source.choices(mix.classes, [item.share for item in mix.classes])[0]


def prompt_of(request: Planned) -> str:
    """Return a prompt of about its length; stand-in engines read `length=N`."""
    opening = f"{request.team} {request.class_name} {request.number} "
    filling = "who has paid and what is left to do? "
    text = opening + f"length={request.answer_tokens} "
    return text + filling * (max(0, request.prompt_tokens * 4 - len(text)) // 37)
