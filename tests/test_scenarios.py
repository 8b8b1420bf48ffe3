"""Parser and simulation of scenarios."""

from pathlib import Path

import pytest

from godwitmast.load.play import play_once
from godwitmast.load.steps import ScenarioInvalid, read_scenarios

SCENARIOS = Path(__file__).parents[1] / "scenarios"


@pytest.mark.parametrize("path", sorted(SCENARIOS.glob("*.feature")), ids=str)
def test_every_scenario_file_is_understood(path: Path) -> None:
    for scenario in read_scenarios(path):
        assert scenario.checks, f"{scenario.name} checks nothing"


def test_line_that_is_not_known_is_named_with_its_place(tmp_path: Path) -> None:
    path = tmp_path / "x.feature"
    path.write_text("Feature: x\n  Scenario: y\n    Given 3 moons\n")
    with pytest.raises(ScenarioInvalid, match=r"x\.feature:3: '3 moons'"):
        read_scenarios(path)


def test_same_seed_gives_the_same_play_and_another_seed_another() -> None:
    scenario = read_scenarios(SCENARIOS / "crash.feature")[0]._replace(run_s=70.0)
    first = play_once(scenario, "godwit", 1)
    assert play_once(scenario, "godwit", 1) == first
    assert play_once(scenario, "godwit", 2).values != first.values


@pytest.mark.parametrize("policy", ["godwit", "fifo", "strict"])
def test_light_load_meets_every_target_under_every_policy(policy: str) -> None:
    scenario = read_scenarios(SCENARIOS / "saturation.feature")[0]._replace(run_s=60.0)
    result = play_once(scenario, policy, 1)
    assert min(result.values[name] for name in scenario.classes) >= 0.95


def test_fault_of_the_baseline_shows_in_its_score() -> None:
    """A plain proxy resumes no stream of a crashed engine: the check on cuts fails."""
    scenario = read_scenarios(SCENARIOS / "crash.feature")[0]._replace(run_s=70.0)
    result = play_once(scenario, "fifo", 1)
    assert any(failure.startswith("cut") for failure in result.failures)


@pytest.mark.parametrize("name", sorted(p.stem for p in SCENARIOS.glob("*.feature")))
def test_checks_of_the_scenario_hold(name: str) -> None:
    """Simulates each scenario of the file with the policy `godwit` and seed 1."""
    failures = {
        scenario.name: play_once(scenario, "godwit", 1).failures
        for scenario in read_scenarios(SCENARIOS / f"{name}.feature")
    }
    assert not {name: found for name, found in failures.items() if found}
