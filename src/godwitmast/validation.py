"""Validation of external data against a schema, with all problems in one message."""

from collections.abc import Mapping
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError

from godwitmast.errors import SettingsError

T = TypeVar("T")


def validate(raw: Mapping[str, Any], schema: type[T], origin: str) -> T:
    """Return `raw` as `schema`, or raise SettingsError that starts with `origin`."""
    try:
        return TypeAdapter(schema).validate_python(raw)
    except ValidationError as error:
        raise SettingsError(f"{origin}: " + describe(error)) from None


def describe(error: ValidationError) -> str:
    """Return one line with key, value and message for each problem."""
    lines = []
    for problem in error.errors(include_url=False):
        key = ".".join(str(part) for part in problem["loc"])
        value = "" if problem["type"] == "missing" else f" = {problem['input']!r}"
        lines.append(f"{key}{value}: {problem['msg']}")
    return "; ".join(lines)
