"""A link of the overlay, with the records that are queued on it."""

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
    """A connection to a peer, whose `node` is set once its hello has arrived.

    The queues hold keys, not records, so that a peer that reads slowly costs bounded
    memory: several updates of a key are one entry, and the newest record is sent.
    """

    link_id: int
    address: str | None
    opened_at: float
    received_at: float
    sent_at: float = 0.0
    node: str | None = None
    zone: str = ""
    incarnation: int = 0
    sending_since: float | None = None
    urgent: dict[Key, None] = field(default_factory=dict)
    deferred: dict[Key, None] = field(default_factory=dict)
    pruned: set[str] = field(default_factory=set)
    to_prune: set[str] = field(default_factory=set)
    to_graft: set[str] = field(default_factory=set)
    send_haves: bool = False
    request_haves: bool = False
    config_part: ConfigPart | None = None
    config_version: int = 0
    pushed_config: int = 0
    peer_wants: bool = True
    unwanted_since: float | None = None
    mismatch_since: float | None = None
    synced_at: float = -1e9
    beat_due: bool = False

    @property
    def dialled(self) -> bool:
        return self.address is not None

    def enqueue(self, key: Key) -> None:
        """Queue the newest record of `key`; a pruned origin's record is left out."""
        if RULES[key[0]].urgent:
            self.urgent[key] = None
        elif key[1] not in self.pruned:
            self.deferred[key] = None

    def dequeue(self, key: Key) -> None:
        self.urgent.pop(key, None)
        self.deferred.pop(key, None)

    @property
    def has_urgent(self) -> bool:
        """Return whether something must be sent before the next flush."""
        return bool(
            self.urgent
            or self.config_part
            or self.send_haves
            or self.to_graft
            or self.beat_due
        )

    def pop_keys(self, with_deferred: bool) -> list[Key]:
        """Remove and return one frame's keys, the most urgent topic first."""
        keys = sorted(self.urgent, key=urgency)[:MAX_RECORDS]
        if with_deferred:
            keys += list(self.deferred)[: MAX_RECORDS - len(keys)]
        for key in keys:
            self.dequeue(key)
        return keys

    def pop_prunes(self) -> tuple[str, ...]:
        return pop_names(self.to_prune)

    def pop_grafts(self) -> tuple[str, ...]:
        return pop_names(self.to_graft)

    def record_received(self, record: Record, newer: bool) -> None:
        """Dequeue a record that the peer has just sent, and so has itself.

        A periodic record that was not newer is redundant: its origin will be pruned,
        so that each node receives an origin's records over one link only.
        """
        key = (record.topic, record.key)
        self.dequeue(key)
        if not newer and RULES[record.topic].periodic:
            self.to_prune.add(record.key)


def pop_names(names: set[str]) -> tuple[str, ...]:
    """Remove and return as many names as fit into a frame."""
    popped = tuple(sorted(names)[:MAX_PRUNES])
    names.difference_update(popped)
    return popped


URGENCY = {
    Topic.WITHDRAWN_KEY: 0,
    Topic.LEAVING_BACKEND: 1,
    Topic.QUARANTINE: 2,
    Topic.CRASH_SUSPICION: 3,
    Topic.MEMBER: 4,
}
"""Lower is sent first. A withdrawn key precedes all else, also when a healed partition
has queued hundreds of members."""


def urgency(key: Key) -> int:
    return URGENCY[key[0]]
