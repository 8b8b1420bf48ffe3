"""The records that a node holds, bounded, with the higher version winning."""

from collections.abc import Iterator
from typing import NamedTuple

import xxhash

from godwitmast.peers.messages import Record, Topic

Key = tuple[Topic, str]


class Rule(NamedTuple):
    """How the records of a topic are spread.

    `urgent` goes out at once, the rest with the next flush. `periodic` is told again
    and again by one node, its key; it is left out of digests, since the next telling
    repairs a lost one. `zone_only` never leaves the availability zone.
    """

    urgent: bool
    periodic: bool
    zone_only: bool
    max_keys: int


RULES = {
    Topic.MEMBER: Rule(True, False, False, 2048),
    Topic.WITHDRAWN_KEY: Rule(True, False, False, 2048),
    Topic.LEAVING_BACKEND: Rule(True, False, False, 2048),
    Topic.QUARANTINE: Rule(True, False, False, 1024),
    Topic.CRASH_SUSPICION: Rule(True, False, False, 1024),
    Topic.LOAD: Rule(False, True, True, 512),
    Topic.SERVICE: Rule(False, True, True, 512),
}


class Held(NamedTuple):
    """A record with the moment at which it expires here."""

    record: Record
    expires_at: float


def fingerprint(topic: int, key: str, version: int) -> int:
    return xxhash.xxh32_intdigest(f"{topic}/{key}/{version}".encode())


class RecordStore:
    """Every record but those of members; each topic holds a bounded number."""

    def __init__(self) -> None:
        self.held: dict[Topic, dict[str, Held]] = {topic: {} for topic in Topic}
        self.digest = 0
        self.dropped = 0

    def offer(self, record: Record, now: float) -> bool:
        """Take a record, and return whether it is newer than what was held."""
        if record.left_s <= 0:
            return False
        shelf = self.held[record.topic]
        old = shelf.get(record.key)
        if old is not None:
            if record.version <= old.record.version:
                return False
            self.remove(record.topic, record.key)
        elif len(shelf) >= RULES[record.topic].max_keys:
            # A flood of keys must not push out what is already known: those are
            # dropped first that would have expired soonest.
            soonest = min(shelf, key=lambda key: shelf[key].expires_at)
            self.dropped += 1
            if shelf[soonest].expires_at >= now + record.left_s:
                return False
            self.remove(record.topic, soonest)
        shelf[record.key] = Held(record, now + record.left_s)
        self.toggle(record)
        return True

    def remove(self, topic: Topic, key: str) -> None:
        self.toggle(self.held[topic].pop(key).record)

    def toggle(self, record: Record) -> None:
        if not RULES[record.topic].periodic:
            self.digest ^= fingerprint(record.topic, record.key, record.version)

    def get(self, key: Key, now: float) -> Record | None:
        """Return the record as it is to be sent now.

        Its time is cut to whole seconds, which take a byte or two where a float takes
        nine. Cut and never rounded up: two nodes that told each other of a record
        would else keep it for ever.
        """
        held = self.held[key[0]].get(key[1])
        if held is None or held.expires_at <= now:
            return None
        return held.record._replace(left_s=int(held.expires_at - now))

    def version(self, key: Key) -> int:
        held = self.held[key[0]].get(key[1])
        return held.record.version if held else -1

    def durable(self) -> Iterator[Record]:
        """Yield the records that digests cover."""
        for topic, shelf in self.held.items():
            if not RULES[topic].periodic:
                for held in shelf.values():
                    yield held.record

    def periodic_keys(self) -> Iterator[Key]:
        for topic, shelf in self.held.items():
            if RULES[topic].periodic:
                for key in shelf:
                    yield topic, key

    def stale(self, now: float) -> set[str]:
        """Return the origins of periodic records that used up half of their time."""
        return {
            key
            for topic, key in self.periodic_keys()
            for held in (self.held[topic][key],)
            if held.expires_at - now < held.record.left_s / 2
        }

    def expire(self, now: float) -> None:
        for topic, shelf in self.held.items():
            for key in [k for k, held in shelf.items() if held.expires_at <= now]:
                self.remove(topic, key)
