"""Bounded store of the gossiped records; the higher version of a key wins."""

from collections.abc import Iterator
from typing import NamedTuple

import xxhash

from godwitmast.peers.messages import Record, Topic

Key = tuple[Topic, str]


class Rule(NamedTuple):
    """How the records of a topic are spread.

    `urgent` records are sent at once, others with the next flush. `periodic` ones are
    renewed by one node, whose name is their key, and left out of digests, since the
    next renewal repairs a loss. `zone_only` ones never leave the availability zone.
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


class StoredRecord(NamedTuple):
    """A record with the time at which it expires, by this node's clock."""

    record: Record
    expires_at: float


def fingerprint(topic: int, key: str, version: int) -> int:
    return xxhash.xxh32_intdigest(f"{topic}/{key}/{version}".encode())


class RecordStore:
    """All records except those of members, bounded in number by topic."""

    def __init__(self) -> None:
        self.held: dict[Topic, dict[str, StoredRecord]] = {topic: {} for topic in Topic}
        self.digest = 0
        self.dropped = 0

    def put_if_newer(self, record: Record, now: float) -> bool:
        """Store a record if it is newer than the stored one; return whether it was."""
        if record.left_s <= 0:
            return False
        by_key = self.held[record.topic]
        old = by_key.get(record.key)
        if old is not None:
            if record.version <= old.record.version:
                return False
            self.remove(record.topic, record.key)
        elif len(by_key) >= RULES[record.topic].max_keys:
            # A flood of keys must not evict what is already known, so the record that
            # expires soonest is evicted, or the new one refused.
            soonest = min(by_key, key=lambda key: by_key[key].expires_at)
            self.dropped += 1
            if by_key[soonest].expires_at >= now + record.left_s:
                return False
            self.remove(record.topic, soonest)
        by_key[record.key] = StoredRecord(record, now + record.left_s)
        self.toggle_digest(record)
        return True

    def remove(self, topic: Topic, key: str) -> None:
        self.toggle_digest(self.held[topic].pop(key).record)

    def toggle_digest(self, record: Record) -> None:
        if not RULES[record.topic].periodic:
            self.digest ^= fingerprint(record.topic, record.key, record.version)

    def get(self, key: Key, now: float) -> Record | None:
        """Return the record with the seconds that it has left, or None if it expired.

        Whole seconds take one or two bytes on the wire, a float nine. They are rounded
        down: rounded up, two nodes would renew a record on each other for ever.
        """
        held = self.held[key[0]].get(key[1])
        if held is None or held.expires_at <= now:
            return None
        return held.record._replace(left_s=int(held.expires_at - now))

    def version(self, key: Key) -> int:
        held = self.held[key[0]].get(key[1])
        return held.record.version if held else -1

    def digested_records(self) -> Iterator[Record]:
        """Yield the records that digests cover, which are the ones not periodic."""
        for topic, by_key in self.held.items():
            if not RULES[topic].periodic:
                for held in by_key.values():
                    yield held.record

    def periodic_keys(self) -> Iterator[Key]:
        for topic, by_key in self.held.items():
            if RULES[topic].periodic:
                for key in by_key:
                    yield topic, key

    def stale_origins(self, now: float) -> set[str]:
        """Return the origins of periodic records that are past half their lifetime."""
        return {
            key
            for topic, key in self.periodic_keys()
            for held in (self.held[topic][key],)
            if held.expires_at - now < held.record.left_s / 2
        }

    def expire(self, now: float) -> None:
        for topic, by_key in self.held.items():
            for key in [k for k, held in by_key.items() if held.expires_at <= now]:
                self.remove(topic, key)
