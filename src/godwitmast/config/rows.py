"""The layout of the configuration in the platform's table and objects.

The head row is small, since every node polls it. Each change is a row of its own, and
a whole document is stored as an object every so many changes.
"""

from typing import NamedTuple, TypeVar

import msgspec

from godwitmast.bounds import ClockSeconds, WholeNumber
from godwitmast.decoding import convert, decode_json
from godwitmast.errors import ConfigInvalid, Undecodable
from godwitmast.types import Json

T = TypeVar("T")

HEAD_KEY = "config/head"
"""The row with the version in force and the name of the newest snapshot."""

DELTA_PREFIX = "config/delta/"
PATCH_PREFIX = "config/patch/"
SNAPSHOT_PREFIX = "config/snapshot/"

NUMBER_DIGITS = 12


class Head(NamedTuple):
    """The version in force, and the newest snapshot at or below it."""

    number: WholeNumber
    snapshot: str
    snapshot_number: WholeNumber


class Delta(NamedTuple):
    """An accepted change: the merge patch from `number - 1` to `number`."""

    number: WholeNumber
    patch: Json
    patch_id: str = ""
    author: str = ""
    at: ClockSeconds = 0.0
    reason: str = ""


class Snapshot(NamedTuple):
    """A whole document with its version."""

    number: WholeNumber
    document: Json


class AcceptedPatch(NamedTuple):
    """The version that a patch was accepted as."""

    number: WholeNumber


def delta_key(number: int) -> str:
    """Return the key of a change's row; keys sort by number."""
    return f"{DELTA_PREFIX}{number:0{NUMBER_DIGITS}}"


def patch_key(patch_id: str) -> str:
    """Return the key of the row that holds the version a patch was accepted as."""
    return f"{PATCH_PREFIX}{patch_id}"


def snapshot_name(number: int, patch_id: str) -> str:
    """Return a snapshot's name, different for two patches that race for one version."""
    return f"{SNAPSHOT_PREFIX}{number:0{NUMBER_DIGITS}}-{patch_id}"


def read_row(value: Json, shape: type[T]) -> T:
    """Return a row's value as `shape`, or raise ConfigInvalid if fields differ."""
    try:
        return convert(list(shape(**value)), shape)  # type: ignore[call-overload]
    except (TypeError, Undecodable) as error:
        raise ConfigInvalid(f"row is not a valid {shape.__name__}: {error}") from None


def encode_snapshot(snapshot: Snapshot) -> bytes:
    return msgspec.json.encode(snapshot)


def decode_snapshot(content: bytes) -> Snapshot:
    """Return the snapshot in an object, or raise ConfigInvalid."""
    try:
        return decode_json(content, Snapshot)
    except Undecodable as error:
        raise ConfigInvalid(f"object is not a valid Snapshot: {error}") from None


def first_objects(document: Json) -> dict[str, bytes]:
    """Return the objects of a first configuration, to be written before its rows."""
    name = snapshot_name(1, "first")
    return {name: encode_snapshot(Snapshot(1, document))}


def first_rows(document: Json) -> dict[str, Json]:
    """Return the rows of a first configuration, to be written if there is none."""
    head = Head(1, snapshot_name(1, "first"), 1)
    delta = Delta(1, document, "first", reason="first configuration")
    return {
        HEAD_KEY: head._asdict(),
        delta_key(1): delta._asdict(),
        patch_key("first"): {"number": 1},
    }
