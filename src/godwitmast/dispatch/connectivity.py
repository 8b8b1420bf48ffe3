"""Detection that this entry reaches no backend server of a pool.

Load pattern: a network partition between one VM and all backend servers, or those of
one pool, while callers, the platform and the other VMs still reach it. Connections are
reset, or hang, or open ones live on while new ones are refused. Server by server it
looks like the crash of each of them, and costs every request a time-out for each.

A failed connection, or silence of a pool's servers while requests wait for them, starts
a round of probes that only open a connection. Two servers come first, since one that
accepts ends the round; the others follow if both fail. Bytes on an open connection do
not count as an answer to a probe: new requests need new connections.

Whether the network is at fault or the servers are, cannot be told from here: other
entries can, and are asked before they get requests.
"""

import random
from collections.abc import Iterable, Mapping
from enum import Enum

from godwitmast.types import BackendId, PoolName

SILENCE_S = 0.5
"""Silence of all servers while a request waits for one, after which they are probed.
The first token of a long prompt may take longer, which costs a probe."""

LOST_ATTEMPT_S = 0.8
"""Silence of its server after which an attempt is given up, once none is reachable. On
open connections that live on, a prompt may take most of a second."""

FIRST_PROBES = 2
MAX_PROBES = 16
"""Probes in one round. In a large fleet so many random servers stand for all."""

QUIET_S = 0.5
"""Shortest time between two rounds."""


class ProbeOutcome(Enum):
    """Outcome of an attempt to open a connection."""

    CONNECTED = "connected"
    FAILED = "failed"
    INCONCLUSIVE = "inconclusive"
    """The server's address can't be read, so that nothing was tried."""


class Connectivity:
    """Whether the servers of one pool accept connections from this entry."""

    def __init__(self, seed: int | None = None) -> None:
        self.random = random.Random(seed)
        self.servers: list[BackendId] = []
        self.heard_at: dict[BackendId, float] = {}
        self.last_heard_at = 0.0
        self.is_suspected = False
        self.candidates: list[BackendId] = []
        self.in_flight: set[BackendId] = set()
        self.next_round_at = 0.0
        self.unreachable_since: float | None = None

    @property
    def is_unreachable(self) -> bool:
        """Return whether no server accepts connections from this entry."""
        return self.unreachable_since is not None

    def update_servers(self, backend_ids: Iterable[BackendId]) -> None:
        """Replace the servers that may be probed."""
        self.servers = sorted(backend_ids)
        self.heard_at = {
            name: at for name, at in self.heard_at.items() if name in set(self.servers)
        }

    def sample_servers(self) -> list[BackendId]:
        """Return random servers that may stand for all."""
        count = min(FIRST_PROBES, len(self.servers))
        return self.random.sample(self.servers, count)

    def record_heard(self, backend_id: BackendId, now: float) -> None:
        """Record that bytes of an answer arrived from a server."""
        self.heard_at[backend_id] = self.last_heard_at = now

    def record_failure(self) -> None:
        """Record a connection that was refused, timed out or broke."""
        self.is_suspected = True

    def is_silent(self, backend_id: BackendId, since: float, now: float) -> bool:
        """Return whether an attempt that got its last token at `since` is lost."""
        return now >= max(since, self.heard_at.get(backend_id, since)) + LOST_ATTEMPT_S

    def due_probes(
        self, oldest_attempt_at: float | None, now: float
    ) -> list[BackendId]:
        """Return the servers to probe now; `oldest_attempt_at` is None without any."""
        if oldest_attempt_at is not None:
            silent_since = max(self.last_heard_at, oldest_attempt_at)
            self.is_suspected |= now >= silent_since + SILENCE_S
        if not (self.is_suspected or self.is_unreachable):
            return []
        if self.in_flight or now < self.next_round_at or not self.servers:
            return []
        count = min(MAX_PROBES, len(self.servers))
        self.candidates = self.random.sample(self.servers, count)
        self.is_suspected = False
        return self.send_probes(FIRST_PROBES)

    def send_probes(self, count: int) -> list[BackendId]:
        sent, self.candidates = self.candidates[:count], self.candidates[count:]
        self.in_flight = set(sent)
        return sent

    def record_probe(
        self, backend_id: BackendId, outcome: ProbeOutcome, now: float
    ) -> list[BackendId]:
        """Record the outcome of a probe; return the servers to probe next."""
        if backend_id not in self.in_flight:
            return []
        self.in_flight.discard(backend_id)
        match outcome:
            case ProbeOutcome.CONNECTED:
                self.last_heard_at = now
                self.end_round(now)
                self.unreachable_since = None
            case ProbeOutcome.INCONCLUSIVE:
                self.end_round(now)
                self.is_suspected = True
            case ProbeOutcome.FAILED if not self.in_flight:
                return self.continue_round(now)
        return []

    def continue_round(self, now: float) -> list[BackendId]:
        """Probe the other servers, or conclude that none is reachable."""
        if self.is_unreachable:
            self.end_round(now)
        elif self.candidates:
            return self.send_probes(MAX_PROBES)
        else:
            self.unreachable_since = now
            self.end_round(now)
        return []

    def end_round(self, now: float) -> None:
        """End the round; probes that are still in flight no longer count."""
        self.in_flight = set()
        self.candidates = []
        self.next_round_at = now + QUIET_S


class ConnectivityTable:
    """The connectivity of this entry by pool."""

    def __init__(self) -> None:
        self.pools: dict[PoolName, Connectivity] = {}
        self.pools_of: dict[BackendId, list[PoolName]] = {}

    def update_servers(self, servers: Mapping[PoolName, Iterable[BackendId]]) -> None:
        """Replace the servers by pool; a pool without servers keeps its state."""
        self.pools_of = {}
        for pool in [*servers.keys(), *(self.pools.keys() - servers.keys())]:
            connectivity = self.pools.setdefault(pool, Connectivity())
            connectivity.update_servers(servers.get(pool, ()))
            for backend_id in connectivity.servers:
                self.pools_of.setdefault(backend_id, []).append(pool)

    def record_heard(self, backend_id: BackendId, now: float) -> None:
        """Record that bytes of an answer arrived from a server."""
        for pool in self.pools_of.get(backend_id, ()):
            self.pools[pool].record_heard(backend_id, now)

    def record_failure(self, backend_id: BackendId) -> None:
        """Record a connection that was refused, timed out or broke."""
        for pool in self.pools_of.get(backend_id, ()):
            self.pools[pool].record_failure()

    def is_unreachable(self, pool: PoolName) -> bool:
        """Return whether no server of the pool accepts connections from this entry."""
        return pool in self.pools and self.pools[pool].is_unreachable

    def is_undecided(self) -> bool:
        """Return whether broken connections may still turn out to be lost links."""
        return any(item.is_suspected or item.in_flight for item in self.pools.values())

    def unreachable_pools(self) -> list[PoolName]:
        return [pool for pool, item in self.pools.items() if item.is_unreachable]
