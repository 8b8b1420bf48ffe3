"""Running estimates of positive values."""

from random import Random

import pytest

from godwitmast.admission.estimates import RunningQuantile


@pytest.mark.parametrize("quantile", [0.5, 0.9, 0.95])
@pytest.mark.parametrize("seed", range(20))
def test_quantile_lies_between_the_least_and_the_greatest_sample(
    quantile: float, seed: int
) -> None:
    """Guards against an estimate far above all samples after a few that are alike."""
    random = Random(seed)
    spread = random.choice([1e-6, 1e-3, 0.1, 0.5])
    estimate = RunningQuantile(quantile, stays_in_range=True)
    samples: list[float] = []
    for _ in range(200):
        samples.append(2.5 * (1 + random.uniform(-spread, spread)))
        estimate.add(samples[-1])
        assert estimate.value is not None
        assert min(samples) <= estimate.value <= max(samples)


@pytest.mark.parametrize("stays_in_range", [False, True])
@pytest.mark.parametrize("quantile", [0.5, 0.9, 0.95])
def test_quantile_of_spread_values_is_near_the_exact_one(
    quantile: float, stays_in_range: bool
) -> None:
    random = Random(1)
    estimate = RunningQuantile(quantile, stays_in_range=stays_in_range)
    values = []
    for _ in range(4000):
        estimate.add(random.lognormvariate(0.0, 0.5))
        assert estimate.value is not None
        values.append(estimate.value)
    samples = sorted(random.lognormvariate(0.0, 0.5) for _ in range(20_000))
    exact = samples[int(quantile * len(samples))]
    assert sum(values[500:]) / len(values[500:]) == pytest.approx(exact, rel=0.15)
