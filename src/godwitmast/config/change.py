"""Configuration changes: a patch against a version, accepted once or not at all."""

from dataclasses import dataclass, field
from typing import NamedTuple

from godwitmast.config.machine import ConfigState, catch_up
from godwitmast.config.parsing import parse_document
from godwitmast.config.patch import changed_paths, merge_patch, overlapping_paths
from godwitmast.config.rows import (
    DELTA_PREFIX,
    HEAD_KEY,
    AcceptedPatch,
    Delta,
    Head,
    Snapshot,
    delta_key,
    encode_snapshot,
    patch_key,
    read_row,
    snapshot_name,
)
from godwitmast.errors import ConfigInvalid
from godwitmast.platform_api.messages import Conflict, Written
from godwitmast.platform_api.steps import (
    Failure,
    PutObject,
    Read,
    Rows,
    Scan,
    Steps,
    Transact,
)
from godwitmast.types import Json

SNAPSHOT_EVERY = 100
"""Changes between two snapshots; bounds the changes that a new node has to read."""

MAX_WRITE_ATTEMPTS = 4
"""Write attempts with unknown outcome before the caller gets an unknown outcome."""


class Patch(NamedTuple):
    """A merge patch as its author submits it.

    `against` is the version that the patch was made against. Each `patch_id` belongs to
    one patch, so a patch can safely be sent again after a lost answer.
    """

    patch_id: str
    against: int
    patch: Json
    author: str = ""
    at: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The patch was accepted as version `number`."""

    number: int


@dataclass(frozen=True, slots=True)
class Stale:
    """Another patch was accepted first; this one was not and never will be written.

    `changes` are the changes accepted since `against`, and `overlapping` the paths that
    both they and this patch change.
    """

    against: int
    current: int
    changes: list[Delta] = field(default_factory=list)
    overlapping: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Invalid:
    """The patched document is not valid."""

    problems: str


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The platform could not be reached; nothing was written."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The patch may still be accepted; send it again with the same id to find out."""


ChangeOutcome = Accepted | Stale | Invalid | Unreachable | OutcomeUnknown


class HeadRow(NamedTuple):
    """The head row that a patch is written against, and the row's version."""

    head: Head
    version: int


def propose(state: ConfigState, patch: Patch) -> Steps[ChangeOutcome]:
    """Accept a patch if no other was accepted since the version it was made against.

    Also brings `state` up to date. An unknown outcome is resolved by reading the row of
    the patch id. While the head row is unchanged, the write may still be in flight;
    repeating it is safe, since compare-and-set lets only one of the two succeed.
    """
    sent = False
    for _ in range(MAX_WRITE_ATTEMPTS):
        found = yield Read([HEAD_KEY, patch_key(patch.patch_id)])
        if not isinstance(found, Rows):
            continue
        known = found.value(patch_key(patch.patch_id))
        if known is not None:
            return Accepted(read_row(known, AcceptedPatch).number)
        if found.value(HEAD_KEY) is None:
            return Invalid("there is no first configuration yet")
        base = HeadRow(read_row(found.value(HEAD_KEY), Head), found.version(HEAD_KEY))
        if base.head.number != patch.against:
            return (yield from describe_conflict(patch, base.head.number))
        yield from catch_up(state)
        outcome = yield from write_patch(state, patch, base)
        sent = True
        match outcome:
            case Written():
                return Accepted(patch.against + 1)
            case Invalid():
                return outcome
    return OutcomeUnknown() if sent else Unreachable()


def write_patch(
    state: ConfigState, patch: Patch, base: HeadRow
) -> Steps[Written | Conflict | Failure | Invalid]:
    """Validate the patched document, then write it by compare-and-set on the head."""
    if state.current is None or state.version != patch.against:
        return Failure.NOT_DONE
    document = merge_patch(state.current.raw, patch.patch)
    try:
        parse_document(document)
    except ConfigInvalid as error:
        return Invalid(str(error))
    number = patch.against + 1
    head = base.head._replace(number=number)
    if number - head.snapshot_number >= SNAPSHOT_EVERY:
        # The snapshot is written before the rows that refer to it: one without a
        # reference does no harm, a reference without a snapshot would.
        name = snapshot_name(number, patch.patch_id)
        put = yield PutObject(name, encode_snapshot(Snapshot(number, document)))
        if not isinstance(put, Failure):
            head = Head(number, name, number)
    delta = Delta(
        number, patch.patch, patch.patch_id, patch.author, patch.at, patch.reason
    )
    result = yield Transact(
        {HEAD_KEY: base.version, patch_key(patch.patch_id): 0, delta_key(number): 0},
        {
            HEAD_KEY: head._asdict(),
            delta_key(number): delta._asdict(),
            patch_key(patch.patch_id): {"number": number},
        },
    )
    assert isinstance(result, Written | Conflict | Failure)
    return result


def describe_conflict(patch: Patch, current: int) -> Steps[Stale]:
    """Return the changes since the patch's version, if the table can be read."""
    found = yield Scan(DELTA_PREFIX, delta_key(patch.against))
    if not isinstance(found, Rows):
        return Stale(patch.against, current)
    changes = [read_row(row.value, Delta) for row in found.rows.values()]
    conflicting: set[str] = set()
    for change in changes:
        conflicting |= changed_paths(change.patch)
    shared = overlapping_paths(changed_paths(patch.patch), conflicting)
    return Stale(patch.against, current, changes, shared)


def read_history(first: int = 1) -> Steps[list[Delta] | None]:
    """Return the changes from version `first` on, or None if the table is unreachable."""
    found = yield Scan(DELTA_PREFIX, delta_key(first - 1))
    if not isinstance(found, Rows):
        return None
    return [read_row(row.value, Delta) for row in found.rows.values()]


def document_at(number: int) -> Steps[Json | None]:
    """Return the whole document at a version, rebuilt from the changes up to it.

    None if the platform is unreachable or the version was never accepted.
    """
    changes = yield from read_history()
    if changes is None or not any(change.number == number for change in changes):
        return None
    document: Json = {}
    for change in changes:
        if change.number <= number:
            document = merge_patch(document, change.patch)
    return document
