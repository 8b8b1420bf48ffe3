"""Parser of scenario files: each step's pattern, and its effect on the scenario."""

import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import parse
from gherkin.parser import Parser

from godwitmast.errors import GodwitError
from godwitmast.load.scenario import (
    Check,
    Crash,
    EngineSpec,
    Evict,
    Phase,
    Poison,
    Scenario,
    Source,
    Straggle,
    WithdrawKey,
)

EMPTY_SCENARIO = Scenario("", (), {}, {}, ())

Handler = Callable[..., Scenario]

STEPS: list[tuple[parse.Parser, Handler]] = []


class ScenarioInvalid(GodwitError):
    """A scenario file is not valid; the text gives the file, line and step."""


def step(pattern: str) -> Callable[[Handler], Handler]:
    """Register the decorated function as the handler of lines of this pattern."""

    def register(handler: Handler) -> Handler:
        STEPS.append((parse.compile(pattern, case_sensitive=True), handler))
        return handler

    return register


def read_scenarios(path: Path) -> list[Scenario]:
    """Return the scenarios of a feature file; ScenarioInvalid if it has errors."""
    try:
        document: Any = Parser().parse(path.read_text())
    except OSError as error:
        raise ScenarioInvalid(f"{path}: {error.strerror}") from None
    except Exception as error:
        raise ScenarioInvalid(f"{path}: {error}") from None
    background: list[Any] = []
    scenarios = []
    for child in (document.get("feature") or {"children": []})["children"]:
        if "background" in child:
            background = child["background"]["steps"]
        elif "scenario" in child:
            scenarios.append(build_scenario(path, child["scenario"], background))
    if not scenarios:
        raise ScenarioInvalid(f"{path}: the file contains no scenario")
    return scenarios


def build_scenario(path: Path, parsed: Any, background: list[Any]) -> Scenario:
    """Return the scenario that the steps of one `Scenario:` describe."""
    scenario = EMPTY_SCENARIO._replace(name=parsed["name"])
    for line in [*background, *parsed["steps"]]:
        place = f"{path}:{line['location']['line']}"
        scenario = apply_line(scenario, line["text"], place)
    if not scenario.engines or not scenario.sources:
        raise ScenarioInvalid(
            f"{path}: {parsed['name']!r} defines no engines or no load"
        )
    return scenario


def apply_line(scenario: Scenario, text: str, place: str) -> Scenario:
    for pattern, handler in STEPS:
        match = pattern.parse(text)
        if match is not None:
            return handler(scenario, *match.fixed, **match.named)
    known = "; ".join(pattern._format for pattern, _ in STEPS)
    raise ScenarioInvalid(
        f"{place}: {text!r} matches no known step; the steps are: {known}"
    )


@step("{count:d} engines in {zones:d} zones")
def engines(scenario: Scenario, count: int, zones: int) -> Scenario:
    added = tuple(
        EngineSpec(f"engine-{n + 1}", f"zone-{n % zones + 1}") for n in range(count)
    )
    return scenario._replace(engines=scenario.engines + added)


@step("{count:d} cheap engines in {zone}")
def cheap_engines(scenario: Scenario, count: int, zone: str) -> Scenario:
    """Add engines that may be reclaimed at short notice."""
    added = tuple(EngineSpec(f"cheap-{zone}-{n + 1}", zone, True) for n in range(count))
    return scenario._replace(engines=scenario.engines + added)


@step(
    "{count:d} entries that report crashes to a table, known to all {delay:g} s later"
)
def entries_with_table(scenario: Scenario, count: int, delay: float) -> Scenario:
    return scenario._replace(entries=count, table_delay_s=delay)


@step("{count:d} entries")
def entries(scenario: Scenario, count: int) -> Scenario:
    return scenario._replace(entries=count)


@step(
    'class "{name}" of tier {tier:d} with first token in {first:g} s'
    " and {between:g} ms between tokens"
)
def streaming_class(
    scenario: Scenario, name: str, tier: int, first: float, between: float
) -> Scenario:
    targets = {
        "tier": tier,
        "first_token_s": first,
        "between_tokens_s": between / 1000,
    }
    return scenario._replace(classes={**scenario.classes, name: targets})


@step('class "{name}" of tier {tier:d} with completion in {whole:g} s')
def completion_class(
    scenario: Scenario, name: str, tier: int, whole: float
) -> Scenario:
    targets = {"tier": tier, "completion_s": whole}
    return scenario._replace(classes={**scenario.classes, name: targets})


@step('class "{name}" gets at least {percent:g} % of dispatch turns')
def turn_share(scenario: Scenario, name: str, percent: float) -> Scenario:
    targets = {**scenario.classes[name], "turn_share": percent / 100}
    return scenario._replace(classes={**scenario.classes, name: targets})


@step("{count:d} teams")
def teams(scenario: Scenario, count: int) -> Scenario:
    return scenario._replace(teams={f"team-{n + 1}": 1.0 for n in range(count)})


@step('team "{name}" has weight {weight:g}')
def team_weight(scenario: Scenario, name: str, weight: float) -> Scenario:
    return scenario._replace(teams={**scenario.teams, name: weight})


@step(
    '{percent:g} % of requests are "{name}" with prompts of {prompt:d} tokens'
    " and answers of {answer:d} tokens"
)
def load_of_class(
    scenario: Scenario, percent: float, name: str, prompt: int, answer: int
) -> Scenario:
    share = percent / 100 / len(scenario.teams)
    added = tuple(Source(team, name, share, prompt, answer) for team in scenario.teams)
    return scenario._replace(sources=scenario.sources + added)


