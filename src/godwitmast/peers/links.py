"""One link of the overlay, with what is still to be sent on it."""

from dataclasses import dataclass, field

from godwitmast.peers.messages import (
    MAX_PRUNES,
    MAX_RECORDS,
    ConfigPart,
    Record,
    Topic,
)
from godwitmast.peers.records import RULES, Key


@dataclass(slots=True)
class Link:
    """A connection to a peer, known by name once its hello came.

    What is to be sent is held as keys, not as messages. A peer that reads slowly thus
    costs no memory: news of the same key replaces what it has not been sent yet, and
    what it gets in the end is the newest.
    """

    link_id: int
    address: str | None
    opened_at: float
    heard_at: float
    sent_at: float = 0.0
    node: str | None = None
    zone: str = ""
    incarnation: int = 0
    busy_since: float | None = None
    urgent: dict[Key, None] = field(default_factory=dict)
    bulk: dict[Key, None] = field(default_factory=dict)
    pruned: set[str] = field(default_factory=set)
    to_prune: set[str] = field(default_factory=set)
    to_graft: set[str] = field(default_factory=set)
    send_haves: bool = False
    ask_haves: bool = False
    config_part: ConfigPart | None = None
    config_version: int = 0
    pushed_config: int = 0
    they_want: bool = True
    unwanted_since: float | None = None
    differs_since: float | None = None
    synced_at: float = -1e9
    beat_due: bool = False

    @property
    def dialled(self) -> bool:
        return self.address is not None

    def mark(self, key: Key) -> None:
        """Note that the newest record of `key` is to be sent."""
        if RULES[key[0]].urgent:
            self.urgent[key] = None
        elif key[1] not in self.pruned:
            self.bulk[key] = None

    def unmark(self, key: Key) -> None:
        self.urgent.pop(key, None)
        self.bulk.pop(key, None)

    @property
    def pressing(self) -> bool:
        """Return whether something is to go out before the next flush."""
        return bool(
            self.urgent
            or self.config_part
            or self.send_haves
            or self.to_graft
            or self.beat_due
        )

    def take_keys(self, with_bulk: bool) -> list[Key]:
        """Return the next keys to send, the most urgent topic first."""
        keys = sorted(self.urgent, key=urgency)[:MAX_RECORDS]
        if with_bulk:
            keys += list(self.bulk)[: MAX_RECORDS - len(keys)]
        for key in keys:
            self.unmark(key)
        return keys

    def take_prunes(self) -> tuple[str, ...]:
        return take_some(self.to_prune)

    def take_grafts(self) -> tuple[str, ...]:
        return take_some(self.to_graft)

    def came(self, record: Record, newer: bool) -> None:
        """Note that the peer has a record, as it has just sent it."""
        key = (record.topic, record.key)
        self.unmark(key)
        if not newer and RULES[record.topic].periodic:
            self.to_prune.add(record.key)


def take_some(names: set[str]) -> tuple[str, ...]:
    """Remove and return as many names as a frame may hold."""
    taken = tuple(sorted(names)[:MAX_PRUNES])
    names.difference_update(taken)
    return taken


URGENCY = {
    Topic.WITHDRAWN_KEY: 0,
    Topic.LEAVING_BACKEND: 1,
    Topic.QUARANTINE: 2,
    Topic.CRASH_SUSPICION: 3,
    Topic.MEMBER: 4,
}
"""A withdrawn key goes before all else, also when a healed partition has hundreds of
members to tell of."""


def urgency(key: Key) -> int:
    return URGENCY[key[0]]
