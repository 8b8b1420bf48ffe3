"""Decides by the failures of all VMs which servers are out, and who probes them.

Load pattern: an eighth of the engines answers 500 at once for 5 s while their health
check is good; 62 VMs each lose three requests there before they eject one, and again
whenever each probes it.

- A server is out on all VMs once several VMs in a row failed there, by `evidence`; an
  error of its own counts at once, before the others know of it.
- At most a third of a pool is out that way, and only while the rest has room.
- It is probed some time after the latest failure that any VM had. VMs take turns in the
  order of rendezvous hashing; one success readmits it on all.
- Where nothing is known of other VMs, three errors in a row eject, as without sharing.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from godwitmast.config.document import Use
from godwitmast.measurements.messages import FleetOutcomes, server_digest
from godwitmast.measurements.view import EmptyView, FleetView
from godwitmast.outliers.evidence import (
    MIN_VMS_FOR_ALL,
    TO_EJECT,
    TO_EJECT_SOON,
    Rates,
    most_out,
    pool_rates,
    weight_of,
)
from godwitmast.outliers.log import WINDOW_S, Failed, OutcomeLog, ServerLog, Start
from godwitmast.peers.rendezvous import weight
from godwitmast.types import PoolName

MAX_VIEW_AGE_S = 2.0
"""Older news of other VMs ejects nobody; VMs report every second at least."""

CONFIRM_S = 1.5
"""Failures are told at once, successes with the next regular report: until then only
errors that came far too soon count. A kind of which 14 % fail ejected two of 45 servers
on single VMs in 30 s without this wait."""

RATES_AGE_S = 0.25
REVIEW_S = 0.1
"""Time between reviews; reports of new failures arrive as often."""

REVIEW_S_PER_SERVER = 0.0003
"""With 850 servers a review takes over a millisecond, so that reviews are rarer."""

SOON_SHARE = 0.25
"""An error in less than this share of the time in which an answer usually begins comes
from a server that did no work."""

USUAL_WEIGHT = 0.05

FIRST_WAIT_S = 0.5
MAX_WAIT_S = 60.0
"""Time from a failure to the next probe; it doubles with each that fails."""

TURN_S = 0.25
"""Time after which one more VM may probe, as those before it may have no request that
may be repeated; the outcome of a probe is known to all VMs within it."""

REPEATABLE_S = 2.0
"""How long only a request that may be repeated probes, if there is one."""


@dataclass(slots=True)
class Out:
    """A server that is out because it fails, since `at`, with the latest failure known."""

    at: float
    failed_at: float
    wait_s: float = FIRST_WAIT_S
    until: float = 0.0
    """When this VM may probe it, as last set; a later ejection for another reason sets
    another time."""

    def record_failure(self, failed_at: float) -> bool:
        """Record a failure that may be new; return whether it was."""
        if failed_at <= self.failed_at + FIRST_WAIT_S / 2:
            return False
        self.failed_at = failed_at
        self.wait_s = min(MAX_WAIT_S, 2 * self.wait_s)
        return True


@dataclass
class OutlierSharing:
    """What one VM finds of failing servers, with what it knows of other VMs."""

    use: Use = "off"
    view: FleetView = field(default_factory=EmptyView)
    vm: int = 0
    """Hash of this VM's name."""
    members: Callable[[], Collection[int]] = tuple
    """Hashes of the names of all VMs; empty if they aren't known."""
    failing: Callable[[], Collection[int]] = tuple
    """Hashes of the servers on which requests of any VM failed lately."""
    log: OutcomeLog = field(default_factory=OutcomeLog)
    out: dict[Start, Out] = field(default_factory=dict)
    stated: set[PoolName] = field(default_factory=set)
    usual_s: dict[PoolName, float] = field(default_factory=dict)
    rates: dict[PoolName, tuple[float, Rates]] = field(default_factory=dict)
    turns: dict[Start, tuple[Collection[int], int]] = field(default_factory=dict)
    next_review_at: float = 0.0
    next_expiry_at: float = 0.0
    found: int = 0
    """Servers that were ejected by the failures of several VMs."""

    def record_stated_speed(self, pools: Iterable[str]) -> None:
        """Record that a server of these pools stated how fast it is."""
        self.stated.update(PoolName(pool) for pool in pools)

    def is_used(self, pools: Iterable[str]) -> bool:
        """Return whether failures on a server of these pools are shared: not while this
        VM knows of no other."""
        match self.use:
            case "on":
                return len(self.members()) > 1
            case "auto":
                is_stated = not self.stated.isdisjoint(pools)
                return is_stated and len(self.members()) > 1
        return False

    # Outcomes

    def record_answer(
        self, server: Start, pool: PoolName, started_at: float, now: float
    ) -> None:
        """Record that the answer to a request has begun."""
        usual_s = self.usual_s.get(pool, now - started_at)
        change_s = now - started_at - usual_s
        self.usual_s[pool] = usual_s + USUAL_WEIGHT * change_s
        self.log.record_success(server, started_at, now)

    def is_soon(self, pool: PoolName, waited_s: float) -> bool:
        """Return whether an error came far sooner than an answer usually begins."""
        return waited_s < SOON_SHARE * self.usual_s.get(pool, 0.0)

    def should_eject_here(
        self,
        server: Start,
        failed: Failed,
        is_third: bool,
        peers: dict[PoolName, Collection[Start]],
        now: float,
    ) -> bool:
        """Record a failure; return whether this VM is to send nothing there any more.

        `is_third` says that as many in a row failed as eject without sharing; `peers` are
        the servers of the pools of this one.
        """
        log = self.log.of(server)
        before = log.outcomes(now)
        is_counted = self.log.record_failure(server, failed, now)
        known = self.known(server, log, now)
        if known is None or known.vms < MIN_VMS_FOR_ALL:
            return is_third
        if not is_counted:
            return False
        # The others' failures may include one that this VM reported.
        others = max(0, known.vms_failing - (before.failed > 0))
        soon = min(others, known.vms_failing_soon) + failed.is_soon
        rates = self.rates_of(peers, now)
        if is_third and not others:
            # Errors of this VM that are long apart don't outweigh others' successes.
            own_soon = before.failed_soon + failed.is_soon
            return weight_of(before.failed + 1, own_soon, rates) >= TO_EJECT
        needed = TO_EJECT_SOON if failed.is_soon else TO_EJECT
        return others > 0 and weight_of(others + 1, soon, rates) >= needed

    def should_eject_for_all(
        self, server: Start, peers: dict[PoolName, Collection[Start]], now: float
    ) -> bool:
        """Return whether the failures of several VMs eject a server on each of them."""
        known = self.known(server, self.log.servers.get(server), now)
        if known is None or known.vms_failing < MIN_VMS_FOR_ALL:
            return False
        failing, soon = known.vms_failing, known.vms_failing_soon
        return weight_of(failing, soon, self.rates_of(peers, now)) >= TO_EJECT

    def fails_on_several(self, server: Start, now: float) -> bool:
        """Return whether several VMs saw a server fail, however likely that is."""
        if server_digest(*server) not in self.failing():
            return False
        known = self.view.outcomes_of(*server, now)
        return known is not None and known.vms_failing >= MIN_VMS_FOR_ALL

    def fails_elsewhere(self, server: Start, now: float) -> bool:
        """Return whether some VM saw a server fail, without a later success here."""
        known = self.known(server, self.log.servers.get(server), now)
        return known is not None and known.vms_failing > 0

    def known(
        self, server: Start, log: ServerLog | None, now: float
    ) -> FleetOutcomes | None:
        """Return what all VMs saw of a server, without failures before this VM's latest
        success."""
        known = self.view.outcomes_of(*server, now)
        if known is None or known.age_s > MAX_VIEW_AGE_S:
            return None
        is_old = known.outcomes.failure_age_s > WINDOW_S
        is_refuted = log is not None and log.success_at > now - known.outcomes.failing_s
        if is_old or (is_refuted and known.vms_failing):
            return known._replace(vms_failing=0, vms_failing_soon=0)
        if known.outcomes.failing_s < CONFIRM_S:
            return known._replace(vms_failing=known.vms_failing_soon)
        return known

    def rates_of(self, peers: dict[PoolName, Collection[Start]], now: float) -> Rates:
        """Return the highest rates of failures in the pools of a server."""
        found = [self.rates_in(pool, servers, now) for pool, servers in peers.items()]
        return Rates(
            max((rates.failed for rates in found), default=Rates().failed),
            max((rates.failed_soon for rates in found), default=Rates().failed_soon),
        )

    def rates_in(self, pool: PoolName, servers: Collection[Start], now: float) -> Rates:
        at, rates = self.rates.get(pool, (None, Rates()))
        if at is None or not at <= now < at + RATES_AGE_S:
            known = (self.view.outcomes_of(*server, now) for server in servers)
            rates = pool_rates([item for item in known if item is not None])
            self.rates[pool] = (now, rates)
        return rates

    # Servers that are out

    def may_be_out(
        self,
        server: Start,
        servers: Collection[Start],
        rest_has_room: bool,
        now: float,
    ) -> bool:
        """Return whether one more server of a pool may be out.

        The rest must have room for what it does; one that fails at once does nothing.
        """
        log = self.log.servers.get(server)
        known = self.view.outcomes_of(*server, now)
        soon = known is not None and known.vms_failing_soon > 0
        soon |= log is not None and log.failure is not None and log.failure.is_soon
        out = sum(item in self.out for item in servers)
        return (soon or rest_has_room) and out + 1 <= most_out(len(servers))

    def record_ejection(self, server: Start, now: float) -> float:
        """Record that a server is out; return when this VM may probe it."""
        found = self.out.get(server)
        if found is None:
            found = self.out[server] = Out(now, now)
        else:
            found.record_failure(now)
        return self.probe_at(server, found)

    def probe_at(self, server: Start, out: Out) -> float:
        """Return when this VM may probe a server, after the VMs before it."""
        return out.failed_at + out.wait_s + self.turn(server) * TURN_S

    def is_overdue(self, now: float) -> bool:
        """Return whether a server waits for a request that may be repeated for long."""
        return any(
            now > self.probe_at(server, out) + REPEATABLE_S
            for server, out in self.out.items()
        )

    def turn(self, server: Start) -> int:
        """Return how many VMs come before this one for a server."""
        members = self.members()
        known = self.turns.get(server)
        if known is None or known[0] is not members:
            scope = str(server_digest(*server))
            own = weight(scope, str(self.vm))
            turn = sum(weight(scope, str(vm)) > own for vm in members)
            known = self.turns[server] = (members, turn)
        return known[1]

    def review_out(self, server: Start, now: float) -> float | None:
        """Return when this VM may probe a server that is out, None if it is to be
        readmitted: a request that started since succeeded on some VM."""
        out = self.out[server]
        log = self.log.servers.get(server)
        if log is not None and log.success_at > out.at and not log.is_failing:
            return None
        known = self.view.outcomes_of(*server, now)
        if known is not None:
            success_at = now - known.outcomes.success_age_s
            failure_at = now - known.outcomes.failure_age_s
            if success_at > out.at and success_at > failure_at:
                return None
            out.record_failure(failure_at)
        return self.probe_at(server, out)

    def is_review_due(self, servers: int, now: float) -> bool:
        """Return whether the servers are to be reviewed; schedule the next review."""
        if self.use == "off" or now < self.next_review_at:
            return False
        self.next_review_at = now + max(REVIEW_S, servers * REVIEW_S_PER_SERVER)
        if now >= self.next_expiry_at:
            self.next_expiry_at = now + WINDOW_S
            self.log.reports(now)
            self.turns = {k: v for k, v in self.turns.items() if k in self.out}
        return True
