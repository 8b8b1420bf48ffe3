"""Dial backoff by member and zone, and the choice of further addresses to dial."""

import random
from dataclasses import dataclass

from godwitmast.peers.members import Member, MemberTable
from godwitmast.peers.messages import KnownVm, MemberState, Place
from godwitmast.peers.timing import Timing

MAX_ADDRESSES = 1024


@dataclass(slots=True)
class Backoff:
    """How long a member or a zone that could not be dialled is not dialled again."""

    until: float
    backoff_s: float


class Reachability:
    """Addresses that one node may dial, with the backoff of unreachable ones."""

    def __init__(self, place: Place, rng: random.Random, timing: Timing) -> None:
        self.place = place
        self.random = rng
        self.timing = timing
        self.addresses: set[str] = set()
        self.members: dict[str, Backoff] = {}
        self.zones: dict[str, Backoff] = {}

    def set_known_vms(self, vms: list[KnownVm]) -> None:
        """Replace the addresses at which there may be peers.

        With 130 VMs replaced a day, outdated addresses would otherwise soon outnumber
        those that still answer.
        """
        found = {vm.address for vm in vms[:MAX_ADDRESSES]}
        self.addresses = found - {self.place.address}

    def may_dial(self, member: Member, now: float) -> bool:
        """Return whether neither the member nor its zone is in backoff."""
        marks = (self.members.get(member.node), self.zones.get(member.place.zone))
        return all(mark is None or mark.until <= now for mark in marks)

    def any_backoff_ended(self, since: float, now: float) -> bool:
        """Return whether the backoff of a member or zone has ended since `since`."""
        marks = [*self.members.values(), *self.zones.values()]
        return any(since < mark.until <= now for mark in marks)

    def record_success(self, node: str, zone: str) -> None:
        self.members.pop(node, None)
        self.zones.pop(zone, None)

    def record_failure(self, member: Member, now: float) -> None:
        """Back off from a member that could not be dialled.

        If its zone is in backoff, that one is extended too.
        """
        if member.place.zone in self.zones:
            self.extend_backoff(self.zones, member.place.zone, now)
        self.extend_backoff(self.members, member.node, now)

    def extend_backoff(self, where: dict[str, Backoff], name: str, now: float) -> None:
        """Start a backoff in seconds, or double the last one up to `max_backoff_s`.

        It is spread at random by a quarter to either side.
        """
        old = where.get(name)
        wait_s = self.timing.backoff_s
        if old is not None:
            wait_s = min(old.backoff_s * 2, self.timing.max_backoff_s)
        jitter = 0.75 + 0.5 * self.random.random()
        where[name] = Backoff(now + wait_s * jitter, wait_s)

    def record_refutation(self, member: Member, now: float) -> None:
        """Back off from a whole zone whose member refuted a failed dial.

        Between two zones that are partitioned from each other every dial fails, while
        the members are alive and refute over a third zone. Suspecting them one after
        the other would flood all zones with suspicions and refutations as long as the
        partition lasts, so only one member of the zone is dialled per backoff. Once
        one does not refute, the zone is dead rather than partitioned, and every member
        is dialled again.
        """
        zone = member.place.zone
        if zone == self.place.zone or member.node not in self.members:
            return
        if zone not in self.zones:
            self.extend_backoff(self.zones, zone, now)

    def choose_candidate(self, table: MemberTable) -> str | None:
        """Return a random address at which no live member is known, if there is one.

        By it a new node finds its first peer, and the two sides of a healed partition,
        which have declared each other dead, reconnect.
        """
        listed = {member.place.address for member in table.listed()}
        gone = {
            table.members[node].place.address
            for node in table.gone_at
            if table.members[node].state is MemberState.DEAD
        }
        candidates = sorted((self.addresses | gone) - listed)
        return self.random.choice(candidates) if candidates else None
