"""Whom a node links to: a sparse overlay that every node works out alike.

In each availability zone two rings, ordered by two hashes: each node links to its next
in each. One ring is enough to connect a zone; the union of two random ones is an
expander with high probability (Law and Siu, 2003), so that news crosses fifty nodes in
four or five hops and a few deaths at once do not split it. Outside the zone a node
links to the next of another zone in a ring of its region, to the next of a third
zone, and to the next of another region in a ring of all. When a node goes, its
neighbours' next is simply the one after it: there is nothing to repair but a dial.
"""

from collections.abc import Callable, Iterable, Iterator

from godwitmast.peers.members import Member
from godwitmast.peers.rendezvous import weight

ZONE_RINGS = ("zone-0", "zone-1")
OUTSIDE_ZONES = 2


def choose_neighbours(
    me: Member, members: Iterable[Member], reachable: Callable[[str], bool]
) -> set[str]:
    """Return the nodes that `me` dials, among the members it can reach."""
    others = [m for m in members if m.node != me.node and reachable(m.node)]
    near = [m for m in others if m.place.zone == me.place.zone]
    chosen: set[str] = set()
    for ring in ZONE_RINGS:
        for member in after(me, near, ring):
            if member.node not in chosen:
                chosen.add(member.node)
                break
    chosen |= choose_outside(me, others)
    chosen |= choose_far(me, others)
    return chosen


def choose_outside(me: Member, others: list[Member]) -> set[str]:
    """Return the next node of each of two other zones of the region."""
    zones = {me.place.zone}
    chosen: set[str] = set()
    region = [m for m in others if m.place.region == me.place.region]
    for member in after(me, region, "region"):
        if len(chosen) == OUTSIDE_ZONES:
            break
        if member.place.zone not in zones:
            zones.add(member.place.zone)
            chosen.add(member.node)
    return chosen


def choose_far(me: Member, others: list[Member]) -> set[str]:
    """Return the next node of another region."""
    far = [m for m in others if m.place.region != me.place.region]
    return {member.node for member in list(after(me, far, "all"))[:1]}


def after(me: Member, members: list[Member], ring: str) -> Iterator[Member]:
    """Return the members in the order of a ring, from the one after `me`."""
    mine = weight(ring, me.node)
    return iter(
        sorted(
            members, key=lambda m: (weight(ring, m.node) <= mine, weight(ring, m.node))
        )
    )
