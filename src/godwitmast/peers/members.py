"""Table of the peers, ordered by the precedence rules of the SWIM protocol.

As in Das, Gupta and Motivala, "SWIM" (2002), a node is suspected before it is declared
dead, and refutes the suspicion with a higher incarnation. Its first incarnation is the
wall clock at its start in milliseconds, so that a VM replaced under the same name
counts as newer than its predecessor, without anything stored on disk.
"""

from typing import NamedTuple

from godwitmast.peers.messages import MemberState, Place, Record, Topic
from godwitmast.peers.records import fingerprint

TOMBSTONE_S = 600.0
"""How long a dead member is kept: a delayed record must not make it alive again, and
its address is needed to reconnect both sides of a healed partition."""

MAX_MEMBERS = 2048
STATE_COUNT = len(MemberState)


class Member(NamedTuple):
    """Last known state of one node."""

    node: str
    place: Place
    incarnation: int
    state: MemberState = MemberState.ALIVE

    @property
    def version(self) -> int:
        """Return the number that orders states: by incarnation, then by state."""
        return self.incarnation * STATE_COUNT + self.state

    @property
    def listed(self) -> bool:
        return self.state <= MemberState.SUSPECT


def parse_member(record: Record) -> Member:
    """Return the member that a MEMBER record describes."""
    incarnation, state = divmod(record.version, STATE_COUNT)
    return Member(record.key, record.value, incarnation, MemberState(state))


class MemberTable:
    """Members by node, with a digest of those that are alive or suspect."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.gone_at: dict[str, float] = {}
        self.digest = 0

    def put(self, member: Member, now: float) -> None:
        """Store a member's state; a new node is refused if the table is full."""
        old = self.members.get(member.node)
        if old is None and len(self.members) >= MAX_MEMBERS:
            return
        if old is not None:
            self.toggle_digest(old)
        self.members[member.node] = member
        self.toggle_digest(member)
        if member.listed:
            self.gone_at.pop(member.node, None)
        else:
            self.gone_at[member.node] = now

    def toggle_digest(self, member: Member) -> None:
        if member.listed:
            self.digest ^= fingerprint(Topic.MEMBER, member.node, member.incarnation)

    def version(self, node: str) -> int:
        member = self.members.get(node)
        return member.version if member else -1

    def record(self, node: str) -> Record | None:
        member = self.members.get(node)
        if member is None:
            return None
        return Record(Topic.MEMBER, node, member.version, TOMBSTONE_S, member.place)

    def listed(self) -> list[Member]:
        return [member for member in self.members.values() if member.listed]

    def at_address(self, address: str) -> list[Member]:
        return [m for m in self.members.values() if m.place.address == address]

    def expire(self, now: float) -> None:
        old = [n for n, at in self.gone_at.items() if now - at > TOMBSTONE_S]
        for node in old:
            del self.gone_at[node]
            del self.members[node]
