"""Runs a protocol's model under hypothesis, and says how much it explored."""

from collections import Counter
from typing import Any

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from godwitmast.platform_api.steps import Steps, Transact

EXPLORED: Counter[str] = Counter()
"""Steps taken by each model; a model counts its own."""

BROKEN_EXAMPLES = 6000
"""How far the search for a broken protocol's fault goes; it ends at the first find.
Hypothesis draws on the constants of the modules that a process has loaded, so the same
seed finds the fault sooner or later in another process; 400 and 600 examples missed
one now and then."""


def without_compare(steps: Steps[Any]) -> Steps[Any]:
    """Return the protocol with each compare-and-set made a plain write."""
    result: Any = None
    try:
        while True:
            step = steps.send(result)
            if isinstance(step, Transact):
                step = Transact({}, step.writes)
            result = yield step
    except StopIteration as stop:
        return stop.value


def explore(
    model: type[RuleBasedStateMachine], examples: int = 150, steps: int = 60
) -> None:
    """Run `model` with fixed seeds, and print the number of steps that it took."""
    run_state_machine_as_test(
        model,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            database=None,
            deadline=None,
            phases=[Phase.generate],
            report_multiple_bugs=False,
            suppress_health_check=list(HealthCheck),
        ),
    )
    print(f"{model.__name__}: {EXPLORED[model.__name__]} steps explored")
