"""Who the peers are, by SWIM's rules of which news overrides which.

After Das, Gupta and Motivala, "SWIM" (2002): a suspicion is spread before a death, and
the suspect refutes it by a higher incarnation. A node's first incarnation is the wall
clock at its start in milliseconds, so that a VM replaced under the same name counts as
newer than the one before it, with nothing kept on disk.
"""

from typing import NamedTuple

from godwitmast.peers.messages import MemberState, Place, Record, Topic
from godwitmast.peers.records import fingerprint

TOMBSTONE_S = 600.0
"""A dead member is kept this long, so that late news does not raise it again, and so
that a node cut off with others can find them once the partition has healed."""

MAX_MEMBERS = 2048
STATES = len(MemberState)


class Member(NamedTuple):
    """What is known of one node."""

    node: str
    place: Place
    incarnation: int
    state: MemberState = MemberState.ALIVE

    @property
    def version(self) -> int:
        """Return the number by which news of this member is ordered."""
        return self.incarnation * STATES + self.state

    @property
    def listed(self) -> bool:
        return self.state <= MemberState.SUSPECT


def member_of(record: Record) -> Member:
    """Return the member that a MEMBER record tells of."""
    incarnation, state = divmod(record.version, STATES)
    return Member(record.key, record.value, incarnation, MemberState(state))


class MemberTable:
    """The members by node, with a digest of those that are alive."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.gone_at: dict[str, float] = {}
        self.digest = 0

    def put(self, member: Member, now: float) -> None:
        """Hold a member in place of what was held of its node."""
        old = self.members.get(member.node)
        if old is None and len(self.members) >= MAX_MEMBERS:
            return
        if old is not None:
            self.toggle(old)
        self.members[member.node] = member
        self.toggle(member)
        if member.listed:
            self.gone_at.pop(member.node, None)
        else:
            self.gone_at[member.node] = now

    def toggle(self, member: Member) -> None:
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
