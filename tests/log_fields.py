"""A parser for log lines."""

from collections.abc import Sequence


def fields_of(lines: Sequence[str], event: str) -> list[dict[str, str]]:
    """Return the fields of the lines of an event, without those with spaces."""
    found = [line for line in lines if line.startswith(f"event={event} ")]
    return [
        dict(pair.split("=", 1) for pair in line.split() if "=" in pair)
        for line in found
    ]
