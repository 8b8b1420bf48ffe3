"""Which addresses and members a node tries to dial, and which it leaves alone."""

import random
from dataclasses import dataclass

from godwitmast.peers.members import Member, MemberTable
from godwitmast.peers.messages import KnownVm, MemberState, Place
from godwitmast.peers.timing import Timing

MAX_ADDRESSES = 1024


@dataclass(slots=True)
class Unreached:
    """A member or a zone that this node could not dial."""

    until: float
    backoff: float


class Reach:
    """What one node knows of whom it can reach."""

    def __init__(self, place: Place, choose: random.Random, timing: Timing) -> None:
        self.place = place
        self.random = choose
        self.timing = timing
        self.addresses: set[str] = set()
        self.members: dict[str, Unreached] = {}
        self.zones: dict[str, Unreached] = {}

    def learn(self, vms: list[KnownVm]) -> None:
        """Take the addresses at which there may be peers, in place of the former ones.

        With 130 VMs replaced a day, old addresses that were kept would soon outnumber
        those where somebody answers.
        """
        found = {vm.address for vm in vms[:MAX_ADDRESSES]}
        self.addresses = found - {self.place.address}

    def worth_a_dial(self, member: Member, now: float) -> bool:
        """Return whether a member is not to be left alone now."""
        marks = (self.members.get(member.node), self.zones.get(member.place.zone))
        return all(mark is None or mark.until <= now for mark in marks)

    def some_due(self, since: float, now: float) -> bool:
        """Return whether a member or zone is worth a dial again since `since`."""
        marks = [*self.members.values(), *self.zones.values()]
        return any(since < mark.until <= now for mark in marks)

    def reached(self, node: str, zone: str) -> None:
        self.members.pop(node, None)
        self.zones.pop(zone, None)

    def failed(self, member: Member, now: float) -> None:
        """Leave a member alone that could not be dialled."""
        if member.place.zone in self.zones:
            self.back_off(self.zones, member.place.zone, now)
        self.back_off(self.members, member.node, now)

    def back_off(self, where: dict[str, Unreached], name: str, now: float) -> None:
        """Leave a member or a zone out of the overlay for a while, longer each time."""
        old = where.get(name)
        wait = self.timing.backoff
        if old is not None:
            wait = min(old.backoff * 2, self.timing.backoff_max)
        jitter = 0.75 + 0.5 * self.random.random()
        where[name] = Unreached(now + wait * jitter, wait)

    def refuted(self, member: Member, now: float) -> None:
        """Learn that a whole zone is out of reach, by a member that refuted.

        Between two zones that are cut off from each other every dial fails, while the
        members are alive and say so by way of a third zone. Suspecting one after the
        other would flood all zones with suspicions and refutations for as long as the
        partition lasts; instead one of the zone is tried now and then. Once one does
        not refute, the zone is dead rather than cut off, and each is tried again.
        """
        zone = member.place.zone
        if zone == self.place.zone or member.node not in self.members:
            return
        if zone not in self.zones:
            self.back_off(self.zones, zone, now)

    def choose_candidate(self, table: MemberTable) -> str | None:
        """Return an address at which no live member is known, if there is one.

        So a new node finds its first peer, and so the halves of a healed partition,
        which hold each other for dead, find each other again.
        """
        listed = {member.place.address for member in table.listed()}
        gone = {
            table.members[node].place.address
            for node in table.gone_at
            if table.members[node].state is MemberState.DEAD
        }
        candidates = sorted((self.addresses | gone) - listed)
        return self.random.choice(candidates) if candidates else None
