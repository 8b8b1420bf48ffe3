"""Changing the configuration: a patch against a number, accepted once or not at all."""

from dataclasses import dataclass, field
from typing import NamedTuple

from godwitmast.config.machine import ConfigState, catch_up
from godwitmast.config.parsing import parse_document
from godwitmast.config.patch import merge_patch, overlap, touched
from godwitmast.config.rows import (
    DELTA_PREFIX,
    HEAD_KEY,
    Delta,
    Head,
    Snapshot,
    delta_key,
    encode_snapshot,
    patch_key,
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
"""Changes between two snapshots: what a new node reads beside the newest of them."""

TRIES = 4
"""How often a write of unknown outcome is sent again before the caller is told."""


class Patch(NamedTuple):
    """A merge patch as its author sends it.

    `against` is the number that its author looked at. A `patch_id` is used for one
    patch only, so that sending it again after a lost answer is safe.
    """

    patch_id: str
    against: int
    patch: Json
    author: str = ""
    at: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The patch is in the history under `number`."""

    number: int


@dataclass(frozen=True, slots=True)
class Stale:
    """Others changed the configuration first; nothing was written, or ever will be.

    `changes` are theirs since `against`, and `overlapping` the paths that this patch
    shares with them.
    """

    against: int
    current: int
    changes: list[Delta] = field(default_factory=list)
    overlapping: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Invalid:
    """The document that the patch leads to contradicts itself."""

    problems: str


@dataclass(frozen=True, slots=True)
class Away:
    """The platform did not take the patch; nothing was written."""


@dataclass(frozen=True, slots=True)
class Unsettled:
    """The patch may be accepted yet: send it again with the same id to find out."""


ChangeOutcome = Accepted | Stale | Invalid | Away | Unsettled


class Base(NamedTuple):
    """The head row that a patch is written against."""

    head: Head
    version: int


def propose(state: ConfigState, patch: Patch) -> Steps[ChangeOutcome]:
    """Accept a patch if nothing was accepted since the number it was made against.

    `state` is brought up to date on the way. An outcome that is not known is settled
    by looking for the patch id; while the head has not moved, the write may still be
    on its way, and sending the same write again cannot make it happen twice.
    """
    sent = False
    for _ in range(TRIES):
        found = yield Read([HEAD_KEY, patch_key(patch.patch_id)])
        if not isinstance(found, Rows):
            continue
        known = found.value(patch_key(patch.patch_id))
        if known is not None:
            return Accepted(known["number"])
        if found.value(HEAD_KEY) is None:
            return Invalid("there is no first configuration yet")
        base = Base(Head(**found.value(HEAD_KEY)), found.version(HEAD_KEY))
        if base.head.number != patch.against:
            return (yield from explain_stale(patch, base.head.number))
        yield from catch_up(state)
        outcome = yield from write_patch(state, patch, base)
        sent = True
        match outcome:
            case Written():
                return Accepted(patch.against + 1)
            case Invalid():
                return outcome
    return Unsettled() if sent else Away()


def write_patch(
    state: ConfigState, patch: Patch, base: Base
) -> Steps[Written | Conflict | Failure | Invalid]:
    """Check the patched document, then write it by compare-and-set of the head."""
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
        # Before the rows that name it: a snapshot that no row names does no harm.
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


def explain_stale(patch: Patch, current: int) -> Steps[Stale]:
    """Return what others changed since the patch's number, as far as can be read."""
    found = yield Scan(DELTA_PREFIX, delta_key(patch.against))
    if not isinstance(found, Rows):
        return Stale(patch.against, current)
    changes = [Delta(**row.value) for row in found.rows.values()]
    theirs: set[str] = set()
    for change in changes:
        theirs |= touched(change.patch)
    shared = overlap(touched(patch.patch), theirs)
    return Stale(patch.against, current, changes, shared)


def read_history(first: int = 1) -> Steps[list[Delta] | None]:
    """Return the accepted changes from number `first` on, or None if away."""
    found = yield Scan(DELTA_PREFIX, delta_key(first - 1))
    if not isinstance(found, Rows):
        return None
    return [Delta(**row.value) for row in found.rows.values()]


def document_at(number: int) -> Steps[Json | None]:
    """Return the whole document at a number, from the changes that led to it.

    None if the platform is away or the number was never accepted.
    """
    changes = yield from read_history()
    if changes is None or not any(change.number == number for change in changes):
        return None
    document: Json = {}
    for change in changes:
        if change.number <= number:
            document = merge_patch(document, change.patch)
    return document
