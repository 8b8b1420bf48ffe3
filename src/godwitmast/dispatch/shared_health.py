"""Ejects and readmits this VM's servers as `outliers` decides by all VMs' failures.

Load pattern: that of `outliers.sharing`. Where failures aren't shared, the table's own
rules in `health` decide, and outcomes are only counted.
"""

from collections.abc import Collection
from typing import NamedTuple

from godwitmast.config.document import Use
from godwitmast.dispatch.active_requests import ActiveRequest
from godwitmast.dispatch.backends import BackendState, BackendTable
from godwitmast.dispatch.health import Condition
from godwitmast.outliers.log import Failed, Start
from godwitmast.outliers.sharing import OutlierSharing
from godwitmast.types import BackendId, PoolName


class SharedNotice(NamedTuple):
    """A server that the failures of several VMs ejected, or a success readmitted."""

    server: Start
    is_out: bool
    vms_failing: int = 0
    vms: int = 0


MAX_NOTICES = 256
"""Notices that wait for the driver, which takes them with each tick."""


class SharedHealth:
    """The health of a table's servers by the failures of all VMs."""

    def __init__(self, table: BackendTable) -> None:
        self.table = table
        self.outliers = OutlierSharing()
        self.notices: list[SharedNotice] = []

    def set_use(self, use: Use) -> None:
        """Apply the configuration; where sharing ends, the table's own rules go on."""
        self.outliers.use = use
        if use == "off":
            self.outliers.out.clear()

    def is_used_for(self, pool: PoolName) -> bool:
        """Return whether the failures of a pool's servers are shared."""
        return self.outliers.is_used([pool])

    def record_stated_speed(self, backend_id: BackendId) -> None:
        """Record that a server stated how fast it is."""
        state = self.table.states.get(backend_id)
        if state is not None:
            self.outliers.record_stated_speed(state.spec.pools)

    # Outcomes

    def record_answer(self, active: ActiveRequest, now: float) -> None:
        """Record that a server began its answer to a request."""
        if active.backend_id in self.table.states:
            self.table.states[active.backend_id].health.record_answer()
        if self.outliers.use == "off":
            return
        server = self.start_of(active)
        if server is not None:
            pool = active.request.pool
            self.outliers.record_answer(server, pool, active.started_at, now)

    def record_success(
        self, active: ActiveRequest, latency_s: float | None, now: float
    ) -> None:
        """Record a complete answer.

        One that was running when its server began to fail doesn't readmit it.
        """
        assert active.backend_id is not None, "only running attempts complete"
        server = self.start_of(active)
        out = self.outliers.out.get(server) if server is not None else None
        if out is None or active.started_at > out.at:
            self.table.record_success(active.backend_id, latency_s, now)

    def record_error(self, active: ActiveRequest, now: float) -> None:
        """Record that a server failed to process a request that reached it."""
        assert active.backend_id is not None, "only running attempts fail"
        server = self.start_of(active)
        state = self.table.states.get(active.backend_id)
        if self.outliers.use == "off" or server is None or state is None:
            self.table.record_error(active.backend_id, now)
            return
        failed = self.failure_of(active, now)
        if not self.outliers.is_used(state.spec.pools):
            self.outliers.log.record_failure(server, failed, now)
            self.table.record_error(active.backend_id, now)
            return
        self.judge_error(state, server, failed, now)

    def record_malformed(self, active: ActiveRequest, now: float) -> None:
        """Record that what arrived was no answer to a request.

        Other VMs hear of it only once it speaks against the server.
        """
        assert active.backend_id is not None, "only running attempts fail"
        server = self.start_of(active)
        state = self.table.states.get(active.backend_id)
        if state is None or server is None:
            return
        speaks_against = state.health.record_malformed(
            active.started_at, active.first_token_at is not None
        )
        is_shared = self.outliers.is_used(state.spec.pools)
        if is_shared and state.health.is_in_rotation():
            speaks_against |= self.outliers.fails_elsewhere(server, now)
        if not speaks_against or self.table.is_last_in_rotation(state):
            return
        if self.outliers.use != "off":
            self.outliers.log.record_failure(server, self.failure_of(active, now), now)
        if not is_shared:
            self.table.eject(state, Condition.DOWN, now)
            return
        peers = self.peers_of(state)
        if server in self.outliers.out or self.may_be_out(state, server, peers, now):
            self.eject(state, server, now)

    def failure_of(self, active: ActiveRequest, now: float) -> Failed:
        """Return a failed attempt as the log of outcomes counts it."""
        waited_s = now - active.started_at
        return Failed(
            active.request.fingerprint,
            active.started_at,
            self.outliers.is_soon(active.request.pool, waited_s),
            active.failures > 0,
        )

    def judge_error(
        self, state: BackendState, server: Start, failed: Failed, now: float
    ) -> None:
        """Eject a server here after an error, or note that its probe failed."""
        out = self.outliers.out.get(server)
        if out is not None:
            self.outliers.log.record_failure(server, failed, now)
            if failed.started_at > out.at:
                self.eject(state, server, now)
            return
        if not state.health.is_in_rotation():
            self.outliers.log.record_failure(server, failed, now)
            self.table.record_error(state.backend_id, now)
            return
        is_third = state.health.record_error()
        peers = self.peers_of(state)
        should = self.outliers.should_eject_here(server, failed, is_third, peers, now)
        if should and self.may_be_out(state, server, peers, now):
            self.eject(state, server, now)

    def record_unreachable(self, active: ActiveRequest, now: float) -> None:
        """Record that a server refused a connection; as a probe that failed if it is
        out, as the table doesn't extend the ejection of a server that is being tried."""
        assert active.backend_id is not None, "only running attempts fail"
        self.table.record_unreachable(active.backend_id, now)
        server = self.start_of(active)
        state = self.table.states.get(active.backend_id)
        out = self.outliers.out.get(server) if server is not None else None
        if server is None or state is None or out is None:
            return
        if active.started_at > out.at and not state.health.is_in_rotation():
            self.eject(state, server, now)

    # Servers that are out

    def review(self, now: float) -> None:
        """Eject, readmit and open to probes what other VMs' outcomes say."""
        if not self.outliers.is_review_due(len(self.table.states), now):
            return
        for server in list(self.outliers.out):
            self.review_out(server, now)
        if not self.outliers.failing():
            return
        for state in list(self.table.states.values()):
            server = Start(state.backend_id, state.spec.incarnation)
            is_in = state.health.is_in_rotation() and not state.spec.closed
            if not is_in or not self.outliers.fails_on_several(server, now):
                continue
            peers = self.peers_of(state)
            found = self.outliers.is_used(state.spec.pools)
            found = found and self.outliers.should_eject_for_all(server, peers, now)
            if found and self.may_be_out(state, server, peers, now):
                self.eject(state, server, now)

    def review_out(self, server: Start, now: float) -> None:
        if server.backend_id in self.table.unlisted:
            # Its entry may return while it still fails.
            return
        state = self.table.states.get(server.backend_id)
        out = self.outliers.out[server]
        is_same = state is not None and state.spec.incarnation == server.incarnation
        if (
            state is None
            or not is_same
            or state.health.is_in_rotation()
            or state.health.ejected_until != out.until
        ):
            # It is back, gone, or was ejected since for a reason of this VM's own.
            del self.outliers.out[server]
            return
        probe_at = self.outliers.review_out(server, now)
        if probe_at is None:
            del self.outliers.out[server]
            self.table.readmit(state, now)
            self.notify(SharedNotice(server, False))
        elif self.outliers.is_used(state.spec.pools):
            out.until = state.health.ejected_until = probe_at
            self.table.refresh(state, now)

    def eject(self, state: BackendState, server: Start, now: float) -> None:
        """Eject a server, or extend its ejection after a failed probe."""
        is_new = server not in self.outliers.out
        probe_at = self.outliers.record_ejection(server, now)
        self.table.eject(state, Condition.DOWN, now)
        out = self.outliers.out[server]
        out.until = state.health.ejected_until = probe_at
        self.table.refresh(state, now)
        if is_new:
            known = self.outliers.view.outcomes_of(*server, now)
            counts = (known.vms_failing, known.vms) if known is not None else (0, 0)
            self.notify(SharedNotice(server, True, *counts))

    def may_be_out(
        self,
        state: BackendState,
        server: Start,
        peers: dict[PoolName, Collection[Start]],
        now: float,
    ) -> bool:
        """Return whether each pool of a server can do without it."""
        return all(
            self.outliers.may_be_out(
                server, servers, self.has_room_without(state, pool, now), now
            )
            for pool, servers in peers.items()
        )

    def has_room_without(self, state: BackendState, pool: PoolName, now: float) -> bool:
        """Return whether the rest of a pool has room for what a server does."""
        view = self.table.pools[pool]
        rest = [item for item in view.members() if item is not state]
        room = sum(max(1.0, item.limit.value) for item in rest)
        return view.expected_requests(rest, now) + state.load(now) < room

    def may_probe_with(self, active: ActiveRequest, now: float) -> bool:
        """Return whether a request may run again if a probed server fails it, or there
        is none such; where failures aren't shared, that isn't asked."""
        if not self.outliers.out:
            return True
        left = active.attempts_left
        return left is None or left > 1 or self.outliers.is_overdue(now)

    def start_of(self, active: ActiveRequest) -> Start | None:
        """Return the server on which a request runs, as it was when that began."""
        if active.backend_id is None:
            return None
        return Start(active.backend_id, active.started_at_incarnation)

    def peers_of(self, state: BackendState) -> dict[PoolName, Collection[Start]]:
        """Return the servers of each pool of a server."""
        return {
            PoolName(pool): [
                Start(item.backend_id, item.spec.incarnation)
                for item in self.table.pools[pool].members_by_id().values()
            ]
            for pool in state.spec.pools
            if pool in self.table.pools
        }

    def notify(self, notice: SharedNotice) -> None:
        self.notices = [*self.notices[-MAX_NOTICES:], notice]

    def pop_notices(self) -> list[SharedNotice]:
        """Return and clear the notices for the log."""
        popped, self.notices = self.notices, []
        return popped
