"""Speeds of one server, merged over VMs and over zones.

One VM weighs at most as one: medians decide, so that no message alone moves the result
far.
"""

from collections.abc import Callable, Sequence

from godwitmast.measurements.messages import MAX_AGE_S, SpeedSample

MAX_WEIGHT_OF_VM = 20.0
"""Measurements of one VM that count; lasting differences are learned over tens."""


def add_age(sample: SpeedSample, age_s: float) -> SpeedSample:
    """Return a sample of `age_s` seconds ago with the age that it has now."""
    return sample._replace(stated_age_s=min(MAX_AGE_S, sample.stated_age_s + age_s))


def merge_speeds(
    samples: Sequence[SpeedSample], max_weight: float = MAX_WEIGHT_OF_VM
) -> SpeedSample | None:
    """Return the weighted median of each value, and the newest statement."""
    if not samples:
        return None
    # No sample weighs more than the middle one, whatever it says of itself.
    usual = sorted(sample.weight for sample in samples)[(len(samples) - 1) // 2]
    weights = [min(max_weight, usual, sample.weight) for sample in samples]

    def median(value: Callable[[SpeedSample], float | None]) -> float | None:
        found = [
            (known, weight)
            for sample, weight in zip(samples, weights, strict=True)
            if (known := value(sample)) is not None and weight > 0
        ]
        return weighted_median(found)

    stated = [sample for sample in samples if sample.stated_percent is not None]
    newest = min(stated, key=lambda sample: sample.stated_age_s, default=None)
    return SpeedSample(
        median(lambda sample: sample.prompt_tokens_per_ms),
        median(lambda sample: sample.step_ms),
        median(lambda sample: sample.service_ms),
        sum(weights),
        newest.stated_percent if newest is not None else None,
        newest.stated_age_s if newest is not None else 0.0,
    )


def weighted_median(items: Sequence[tuple[float, float]]) -> float | None:
    """Return the median of (value, weight) items, between two values their mean."""
    ordered = sorted(items)
    half = sum(weight for _, weight in ordered) / 2
    below = 0.0
    for number, (value, weight) in enumerate(ordered):
        below += weight
        if below > half:
            return value
        if below == half:
            return (value + ordered[number + 1][0]) / 2
    return None
