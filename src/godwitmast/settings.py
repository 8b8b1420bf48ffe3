"""Settings from a TOML file, validated, with overrides from the environment."""

import os
import re
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypeVar

import msgspec
from annotated_types import Ge, Gt, Le

from godwitmast.errors import SettingsError

ENV_PREFIX = "GODWIT__"
"""`GODWIT__LISTEN__PORT=8080` overrides `port` in the table `listen`."""

Port = Annotated[int, Ge(0), Le(65535)]
Seconds = Annotated[float, Gt(0)]

MISSING_FIELD = re.compile(r"missing required field `(.*)`")

T = TypeVar("T")


class Listen(NamedTuple):
    """An address to listen on; port 0 selects a free port."""

    host: str = "127.0.0.1"
    port: Port = 0


class PlatformSettings(NamedTuple):
    """The platform's URL, and this process's share of its rate limits.

    The rates are in rows a second. With the defaults, nine entry VMs stay well below
    the limits of a platform that allows 400 writes and 2,000 reads a second.
    """

    url: str
    timeout_s: Seconds = 2.0
    reads_per_s: Annotated[float, Ge(4)] = 100.0
    writes_per_s: Annotated[float, Ge(4)] = 30.0


class LogSettings(NamedTuple):
    """The log level."""

    level: str = "INFO"


def load_settings(
    path: Path | None, schema: type[T], environ: Mapping[str, str] | None = None
) -> T:
    """Return the settings in `path` as `schema`, or raise SettingsError.

    The error names every problem with its key, its value and the allowed values, so
    that an operator can correct the file in one pass.
    """
    raw = read_toml(path) if path else {}
    apply_overrides(raw, os.environ if environ is None else environ)
    return check_settings(raw, schema, str(path or "settings"))


def check_settings(raw: Mapping[str, Any], schema: type[T], origin: str) -> T:
    """Return `raw` as `schema`, or raise SettingsError that starts with `origin`."""
    if isinstance(schema, type) and issubclass(schema, msgspec.Struct):
        return convert(raw, schema, origin)
    # Imported here because it takes megabytes, which a VM of the users' platform does
    # not need otherwise: its settings are a msgspec structure.
    from godwitmast.validation import validate

    return validate(raw, schema, origin)


def convert(raw: Mapping[str, Any], schema: type[T], origin: str) -> T:
    """Return `raw` as a msgspec structure; errors name only the first problem."""
    try:
        return msgspec.convert(raw, schema, strict=False)
    except msgspec.ValidationError as error:
        problem, _, place = str(error).partition(" - at `$")
        path = place.strip("`.")
        missing = MISSING_FIELD.search(problem)
        if missing:
            path = f"{path}.{missing[1]}".strip(".")
        raise SettingsError(f"{origin}: {path}: {problem}") from None


def read_toml(path: Path) -> dict[str, Any]:
    """Return the parsed file, or raise SettingsError that names it."""
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from None


def apply_overrides(raw: dict[str, Any], environ: Mapping[str, str]) -> None:
    """Set the key in `raw` that each `GODWIT__...` variable names."""
    for name, value in environ.items():
        if not name.startswith(ENV_PREFIX):
            continue
        *tables, key = name.removeprefix(ENV_PREFIX).lower().split("__")
        place = raw
        for table in tables:
            place = place.setdefault(table, {})
        place[key] = value
