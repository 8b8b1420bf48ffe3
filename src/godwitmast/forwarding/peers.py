"""Choice of the VM to which a request is forwarded, without I/O.

Load pattern: some VMs, or all of a zone, reach no backend server, and the others take
their callers' requests besides their own. A zone's VMs first learn one by one that they
are cut off, so that a peer may refuse although nothing has been heard of it.

- Own zone first, as bytes between zones are paid for, but only while at least half of
  its VMs reach servers: each of them then gets the requests of one more VM at most.
- A peer that refuses reaches no server either. Its zone is then the last choice for a
  while, as a cut mostly affects several VMs of a zone.
- Nothing is forwarded before a peer has confirmed that it reaches servers, and none is
  while servers are lost for all: requests wait here instead of going to and fro.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from operator import attrgetter
from typing import NamedTuple

from godwitmast.types import PoolName

MAX_PEERS = 4
"""Peers that a request is offered to, one after the other."""

REFUSED_S = 1.0
"""How long a peer that refused, and the own zone after it, are not preferred; and the
pause after a request that no peer took."""

CONFIRMED_S = 2.0
"""How long a peer that reached servers, or served a request, is taken to do so."""

UNREACHABLE_S = 5.0
"""How long a peer that did not accept a connection, or broke it, is the last choice."""

STALE_S = 8.0
"""A peer whose row has not changed for this long has ended. Rows change every 2.5 s or
more often."""


class Peer(NamedTuple):
    """Another VM, and the pools of which it reaches no server, as far as is known."""

    name: str
    zone: str
    region: str
    address: str
    unreachable_pools: frozenset[str] = frozenset()
    row_version: int = 0


@dataclass(slots=True)
class PeerState:
    """A peer, since when its row has not changed, and what is known of it."""

    peer: Peer
    row_changed_at: float
    unreachable_until: float = 0.0
    refused_until: dict[PoolName, float] = field(default_factory=dict)
    confirmed_until: dict[PoolName, float] = field(default_factory=dict)

    def is_usable(self, pool: PoolName, now: float) -> bool:
        if pool in self.peer.unreachable_pools:
            return False
        refused = now < self.refused_until.get(pool, 0.0)
        return not refused and now < self.row_changed_at + STALE_S


class PeerChoice:
    """The VMs that may take this VM's requests."""

    def __init__(
        self, name: str, zone: str, region: str, rng: random.Random | None = None
    ) -> None:
        self.name = name
        self.zone = zone
        self.region = region
        self.random = rng or random.Random()
        self.states: dict[str, PeerState] = {}
        self.zone_refused_until: dict[PoolName, float] = {}
        self.paused_until: dict[PoolName, float] = {}

    def update(self, peers: Iterable[Peer], now: float) -> None:
        """Replace the peers; those of other regions, and this VM, are left out.

        A VM that was killed and started again has several rows for a while, of which
        the one that was written last tells what it reaches, and that it still runs.
        """
        previous = self.states
        self.states = {}
        latest = {
            peer.address: peer for peer in sorted(peers, key=attrgetter("row_version"))
        }
        for peer in latest.values():
            if peer.name == self.name or peer.region != self.region:
                continue
            state = previous.get(peer.address)
            if state is None:
                state = PeerState(peer, now)
            elif state.peer.row_version != peer.row_version:
                state.row_changed_at = now
            state.peer = peer
            self.states[peer.address] = state

    def is_paused(self, pool: PoolName, now: float) -> bool:
        return now < self.paused_until.get(pool, 0.0)

    def is_available(self, pool: PoolName, now: float) -> bool:
        """Return whether requests for a pool may be forwarded now."""
        return not self.is_paused(pool, now) and any(
            state.is_usable(pool, now) and now < state.confirmed_until.get(pool, 0.0)
            for state in self.states.values()
        )

    def record_confirmation(self, address: str, pool: PoolName, now: float) -> None:
        """Record that a peer reaches servers of a pool."""
        state = self.states.get(address)
        if state is not None:
            state.confirmed_until[pool] = now + CONFIRMED_S

    def usable(self, pool: PoolName, tried: set[str], now: float) -> list[Peer]:
        """Return the peers that may be chosen; unreachable ones if there are no
        others."""
        states = [
            state
            for address, state in self.states.items()
            if address not in tried and state.is_usable(pool, now)
        ]
        reachable = [state for state in states if now >= state.unreachable_until]
        return [state.peer for state in reachable or states]

    def choose(self, pool: PoolName, tried: set[str], now: float) -> Peer | None:
        """Return the peer for a request that was offered to `tried`, or None."""
        if len(tried) >= MAX_PEERS or self.is_paused(pool, now):
            return None
        usable = self.usable(pool, tried, now)
        own = [peer for peer in usable if peer.zone == self.zone]
        others = [peer for peer in usable if peer.zone != self.zone]
        if now < self.zone_refused_until.get(pool, 0.0):
            usable = others or own
        elif self.prefers_own_zone(pool, now):
            usable = own or others
        return self.random.choice(usable) if usable else None

    def prefers_own_zone(self, pool: PoolName, now: float) -> bool:
        """Return whether at least half of the zone's VMs reach servers."""
        states = [s for s in self.states.values() if s.peer.zone == self.zone]
        usable = sum(state.is_usable(pool, now) for state in states)
        return usable * 2 >= len(states) + 1

    def record_refusal(self, address: str, pool: PoolName, now: float) -> None:
        """Record that a peer did not take a request, as it reaches no server either."""
        state = self.states.get(address)
        if state is None:
            return
        state.refused_until[pool] = now + REFUSED_S
        state.confirmed_until.pop(pool, None)
        if state.peer.zone == self.zone:
            self.zone_refused_until[pool] = now + REFUSED_S

    def record_unreachable(self, address: str, now: float) -> None:
        """Record that a peer did not accept a connection, or broke it."""
        state = self.states.get(address)
        if state is not None:
            state.unreachable_until = now + UNREACHABLE_S
            state.confirmed_until.clear()

    def record_exhausted(self, pool: PoolName, now: float) -> None:
        """Record that no peer took a request for a pool."""
        self.paused_until[pool] = now + REFUSED_S
