"""Helpers that run a protocol's model under hypothesis and count its steps."""

from collections import Counter
from typing import Any

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from godwitmast.platform_api.steps import Steps, Transact

EXPLORED: Counter[str] = Counter()
"""Steps taken by each model, which increments its own count."""

BROKEN_EXAMPLES = 6000
"""Maximum number of examples in the search for the fault of a broken protocol; the search
ends at the first failure. Hypothesis draws values from constants of all loaded modules,
so the same seed needs a different number of examples in another process. With 400 and
600 examples the fault was sometimes missed."""


def without_compare(steps: Steps[Any]) -> Steps[Any]:
    """Return the protocol with each compare-and-set replaced by a plain write."""
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
    """Run `model` with a fixed seed, and print the number of steps that it took."""
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
