"""Schedule of a run, drawn before it starts: time and content of each request."""

import random
from typing import Annotated, NamedTuple

from pydantic import Field

from godwitmast.load.mixes import ClassMix, Mix

MAX_REQUESTS = 200_000
MAX_SECONDS = 3_600.0


class RunPlan(NamedTuple):
    """Parameters of a run.

    `rate` is requests a second. For the middle third of the run the rate is
    `burst` times that, and `hog`, if named, sends `hog_factor` times its share.
    """

    mix: str
    rate: Annotated[float, Field(gt=0)]
    seconds: Annotated[float, Field(gt=0, le=MAX_SECONDS)]
    seed: int = 1
    burst: Annotated[float, Field(ge=1)] = 1.0
    hog: str | None = None
    hog_factor: Annotated[float, Field(ge=1)] = 10.0
    resend: Annotated[float, Field(ge=0, le=1)] = 0.0
    answer_tokens: Annotated[int, Field(gt=0)] | None = None
    """Length of every answer, which replaces the mix's lengths."""


class Planned(NamedTuple):
    """A scheduled request; `at` is in seconds after the start of the run."""

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
    requests: list[Planned] = []
    at = 0.0
    while len(requests) < MAX_REQUESTS:
        in_burst = plan.seconds / 3 <= at < 2 * plan.seconds / 3
        at += source.expovariate(plan.rate * (plan.burst if in_burst else 1.0))
        if at >= plan.seconds:
            break
        class_mix = draw_class(mix, source)
        requests.append(
            Planned(
                len(requests) + 1,
                at,
                source.choices(teams, shares)[0],
                class_mix.name,
                class_mix.prompt.draw(source),
                plan.answer_tokens or class_mix.answer.draw(source),
                source.random() < plan.resend,
            )
        )
    return requests


def draw_class(mix: Mix, source: random.Random) -> ClassMix:
    return source.choices(mix.classes, [item.share for item in mix.classes])[0]


def make_prompt(request: Planned) -> str:
    """Return a prompt of about the planned length, at four characters a token.

    Stand-in engines take the length of the answer from `length=N`.
    """
    opening = f"{request.team} {request.class_name} {request.number} "
    filler = "who has paid and what is left to do? "
    text = opening + f"length={request.answer_tokens} "
    return text + filler * (max(0, request.prompt_tokens * 4 - len(text)) // 37)
