"""Which configuration is in force in a process, and how it catches up, without I/O.

Numbers only go up. A process takes changes one after the other, from the table or
from a peer, or a whole snapshot when it missed too many; both ways lead to the same
document, since each number has one change and one document.
"""

from collections import deque
from enum import Enum

from godwitmast.config.document import NumberedConfig
from godwitmast.config.parsing import parse_change, parse_document
from godwitmast.config.patch import merge_patch
from godwitmast.config.rows import (
    DELTA_PREFIX,
    HEAD_KEY,
    Delta,
    Head,
    Snapshot,
    decode_snapshot,
    delta_key,
    read_row,
)
from godwitmast.errors import ConfigInvalid
from godwitmast.platform_api.steps import GetObject, ObjectRead, Read, Rows, Scan, Steps
from godwitmast.types import Json

DELTAS_KEPT = 256
"""Enough for a peer that was away for hours at 1,300 changes a day."""


class Offered(Enum):
    """What became of a change or a snapshot that was offered."""

    ADOPTED = "adopted"
    OLD = "old"
    """Its number is in force already, or a higher one is."""
    GAP = "gap"
    """Changes before it are missing: fetch them, or a snapshot."""
    REJECTED = "rejected"
    """The document is not valid; what was in force stays so."""


class ConfigState:
    """The configuration in force here, and the last changes that led to it."""

    def __init__(self) -> None:
        self.current: NumberedConfig | None = None
        self.deltas: deque[Delta] = deque(maxlen=DELTAS_KEPT)
        self.rejected: str | None = None
        self.watched: dict[str, Json] = {}
        """Other rows whose values, if there are any, are read along with the head."""

    @property
    def version(self) -> int:
        """Return the number in force, or 0 before there is one."""
        return self.current.version if self.current else 0

    def adopt(self, number: int, raw: Json) -> Offered:
        """Put a whole document in force, unless one as new is already."""
        if number <= self.version:
            return Offered.OLD
        outcome = self.put_in_force(number, raw)
        if outcome is Offered.ADOPTED:
            self.deltas.clear()
        return outcome

    def offer_delta(self, delta: Delta) -> Offered:
        """Put the next change in force."""
        if delta.number <= self.version:
            return Offered.OLD
        if self.current is None or delta.number != self.version + 1:
            return Offered.GAP
        raw = merge_patch(self.current.raw, delta.patch)
        outcome = self.put_in_force(delta.number, raw, delta.patch)
        if outcome is Offered.ADOPTED:
            self.deltas.append(delta)
        return outcome

    def put_in_force(self, number: int, raw: Json, patch: Json = None) -> Offered:
        try:
            if self.current is None or patch is None:
                document = parse_document(raw)
            else:
                document = parse_change(self.current.document, raw, patch)
        except ConfigInvalid as error:
            # Patches are checked before they are accepted, so something else wrote
            # this. Serving on under the old configuration loses less.
            self.rejected = f"{number}: {error}"
            return Offered.REJECTED
        self.current = NumberedConfig(number, document, raw)
        return Offered.ADOPTED

    def deltas_after(self, version: int) -> list[Delta] | None:
        """Return the changes after `version`, or None if a snapshot is needed."""
        if version >= self.version:
            return []
        after = [delta for delta in self.deltas if delta.number > version]
        if len(after) != self.version - version:
            return None
        return after

    def snapshot(self) -> Snapshot | None:
        """Return the whole document in force."""
        if self.current is None:
            return None
        return Snapshot(self.current.version, self.current.raw)


def catch_up(state: ConfigState) -> Steps[bool]:
    """Bring `state` to the table's number; return whether the table answered."""
    try:
        return (yield from pull(state))
    except ConfigInvalid as error:
        # A row that something else wrote: serve on under what is in force.
        state.rejected = str(error)
        return True


def pull(state: ConfigState) -> Steps[bool]:
    found = yield Read([HEAD_KEY, *state.watched])
    if not isinstance(found, Rows):
        return False
    state.watched = {key: found.value(key) for key in state.watched}
    if found.value(HEAD_KEY) is None:
        return True
    head = read_row(found.value(HEAD_KEY), Head)
    if head.number <= state.version:
        return True
    if state.version < head.snapshot_number:
        content = yield GetObject(head.snapshot)
        if not isinstance(content, ObjectRead):
            return False
        if content.content is not None:
            state.adopt(*decode_snapshot(content.content))
    if state.version == head.number:
        return True
    found = yield Scan(DELTA_PREFIX, delta_key(state.version))
    if not isinstance(found, Rows):
        return False
    for row in found.rows.values():
        state.offer_delta(read_row(row.value, Delta))
    return True
