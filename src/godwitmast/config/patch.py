"""JSON merge patches (RFC 7386) and differences between two documents."""

from collections.abc import Iterator
from typing import NamedTuple

from godwitmast.types import Json


def merge_patch(target: Json, patch: Json) -> Json:
    """Return `target` with `patch` applied; neither argument is modified."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(merged.get(name), value)
    return merged


class Difference(NamedTuple):
    """A path at which two documents differ; None means that there is no value."""

    path: str
    before: Json
    after: Json


def differences(before: Json, after: Json, path: str = "") -> Iterator[Difference]:
    """Yield the differences between two documents, in order of their paths."""
    if not (isinstance(before, dict) and isinstance(after, dict)):
        if before != after:
            yield Difference(path, before, after)
        return
    for name in sorted(before.keys() | after.keys()):
        place = f"{path}.{name}" if path else name
        yield from differences(before.get(name), after.get(name), place)


def changed_paths(patch: Json, path: str = "") -> set[str]:
    """Return the paths that a patch sets or removes."""
    if not isinstance(patch, dict) or not patch:
        return {path}
    places = set()
    for name, value in patch.items():
        places |= changed_paths(value, f"{path}.{name}" if path else name)
    return places


def overlapping_paths(ours: set[str], theirs: set[str]) -> list[str]:
    """Return the paths of `ours` that equal, contain or lie in one of `theirs`."""
    return sorted(
        one
        for one in ours
        if any(
            one == other or one.startswith(f"{other}.") or other.startswith(f"{one}.")
            for other in theirs
        )
    )