@step('team "{name}" sends {percent:g} % of all requests')
def team_share(scenario: Scenario, name: str, percent: float) -> Scenario:
    """Scale the team's sources so that they have this share of all requests."""
    own_share = sum(s.share for s in scenario.sources if s.team == name)
    other_share = sum(s.share for s in scenario.sources) - own_share
    target_share = other_share * percent / (100 - percent)
    scaled = tuple(
        s._replace(share=s.share * target_share / own_share) if s.team == name else s
        for s in scenario.sources
    )
    return scenario._replace(sources=scaled)


@step('"{name}" prompts open with one of {count:d} prefixes of {tokens:d} tokens')
def prefixes(scenario: Scenario, name: str, count: int, tokens: int) -> Scenario:
    changed = tuple(
        s._replace(prefixes=count, prefix_tokens=tokens) if s.class_name == name else s
        for s in scenario.sources
    )
    return scenario._replace(sources=changed)


@step("callers resend what was refused up to {tries:d} times, heeding Retry-After")
def resend_after_retry_after(scenario: Scenario, tries: int) -> Scenario:
    return scenario._replace(resend=scenario.resend._replace(tries=tries))


@step("callers resend what was refused up to {tries:d} times, every {wait:g} s")
def resend_at_interval(scenario: Scenario, tries: int, wait: float) -> Scenario:
    return scenario._replace(
        resend=scenario.resend._replace(
            tries=tries, wait_s=wait, heed_retry_after=False
        )
    )


@step("the load is {load:g} times capacity for {seconds:g} s")
def load_and_duration(scenario: Scenario, load: float, seconds: float) -> Scenario:
    return scenario._replace(load=load, run_s=seconds)


@step('from {begin:g} s to {end:g} s "{name}" comes {factor:g} times as often')
def class_burst(
    scenario: Scenario, begin: float, end: float, name: str, factor: float
) -> Scenario:
    phase = Phase(begin, end, factor, name)
    return scenario._replace(phases=(*scenario.phases, phase))


@step("from {begin:g} s to {end:g} s requests come {factor:g} times as often")
def all_classes_burst(
    scenario: Scenario, begin: float, end: float, factor: float
) -> Scenario:
    return scenario._replace(phases=(*scenario.phases, Phase(begin, end, factor)))


@step(
    "at {at:g} s {engine} runs at {percent:g} % of its speed"
    " and its report lags {lag:g} s"
)
def straggle(
    scenario: Scenario, at: float, engine: str, percent: float, lag: float
) -> Scenario:
    return add_fault(scenario, Straggle(at, engine, percent / 100, lag))


@step("at {at:g} s {engine} crashes and is back after {down:g} s")
def crash(scenario: Scenario, at: float, engine: str, down: float) -> Scenario:
    return add_fault(scenario, Crash(at, engine, down))


@step("at {at:g} s the cheap engines of {zone} get notice of {notice:g} s")
def evict(scenario: Scenario, at: float, zone: str, notice: float) -> Scenario:
    return add_fault(scenario, Evict(at, zone, notice))


@step(
    'from {at:g} s {team} sends a "{name}" that crashes its engine,'
    " {times:d} times, every {every:g} s"
)
def poison(
    scenario: Scenario, at: float, team: str, name: str, times: int, every: float
) -> Scenario:
    return add_fault(scenario, Poison(at, team, name, every, times))


@step("at {at:g} s the key of {team} is withdrawn")
def withdraw_key(scenario: Scenario, at: float, team: str) -> Scenario:
    return add_fault(scenario, WithdrawKey(at, team))


def add_fault(scenario: Scenario, fault: Any) -> Scenario:
    return scenario._replace(faults=(*scenario.faults, fault))


@step('at least {percent:g} % of "{name}" meet their targets')
def attainment(scenario: Scenario, percent: float, name: str) -> Scenario:
    return add_check(scenario, "attainment", name, at_least=percent / 100)


@step("at most {percent:g} % of generated tokens are wasted")
def wasted_tokens(scenario: Scenario, percent: float) -> Scenario:
    return add_check(scenario, "wasted", "", at_most=percent / 100)


@step("the worst team has at least {ratio:g} of the median team's attainment")
def worst_team(scenario: Scenario, ratio: float) -> Scenario:
    return add_check(scenario, "worst_team", "", at_least=ratio)


@step("no class starves")
def no_starving(scenario: Scenario) -> Scenario:
    return add_check(scenario, "starved", "", at_most=0)


@step("at most {count:d} engines crash of it")
def poison_crashes(scenario: Scenario, count: int) -> Scenario:
    return add_check(scenario, "poison_crashes", "", at_most=count)


@step('at most {count:d} "{code}" refusals reach other requests')
def innocent_refusals(scenario: Scenario, count: int, code: str) -> Scenario:
    return add_check(scenario, "innocent_refused", code, at_most=count)


@step("no request is cut")
def none_cut(scenario: Scenario) -> Scenario:
    return add_check(scenario, "cut", "", at_most=0)


@step("{team} gets no token later than {seconds:g} s after that")
def no_output_after_withdrawal(
    scenario: Scenario, team: str, seconds: float
) -> Scenario:
    """Check that the team gets no token later than this after its key is withdrawn."""
    return add_check(scenario, "token_after_withdrawal", team, at_most=seconds)


def add_check(
    scenario: Scenario,
    measure: str,
    name: str,
    at_least: float | None = None,
    at_most: float | None = None,
) -> Scenario:
    bound = f">= {at_least:g}" if at_least is not None else f"<= {at_most:g}"
    text = re.sub(r"\s+", " ", f"{measure} {name} {bound}")
    check = Check(text, measure, name, at_least, at_most)
    return scenario._replace(checks=(*scenario.checks, check))
