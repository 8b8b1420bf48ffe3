"""A sparse overlay of links between nodes, which every node computes alike.

Each availability zone has two rings, ordered by two hashes, and each node links to its
successor in each. One ring connects a zone; the union of two random ones is an expander
with high probability (Law and Siu, 2003), so that a record crosses fifty nodes in four
or five hops and a few simultaneous failures do not split the zone. Beyond its zone a
node links to its successor from another zone in a ring of the region, to the one from
a third zone, and to the one from another region in a ring of all nodes. When a node
fails, the next node in the ring becomes the successor: the only repair is one dial.
"""

from collections.abc import Iterable

from godwitmast.peers.members import Member
from godwitmast.peers.rendezvous import weight

ZONE_RINGS = ("zone-0", "zone-1")
OUTSIDE_ZONES = 2
RING_SIZE = 2**64


def choose_neighbours(me: Member, members: Iterable[Member]) -> set[str]:
    """Return the nodes that `me` should dial, among the members that it can reach."""
    others = [m for m in members if m.node != me.node]
    chosen: set[str] = set()
    for ring in ZONE_RINGS:
        near = [m for m in others if m.place.zone == me.place.zone]
        chosen |= find_successor(me, [m for m in near if m.node not in chosen], ring)
    zones = {me.place.zone}
    for _ in range(OUTSIDE_ZONES):
        region = [m for m in others if m.place.region == me.place.region]
        outside = [m for m in region if m.place.zone not in zones]
        found = find_successor(me, outside, "region")
        zones |= {m.place.zone for m in outside if m.node in found}
        chosen |= found
    far = [m for m in others if m.place.region != me.place.region]
    return chosen | find_successor(me, far, "all")


def find_successor(me: Member, members: list[Member], ring: str) -> set[str]:
    """Return the successor of `me` among members in a ring; empty if there is none."""
    mine = weight(ring, me.node)
    found = min(
        members,
        key=lambda member: (weight(ring, member.node) - mine) % RING_SIZE,
        default=None,
    )
    return {found.node} if found else set()
