"""Checked TOML settings, with overrides from the environment."""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypeVar

from pydantic import Field, TypeAdapter, ValidationError

from godwitmast.errors import SettingsError

ENV_PREFIX = "GODWIT__"
"""`GODWIT__LISTEN__PORT=8080` overrides `port` in the table `listen`."""

Port = Annotated[int, Field(ge=0, le=65535)]
Seconds = Annotated[float, Field(gt=0)]

T = TypeVar("T")


class Listen(NamedTuple):
    """An address to listen on; port 0 lets the system choose."""

    host: str = "127.0.0.1"
    port: Port = 0


class PlatformSettings(NamedTuple):
    """Where the platform's interfaces are, and this process's share of their rates.

    The rates are rows a second. The defaults leave nine entry VMs well below a
    platform of 400 writes and 2,000 reads a second.
    """

    url: str
    timeout_s: Seconds = 2.0
    reads_per_s: Annotated[float, Field(ge=4)] = 100.0
    writes_per_s: Annotated[float, Field(ge=4)] = 30.0


class LogSettings(NamedTuple):
    """How much is logged."""

    level: str = "INFO"


def load_settings(
    path: Path | None, schema: type[T], environ: Mapping[str, str] | None = None
) -> T:
    """Return the settings in `path` as `schema`, or raise SettingsError.

    Every problem is named at once, each with its key, its value and what is allowed,
    so that an operator mends a file in one go.
    """
    raw = read_toml(path) if path else {}
    apply_overrides(raw, os.environ if environ is None else environ)
    return check_settings(raw, schema, str(path or "settings"))


def check_settings(raw: Mapping[str, Any], schema: type[T], origin: str) -> T:
    """Return `raw` as `schema`; `origin` opens the error's text."""
    try:
        return TypeAdapter(schema).validate_python(raw)
    except ValidationError as error:
        raise SettingsError(f"{origin}: " + describe(error)) from None


def describe(error: ValidationError) -> str:
    """Return one line with key, value and what is allowed for each problem."""
    lines = []
    for problem in error.errors(include_url=False):
        key = ".".join(str(part) for part in problem["loc"])
        value = "" if problem["type"] == "missing" else f" = {problem['input']!r}"
        lines.append(f"{key}{value}: {problem['msg']}")
    return "; ".join(lines)


def read_toml(path: Path) -> dict[str, Any]:
    """Return the parsed file, or raise SettingsError that names it."""
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from None


def apply_overrides(raw: dict[str, Any], environ: Mapping[str, str]) -> None:
    """Put each `GODWIT__...` variable in its place in `raw`."""
    for name, value in environ.items():
        if not name.startswith(ENV_PREFIX):
            continue
        *tables, key = name.removeprefix(ENV_PREFIX).lower().split("__")
        place = raw
        for table in tables:
            place = place.setdefault(table, {})
        place[key] = value
