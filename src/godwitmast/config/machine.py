"""The configuration in force in a process and its catch-up protocol, without I/O.

Version numbers only increase. A process applies changes one by one, from the table or
from a peer, or a whole snapshot if it has missed too many. Both lead to the same
document, since each number has exactly one change and one document.
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
"""Covers a peer that was disconnected for hours, at 1,300 changes a day."""


class Offered(Enum):
    """The outcome of applying a change or a snapshot."""

    ADOPTED = "adopted"
    OLD = "old"
    """Its number, or a higher one, is already in force."""
    GAP = "gap"
    """Earlier changes are missing: fetch them or a snapshot."""
    REJECTED = "rejected"
    """The document is not valid; the previous configuration stays in force."""


class ConfigState:
    """The configuration in force in this process and the latest changes to it."""

    def __init__(self) -> None:
        self.current: NumberedConfig | None = None
        self.deltas: deque[Delta] = deque(maxlen=DELTAS_KEPT)
        self.rejected: str | None = None
        self.watched: dict[str, Json] = {}
        """Values of other rows that are read together with the head row; None if absent."""

    @property
    def version(self) -> int:
        """Return the number in force, or 0 if there is none yet."""
        return self.current.version if self.current else 0

    def adopt(self, number: int, raw: Json) -> Offered:
        """Put a whole document in force, unless one at least as new already is."""
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
            # Patches are validated before they are accepted, so some other program
            # wrote this one. Keeping the old configuration in force loses less.
            self.rejected = f"{number}: {error}"
            return Offered.REJECTED
        self.current = NumberedConfig(number, document, raw)
        return Offered.ADOPTED

    def deltas_after(self, version: int) -> list[Delta] | None:
        """Return the changes after `version`, or None if the caller needs a snapshot."""
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
    """Bring `state` to the table's version; return whether the table answered."""
    try:
        return (yield from pull(state))
    except ConfigInvalid as error:
        # Some other program wrote the row; the configuration in force stays.
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
