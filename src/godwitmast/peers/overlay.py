"""Whom a node links to: a sparse overlay that every node works out alike.

In each availability zone two rings, ordered by two hashes: each node links to its next
in each. One ring is enough to connect a zone; the union of two random ones is an
expander with high probability (Law and Siu, 2003), so that news crosses fifty nodes in
four or five hops and a few deaths at once do not split it. Outside the zone a node
links to the next of another zone in a ring of its region, to the next of a third
zone, and to the next of another region in a ring of all. When a node goes, its
neighbours' next is simply the one after it: there is nothing to repair but a dial.
"""

from collections.abc import Iterable

from godwitmast.peers.members import Member
from godwitmast.peers.rendezvous import weight

ZONE_RINGS = ("zone-0", "zone-1")
OUTSIDE_ZONES = 2
RING_SIZE = 2**64


def choose_neighbours(me: Member, members: Iterable[Member]) -> set[str]:
    """Return the nodes that `me` dials, among the members that it can reach."""
    others = [m for m in members if m.node != me.node]
    chosen: set[str] = set()
    for ring in ZONE_RINGS:
        near = [m for m in others if m.place.zone == me.place.zone]
        chosen |= next_after(me, [m for m in near if m.node not in chosen], ring)
    zones = {me.place.zone}
    for _ in range(OUTSIDE_ZONES):
        region = [m for m in others if m.place.region == me.place.region]
        outside = [m for m in region if m.place.zone not in zones]
        found = next_after(me, outside, "region")
        zones |= {m.place.zone for m in outside if m.node in found}
        chosen |= found
    far = [m for m in others if m.place.region != me.place.region]
    return chosen | next_after(me, far, "all")


def next_after(me: Member, members: list[Member], ring: str) -> set[str]:
    """Return the first of the members after `me` in a ring, if there is one."""
    mine = weight(ring, me.node)
    found = min(
        members,
        key=lambda member: (weight(ring, member.node) - mine) % RING_SIZE,
        default=None,
    )
    return {found.node} if found else set()
