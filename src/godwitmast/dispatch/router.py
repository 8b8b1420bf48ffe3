"""The router: admission and dispatch combined, driven by events and by the time `now`.

The entry and the scenario player drive the same class. Every method that handles an
event returns the resulting actions; the caller carries them out in order.
"""

import math
import random
from collections import deque
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import replace

from godwitmast.admission.controller import Admission
from godwitmast.admission.grace import is_too_late
from godwitmast.admission.returns import MAX_RETRY_AFTER_S
from godwitmast.config.document import Document
from godwitmast.dispatch.active_requests import ActiveRequest, ActiveRequests
from godwitmast.dispatch.backends import BackendTable
from godwitmast.dispatch.evictions import RemovalNotice
from godwitmast.dispatch.messages import (
    UNKNOWN_VERSION,
    Action,
    BackendSpec,
    Cancel,
    CancelReason,
    DecisionFailure,
    FailureKind,
    LoadReport,
    NotRun,
    PoisonUpdate,
    RefusalCode,
    Refuse,
    Release,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.part_crashes import (
    SURVIVAL_S,
    PartGroup,
    PartGuard,
    is_part_update,
    shared_ids,
)
from godwitmast.dispatch.poison import (
    CRASH_DEDUP_S,
    CrashRecord,
    InFlight,
    PoisonGuard,
)
from godwitmast.dispatch.retries import RetryBudgets, RetryQueue, backoff_s
from godwitmast.dispatch.router_count import RouterCount
from godwitmast.dispatch.shared_health import SharedHealth
from godwitmast.dispatch.timeouts import CheckQueue, hang_deadline, silence_limit_s
from godwitmast.dispatch.warmup import WarmupLimit
from godwitmast.room.control import RoomControl
from godwitmast.types import AttemptId, BackendId, PoolName, RequestId, ZoneName

MAX_FAILURES = 3
"""A request that failed on this many servers is more likely the cause than the
servers."""

MAX_UNSENT_FAILURES = 6
"""Failures in which no server ran anything: each ejected a server."""

RETRY_AFTER_S = 1.0

SUSPECT_RETRY_S = 0.1
"""How often a suspect looks for a server without another suspect."""

CRASH_CONFIRM_S = 0.1
"""A crash breaks all connections of its server within milliseconds. A request that is
still served there after this time was not part of it."""

UNREACHABLE_RETRY_S = (0.1, 0.2)
"""Random wait of a request while no server of its pool can be reached from here."""

UNREACHABLE_HOLD_S = 1.5
"""How long after its arrival a request is held then. Other entries are found within a
second, if any reaches servers; else its caller is told soon."""

LINK_LOSS_S = 2.0
"""How long broken connections may precede the finding that no server can be reached."""

SERVERS_LOST_S = 2.5
"""How long no server can be reached until the servers are taken to have crashed, if no
other entry can be asked whether it reaches one. No server restarts that soon."""

STOPPING_RETRY_S = 0.05
"""Retry-After of a VM that stops: other VMs serve the caller at once."""

EXPIRE_EVERY_S = 1.0

MAX_FAILURE_NOTICES = 100
"""Exceptions that are kept if nobody logs them."""

DEFAULT_CHECK_S = 1.0
"""Interval between checks of an attempt while nothing has been measured in its pool."""

LATE_FIRST_TOKEN_SHARE = 0.3
"""A server that takes longer than this share of the first-token target has more
requests than it runs within its targets: the rest of the target is for waiting in our
queue."""


class Router:
    """The routing policy of the product."""

    def __init__(
        self,
        document: Document,
        zone: ZoneName,
        seed: int = 0,
        budgets: RetryBudgets | None = None,
        router_count: RouterCount | None = None,
        announces_suspects: bool = True,
    ) -> None:
        self.document = document
        self.backends = BackendTable(zone, seed, router_count)
        self.room = RoomControl(document, self.server_slots, self.count_routers, seed)
        self.admission = Admission(document, seed, room=self.room)
        self.backends.warmup_limits = warmup_limits(document)
        self.backends.speeds.update_config(document)
        self.shared_health = SharedHealth(self.backends)
        self.shared_health.set_use(document.fleet.outlier_sharing)
        self.active_requests = ActiveRequests()
        self.guard = PoisonGuard(announces_suspects)
        self.part_guard = PartGuard()
        self.budgets = budgets or RetryBudgets()
        self.retries = RetryQueue()
        self.check_queue = CheckQueue()
        self.random = random.Random(seed)
        self.removal_notices: dict[BackendId, RemovalNotice] = {}
        self.crashes: dict[BackendId, CrashRecord] = {}
        self.unreachable_since: dict[PoolName, float] = {}
        self.unexplained_crashes: dict[PoolName, list[CrashRecord]] = {}
        self.released: set[RequestId] = set()
        self.unconfirmed_crashes: deque[tuple[BackendId, float]] = deque()
        self.overcommitted: dict[BackendId, ActiveRequest] = {}
        self.next_expiry_at = 0.0
        self.ends_at = math.inf
        """When open requests end, as this VM stops."""
        self.failures: deque[DecisionFailure] = deque(maxlen=MAX_FAILURE_NOTICES)
        """Exceptions that the caller logs."""

    def update_config(self, document: Document, now: float) -> list[Action]:
        """Apply a configuration: classes, teams, pools."""
        self.document = document
        self.admission.update_config(document)
        self.backends.warmup_limits = warmup_limits(document)
        self.backends.speeds.update_config(document)
        self.shared_health.set_use(document.fleet.outlier_sharing)
        return self.start_waiting(now)

    def update_backends(self, backends: list[BackendSpec], now: float) -> list[Action]:
        """Apply the list of servers; leaving ones get no new requests."""
        self.backends.update(backends, now)
        self.room.keep_reports(self.backends.states)
        previous = self.removal_notices
        self.removal_notices = {
            spec.backend_id: previous.get(
                spec.backend_id, RemovalNotice(spec.backend_id, now, spec.removal_at)
            )
            for spec in backends
            if spec.leaving and spec.removal_at is not None
        }
        return self.start_waiting(now)

    def submit(self, request: RequestSpec, now: float) -> list[Action]:
        """Admit the request, or refuse it."""
        left_s = self.quarantine_left_s(request, now)
        if left_s is not None:
            return [refuse(request, RefusalCode.QUARANTINED, left_s)]
        if not self.may_be_served(request.pool, now):
            return [refuse(request, RefusalCode.NO_BACKEND, RETRY_AFTER_S)]
        if self.is_hopeless(request, now):
            after_s = self.retry_after_s(request, now)
            return [refuse(request, RefusalCode.SHED, after_s)]
        request_class = self.document.classes.get(request.class_name)
        if request_class is None:
            # A version removed it since the request was read.
            return [refuse(request, RefusalCode.NO_BACKEND, RETRY_AFTER_S)]
        active = ActiveRequest(request, request_class, version=request.version)
        if not self.has_server_of_version(active):
            return [refuse(request, RefusalCode.NO_BACKEND, RETRY_AFTER_S)]
        self.active_requests.add(active)
        placement = self.backends.placement_of(request)
        if placement is not None:
            placement.record_arrival(
                request.prompt, now, active.request_class.between_tokens_s
            )
        refusals = self.end_refused(self.admission.offer(request, now), now)
        return [*refusals, *self.start_waiting(now)]

    def may_be_served(self, pool: PoolName, now: float) -> bool:
        """Return whether a pool has servers, or may have some again soon."""
        return self.backends.serves(pool) or self.backends.was_served_lately(pool, now)

    def server_slots(self, pool: PoolName) -> list[tuple[BackendId, float]]:
        """Return the servers of a pool in rotation, with their slots."""
        view = self.backends.pools.get(pool)
        states = view.members() if view is not None else []
        return [(state.backend_id, state.limit.value) for state in states]

    def count_routers(self) -> int:
        return self.backends.router_count.routers

    def record_room(
        self, backend_id: BackendId, report: LoadReport, now: float
    ) -> None:
        """Record what a listed server states of its slots."""
        state = self.backends.states.get(backend_id)
        if state is not None and self.room.collects:
            pools, slots = state.spec.pools, state.limit.value
            self.room.record_load(backend_id, pools, slots, report, now)

    def quarantine_left_s(self, request: RequestSpec, now: float) -> float | None:
        """Return for how long a request is refused as it crashes servers, or None."""
        left_s = self.guard.quarantine_left_s(request.fingerprint, now)
        if left_s is not None:
            return left_s
        return self.part_guard.quarantine_left_s(request.pool, request.parts, now)

    def record_tokens(
        self, request_id: RequestId, attempt_id: AttemptId, count: int, now: float
    ) -> list[Action]:
        """Record tokens that were passed on to the caller."""
        active = self.active_requests.find_attempt(request_id, attempt_id)
        if active is None or active.backend_id is None:
            return []
        active.tokens += count
        self.bind_to_version(active)
        may_move = active.may_move and self.has_server_of_version(active)
        self.admission.record_tokens(active.request, count, now, may_move)
        if not active.request.streams:
            return []
        slow = self.record_latency(active, count, now)
        self.record_survival(active, now)
        active.last_token_at = now
        ran_s = now - active.started_at
        freed = self.guard.record_progress(active.request.fingerprint, ran_s, now)
        actions = (
            self.move_streams_off(active.backend_id, CancelReason.SLOW, now)
            if slow
            else []
        )
        return [*actions, *self.start_waiting(now)] if slow or freed else []

    def bind_to_version(self, active: ActiveRequest) -> None:
        """Bind a stream that has begun to the software version of its server.

        A server that started again since the request was sent there may have begun it
        before or after that.
        """
        if active.version is not None or not active.request.resumable:
            return
        assert active.backend_id is not None
        state = self.backends.states.get(active.backend_id)
        is_same = state is not None and (
            state.spec.incarnation == active.started_at_incarnation
        )
        active.version = state.spec.version if state and is_same else UNKNOWN_VERSION

    def set_version(self, request_id: RequestId, version: str) -> None:
        """Bind a stream to the version of a server that began it under another entry."""
        active = self.active_requests.get(request_id)
        if active is not None and active.version is None:
            active.version = version

    def version_of_stream(self, request_id: RequestId) -> str | None:
        """Return the version to which a request is bound, if its stream has begun."""
        active = self.active_requests.get(request_id)
        return active.version if active is not None else None

    def has_server_of_version(self, active: ActiveRequest) -> bool:
        """Return whether a request may wait for a server: not if all that are listed are
        of other versions."""
        pool = active.request.pool
        if not self.backends.of_other_versions(pool, active.version):
            return True
        assert active.version is not None, "only bound streams exclude servers"
        return bool(self.backends.of_version(pool, active.version))

    def may_go_on_elsewhere(self, active: ActiveRequest) -> bool:
        """Return whether a stream may be moved off its server: only where versions differ
        it may be bound to the present one."""
        pool = active.request.pool
        if not self.backends.of_other_versions(pool, active.version):
            return True
        assert active.version is not None, "only bound streams exclude servers"
        servers = self.backends.of_version(pool, active.version)
        return len(servers) > (active.backend_id in servers)

    def record_latency(self, active: ActiveRequest, count: int, now: float) -> bool:
        """Record the timing of a stream's tokens; return whether its server is a
        straggler."""
        assert active.backend_id is not None
        pool = active.request.pool
        if active.first_token_at is not None:
            gap_s = now - active.last_token_at
            return self.backends.record_gap(active.backend_id, pool, gap_s, count, now)
        active.first_token_at = now
        self.shared_health.record_answer(active, now)
        self.record_prefill(active, active.backend_id)
        waited_s = now - active.started_at
        target_s = active.request_class.first_token_s
        late = target_s is not None and waited_s > target_s * LATE_FIRST_TOKEN_SHARE
        self.backends.record_first_token(
            active.backend_id, active.request, waited_s, late, now
        )
        return False

    def record_survival(self, active: ActiveRequest, now: float) -> None:
        """Record once that an attempt has been writing for a while."""
        if active.has_survived or active.first_token_at is None:
            return
        if now >= active.first_token_at + SURVIVAL_S:
            active.has_survived = True
            request = active.request
            self.part_guard.record_survival(request.pool, request.parts, now)

    def record_completion(
        self, request_id: RequestId, attempt_id: AttemptId, now: float
    ) -> list[Action]:
        """Record that an attempt delivered its whole answer."""
        active = self.active_requests.find_attempt(request_id, attempt_id)
        if active is None or active.backend_id is None:
            return []
        latency_s = None
        if active.request.pool in self.document.services:
            latency_s = now - active.started_at
        if active.first_token_at is None:
            self.shared_health.record_answer(active, now)
        self.shared_health.record_success(active, latency_s, now)
        self.budgets.for_pool(active.request.pool).record_success()
        self.guard.record_completion(active.request.fingerprint, now)
        self.part_guard.record_survival(active.request.pool, active.request.parts, now)
        self.end_attempt(active, now)
        self.end_request(active, now, whole=True)
        return self.start_waiting(now)

    def record_error_answer(
        self, request_id: RequestId, attempt_id: AttemptId, now: float
    ) -> list[Action]:
        """Record that a server's own error was passed on, as its request may not run
        again.

        Taken for an answer like others, it made a server that fails at once the one
        with the least load. Where failures aren't shared it still is.
        """
        active = self.active_requests.find_attempt(request_id, attempt_id)
        if active is None or active.backend_id is None:
            return []
        if not self.shared_health.is_used_for(active.request.pool):
            return self.record_completion(request_id, attempt_id, now)
        self.shared_health.record_error(active, now)
        self.guard.record_completion(active.request.fingerprint, now)
        self.end_attempt(active, now)
        self.end_request(active, now, whole=True)
        return self.start_waiting(now)

    def record_failure(
        self,
        request_id: RequestId,
        attempt_id: AttemptId,
        kind: FailureKind,
        now: float,
    ) -> list[Action]:
        """Retry a failed attempt elsewhere if that is safe, or refuse its request."""
        active = self.active_requests.find_attempt(request_id, attempt_id)
        if active is None or active.backend_id is None:
            return []
        actions = self.record_server_failure(active, active.backend_id, kind, now)
        if active.attempt_id is not None:
            active.avoid.add(active.backend_id)
            if kind in (FailureKind.CONNECT, FailureKind.REFUSED):
                active.unsent_failures += 1
                active.run_count -= 1
            else:
                active.failures += 1
                active.may_have_run = True
            self.end_attempt(active, now)
            actions += self.retry_or_refuse(active, kind, now)
        return [*actions, *self.start_waiting(now)]

    def record_server_failure(
        self,
        active: ActiveRequest,
        backend_id: BackendId,
        kind: FailureKind,
        now: float,
    ) -> list[Action]:
        """Record a failure for the server on which it happened."""
        match kind:
            case FailureKind.CONNECT:
                self.shared_health.record_unreachable(active, now)
            case FailureKind.REFUSED:
                self.backends.record_refusal(backend_id, now)
            case FailureKind.ERROR:
                self.shared_health.record_error(active, now)
            case FailureKind.MALFORMED:
                self.shared_health.record_malformed(active, now)
            case FailureKind.TIMEOUT:
                if self.backends.record_timeout(backend_id, now):
                    return self.move_streams_off(
                        backend_id, CancelReason.SLOW, now, active
                    )
            case FailureKind.CUT:
                return self.record_crash(active, backend_id, now)
        return []

    def record_crash(
        self, active: ActiveRequest, backend_id: BackendId, now: float
    ) -> list[Action]:
        """Treat a broken connection as the crash of its server.

        Each request on the server reports its own broken connection. The first one
        makes all of them suspects; the others belong to the same crash. The end of a
        server that was leaving is no crash, and hundreds may end at the same time.
        """
        self.backends.record_connection_failure(backend_id, now)
        last = self.crashes.get(backend_id)
        leaving = self.backends.is_leaving(backend_id)
        if leaving or (last is not None and is_same_crash(last, active, now)):
            return []
        on_server = self.active_requests.on_server(backend_id)
        in_flight = [
            InFlight(other.request.fingerprint, now - other.started_at)
            for other in on_server
        ]
        names = frozenset(item.fingerprint for item in in_flight if item.fingerprint)
        prompts = tuple(
            shared_ids(other.request.parts)
            for other in on_server
            if not other.has_survived
        )
        crash = CrashRecord(now, backend_id, names, prompts)
        self.crashes[backend_id] = crash
        pool = active.request.pool
        if pool in self.unreachable_since:
            self.unexplained_crashes.setdefault(pool, []).append(crash)
            return []
        self.unconfirmed_crashes.append((backend_id, now))
        self.part_guard.record_crash(pool, backend_id, prompts, now)
        quarantined = self.guard.record_crash(backend_id, in_flight, now)
        return self.refuse_quarantined(quarantined, now)

    def confirm_crashes(self, now: float) -> None:
        """Withdraw the suspicion of requests that outlived the crash of their server.

        A server that cuts single answers crashes none of the others that it serves.
        """
        while self.unconfirmed_crashes:
            backend_id, at = self.unconfirmed_crashes[0]
            if at > now - CRASH_CONFIRM_S:
                return
            self.unconfirmed_crashes.popleft()
            for active in self.active_requests.on_server(backend_id):
                if active.started_at <= at:
                    fingerprint = active.request.fingerprint
                    self.guard.drop_crash(fingerprint, backend_id, at)
                    self.part_guard.withdraw_crash(backend_id, at)

    def refuse_quarantined(
        self, fingerprints: Iterable[str], now: float
    ) -> list[Action]:
        """Refuse admitted requests whose fingerprints are quarantined."""
        wanted = set(fingerprints)
        if not wanted:
            return []
        actions: list[Action] = []
        # A scan of all requests, at most once in a quarantine's duration.
        for active in list(self.active_requests.by_id.values()):
            if active.request.fingerprint in wanted:
                left_s = self.guard.quarantine_left_s(active.request.fingerprint, now)
                actions += self.end_with_refusal(
                    active, RefusalCode.QUARANTINED, left_s, now
                )
        return actions

    def refuse_parts(self, groups: Collection[PartGroup], now: float) -> list[Action]:
        """Refuse admitted requests whose prompts have a quarantined group of parts."""
        if not groups:
            return []
        actions: list[Action] = []
        for active in list(self.active_requests.by_id.values()):
            request = active.request
            left_s = self.part_guard.quarantine_left_s(request.pool, request.parts, now)
            if left_s is not None and not active.has_survived:
                actions += self.end_with_refusal(
                    active, RefusalCode.QUARANTINED, left_s, now
                )
        return actions

    def end_with_refusal(
        self,
        active: ActiveRequest,
        code: RefusalCode,
        retry_after_s: float | None,
        now: float,
        reason: CancelReason = CancelReason.QUARANTINED,
    ) -> list[Action]:
        """End a request with a refusal, whether it waits or runs."""
        actions: list[Action] = []
        if active.attempt_id is not None:
            actions.append(Cancel(active.request.request_id, active.attempt_id, reason))
            active.may_have_run = True
            self.end_attempt(active, now)
        else:
            self.remove_from_queues(active)
        self.end_request(active, now)
        actions.append(refuse(active.request, code, retry_after_s, active.may_have_run))
        return actions

    def retry_or_refuse(
        self, active: ActiveRequest, kind: FailureKind, now: float
    ) -> list[Action]:
        """Schedule the next attempt of a failed request, or refuse the request.

        After a refused connection the retry spends nothing from the budget and starts
        almost at once: nothing was sent, and that server is out of rotation by now.
        When such retries spent from it, a partitioned zone or an outdated list of
        servers emptied the budget within a second, and every further such request was
        refused.
        """
        is_unsafe = active.may_have_run and not active.request.idempotent
        too_many = (
            active.failures >= MAX_FAILURES
            or active.unsent_failures >= MAX_UNSENT_FAILURES
        )
        arrived = kind is not FailureKind.CONNECT
        if not arrived and not is_unsafe and self.may_hold(active, now):
            # Another entry may take it at any moment, or the links be back.
            self.delay(active, now + self.random.uniform(*UNREACHABLE_RETRY_S))
            return []
        is_hopeless = self.is_hopeless(active.request, now)
        is_hopeless |= not self.has_server_of_version(active)
        is_exhausted = too_many or is_hopeless or not active.may_run_again
        if is_unsafe or is_exhausted or (arrived and not self.spend_retry(active)):
            self.end_request(active, now)
            code = RefusalCode.BACKEND_FAILED
            after_s = None if is_unsafe else self.retry_after_s(active.request, now)
            return [refuse(active.request, code, after_s, active.may_have_run)]
        is_suspect = self.guard.is_suspect(active.request.fingerprint)
        tries = active.failures + active.unsent_failures if arrived else 1
        wait_s = backoff_s(tries, is_suspect, self.random)
        self.delay(active, now + wait_s)
        return []

    def may_hold(self, active: ActiveRequest, now: float) -> bool:
        """Return whether a request may wait although no server can be reached."""
        is_unreachable = active.request.pool in self.unreachable_since
        return is_unreachable and now < active.request.arrived + UNREACHABLE_HOLD_S

    def spend_retry(self, active: ActiveRequest) -> bool:
        """Spend a retry from the pool's budget; return whether one was available."""
        return self.budgets.for_pool(active.request.pool).try_spend()

    def delay(self, active: ActiveRequest, until: float) -> None:
        """Keep a request that does not run out of the queue until a time."""
        self.admission.mark_awaiting_retry(active.request)
        self.retries.add(active.request.request_id, until)

    def move_streams_off(
        self,
        backend_id: BackendId,
        reason: CancelReason,
        now: float,
        except_for: ActiveRequest | None = None,
    ) -> list[Action]:
        """Move requests that may be moved off a server that was just found slow."""
        actions: list[Action] = []
        for active in self.active_requests.on_server(backend_id):
            if (
                active is except_for
                or not active.may_move
                or not active.request.resumable
                or not self.may_go_on_elsewhere(active)
            ):
                continue
            if not self.spend_retry(active):
                break
            actions.append(self.move_attempt(active, reason, now))
        return actions

    def move_attempt(
        self, active: ActiveRequest, reason: CancelReason, now: float
    ) -> Cancel:
        """Cancel an attempt, and queue its request again to continue elsewhere."""
        assert active.attempt_id is not None and active.backend_id is not None
        cancel = Cancel(active.request.request_id, active.attempt_id, reason)
        active.avoid.add(active.backend_id)
        active.may_have_run = True
        self.end_attempt(active, now)
        self.admission.requeue(active.request, now)
        return cancel

    def release_requests(
        self,
        pool: PoolName,
        is_silent: Callable[[BackendId, float], bool],
        now: float,
    ) -> list[Action]:
        """Release what another entry can serve, while this one reaches no server.

        `is_silent` tells whether a server has sent nothing for long, since a time at
        least; attempts on other servers continue, as on open connections that live on.
        """
        actions: list[Action] = []
        for active in list(self.active_requests.by_id.values()):
            request = active.request
            if request.pool != pool or not request.may_forward:
                continue
            if request.request_id in self.released or not self.may_run_elsewhere(
                active
            ):
                continue
            if active.backend_id is None:
                self.remove_from_queues(active)
            elif is_silent(active.backend_id, active.last_token_at):
                if not self.spend_retry(active):
                    continue
                actions.append(self.cancel_unreachable(active, now))
            else:
                continue
            self.released.add(request.request_id)
            actions.append(Release(request.request_id, active.attempts_left))
        return actions

    def cancel_unreachable(self, active: ActiveRequest, now: float) -> Cancel:
        """Cancel an attempt on a server that cannot be reached."""
        assert active.attempt_id is not None, "only running attempts are cancelled"
        request_id, attempt_id = active.request.request_id, active.attempt_id
        active.may_have_run = True
        self.end_attempt(active, now)
        self.admission.mark_awaiting_retry(active.request)
        return Cancel(request_id, attempt_id, CancelReason.UNREACHABLE)

    def take_back(self, request_id: RequestId, now: float) -> list[Action]:
        """Queue a released request again that no other entry took."""
        active = self.active_requests.get(request_id)
        if active is None or request_id not in self.released:
            return []
        self.released.discard(request_id)
        self.admission.requeue(active.request, now)
        return self.start_waiting(now)

    def may_run_elsewhere(self, active: ActiveRequest) -> bool:
        """Return whether the request may be sent again, if it was sent at all."""
        if active.attempt_id is not None:
            return active.may_move
        is_unsafe = active.may_have_run and not active.request.idempotent
        return active.may_run_again and not is_unsafe

    def record_unreachable_pool(self, pool: PoolName, now: float) -> None:
        """Withdraw the crashes of a pool of which no server can be reached any more.

        Either this entry lost its links, or all servers crashed: other entries tell.
        """
        self.unreachable_since[pool] = now
        view = self.backends.pools.get(pool)
        members = view.members_by_id() if view is not None else {}
        recent = [
            crash
            for backend_id, crash in self.crashes.items()
            if backend_id in members and crash.at >= now - LINK_LOSS_S
        ]
        for crash in recent:
            self.guard.withdraw_crash(crash.backend_id, crash.at)
            self.part_guard.withdraw_crash(crash.backend_id, crash.at)
        self.unexplained_crashes[pool] = recent

    def record_lost_links(self, pool: PoolName) -> None:
        """Record that another entry reaches servers of a pool: they did not crash."""
        self.unexplained_crashes.pop(pool, None)

    def record_reachable_pool(self, pool: PoolName, now: float) -> None:
        """Return servers to rotation that only this entry could not reach."""
        self.unreachable_since.pop(pool, None)
        self.unexplained_crashes.pop(pool, None)
        self.backends.readmit_unreachable(pool, now)

    def record_lost_servers(self, pool: PoolName, now: float) -> list[Action]:
        """Count the crashes of a pool of which other entries reach no server either."""
        crashes = self.unexplained_crashes.get(pool)
        if not crashes:
            return []
        for crash in crashes:
            self.part_guard.record_crash(
                pool, crash.backend_id, crash.prompts, crash.at
            )
        quarantined = self.guard.record_lost_servers(crashes, now)
        crashes.clear()
        return self.refuse_quarantined(quarantined, now)

    def count_unexplained_crashes(self, now: float) -> list[Action]:
        """Count the crashes of pools of which nobody could be asked for long."""
        actions: list[Action] = []
        for pool, since in self.unreachable_since.items():
            if now >= since + SERVERS_LOST_S:
                actions += self.record_lost_servers(pool, now)
        return actions

    def cancel_request(
        self, request_id: RequestId, reason: CancelReason, now: float
    ) -> list[Action]:
        """End a request whose caller disconnected or whose key was withdrawn."""
        active = self.active_requests.get(request_id)
        if active is None:
            return []
        actions: list[Action] = []
        if active.attempt_id is None:
            self.remove_from_queues(active)
        else:
            actions.append(Cancel(request_id, active.attempt_id, reason))
            self.end_attempt(active, now)
        self.end_request(active, now)
        return [*actions, *self.start_waiting(now)]

    def remove_from_queues(self, active: ActiveRequest) -> None:
        """Remove a request from the queue in which it waits."""
        request_id = active.request.request_id
        if request_id in self.released:
            self.released.discard(request_id)
        elif request_id in self.retries.pending:
            self.retries.discard(request_id)
        else:
            self.admission.remove(active.request)

    def record_load(
        self, backend_id: BackendId, report: LoadReport, now: float
    ) -> list[Action]:
        """Apply a server's load report, whatever its source."""
        self.backends.record_load(backend_id, report, now)
        if report.percent is not None:
            self.shared_health.record_stated_speed(backend_id)
        self.record_room(backend_id, report, now)
        return self.start_waiting(now)

    def record_rate_limit(
        self, backend_id: BackendId, per_s: float | None, sent_at: float, now: float
    ) -> list[Action]:
        """Record the rate that an answer states for all routers together, or none."""
        if not self.backends.record_rate_limit(backend_id, per_s, sent_at, now):
            return []
        return self.start_waiting(now)

    def record_rejection_limit(
        self, backend_id: BackendId, per_s: float | None, sent_at: float, now: float
    ) -> list[Action]:
        """Record the rejections a second that a server says it bears, or no limit."""
        if not self.backends.record_rejection_limit(backend_id, per_s, sent_at, now):
            return []
        return self.start_waiting(now)

    def record_rest(
        self, backend_id: BackendId, rest_s: float | None, sent_at: float, now: float
    ) -> list[Action]:
        """Record the rest that a server's answer asks for, or that it asks for none."""
        if not self.backends.record_rest(backend_id, rest_s, sent_at, now):
            return []
        actions: list[Action] = []
        for active in list(self.active_requests.by_id.values()):
            waits = active.backend_id is None
            if waits and self.is_hopeless(active.request, now):
                after_s = self.retry_after_s(active.request, now)
                actions += self.end_with_refusal(active, RefusalCode.SHED, after_s, now)
        return [*actions, *self.start_waiting(now)]

    def is_hopeless(self, request: RequestSpec, now: float) -> bool:
        """Return whether all servers rest until after the request's deadline."""
        if request.deadline is None:
            return False
        left_s = self.backends.rest_left_s(request.pool, now)
        return left_s > 0 and now + left_s >= request.deadline

    def retry_after_s(self, request: RequestSpec, now: float) -> float:
        """Return when a refused request may come back: once a server has rested."""
        left_s = self.backends.rest_left_s(request.pool, now)
        return min(max(RETRY_AFTER_S, left_s), MAX_RETRY_AFTER_S)

    def pop_failures(self) -> list[DecisionFailure]:
        """Return and clear the exceptions that are to be logged."""
        failures = list(self.failures)
        self.failures.clear()
        return failures

    def pop_poison_updates(self) -> list[PoisonUpdate]:
        """Return and clear the updates on suspects that other entries are to be sent at
        once."""
        return [*self.guard.pop_updates(), *self.part_guard.pop_updates()]

    @property
    def has_poison_updates(self) -> bool:
        return bool(self.guard.updates or self.part_guard.updates)

    def refresh_poison_update(
        self, update: PoisonUpdate, now: float
    ) -> PoisonUpdate | None:
        """Return an update that is sent only now, or None if it was withdrawn since."""
        if is_part_update(update):
            return self.part_guard.refresh_update(update, now)
        return self.guard.refresh_update(update, now)

    def export_poison_updates(self, now: float) -> list[PoisonUpdate]:
        """Return everything known about suspects, for an entry that has just joined."""
        return [*self.guard.export_updates(now), *self.part_guard.export_updates(now)]

    def apply_poison_updates(
        self, updates: Iterable[PoisonUpdate], now: float
    ) -> list[Action]:
        """Apply another entry's updates; applying the same ones again changes
        nothing."""
        received = list(updates)
        on_parts = [update for update in received if is_part_update(update)]
        on_requests = [update for update in received if not is_part_update(update)]
        quarantined = self.guard.apply_updates(on_requests, now)
        groups = self.part_guard.apply_updates(on_parts, now)
        return [
            *self.refuse_quarantined(quarantined, now),
            *self.refuse_parts(groups, now),
            *self.start_waiting(now),
        ]

    def tick(self, now: float) -> list[Action]:
        """Refuse what waited too long, check attempts, and start what can be
        started."""
        actions: list[Action] = []
        for step in (
            self.update_servers,
            self.review_crashes,
            self.count_unexplained_crashes,
            self.refuse_expired,
            self.refuse_unserved,
            self.check_attempts,
            self.move_evicted,
            self.requeue_due,
            self.start_waiting,
        ):
            actions += self.run_step(step, now)
        return actions

    def run_step(
        self, step: Callable[[float], list[Action]], now: float
    ) -> list[Action]:
        """Run one step of a tick; if it raises, the others are run all the same."""
        try:
            return step(now)
        except Exception as error:
            self.failures.append(DecisionFailure(step.__name__, None, error))
            return []

    def update_servers(self, now: float) -> list[Action]:
        self.backends.tick(now)
        self.shared_health.review(now)
        return []

    def review_crashes(self, now: float) -> list[Action]:
        """Refuse what the crashes so far, and the reports on them, quarantine."""
        self.confirm_crashes(now)
        quarantined = self.guard.review_suspects(now)
        actions = self.refuse_quarantined(quarantined, now)
        actions += self.refuse_parts(self.part_guard.find_causes(now), now)
        if now >= self.next_expiry_at:
            self.next_expiry_at = now + EXPIRE_EVERY_S
            self.guard.expire(now)
            self.part_guard.expire(now)
            self.expire_crashes(now)
        return actions

    def refuse_expired(self, now: float) -> list[Action]:
        return self.end_refused(self.admission.refuse_expired(now), now)

    def refuse_unserved(self, now: float) -> list[Action]:
        """Refuse what waits, and has not run, in pools whose servers did not return."""
        given_up = {
            pool
            for pool in self.backends.unlisted_pools
            if not self.may_be_served(PoolName(pool), now)
        }
        if not given_up:
            return []
        actions: list[Action] = []
        for active in list(self.active_requests.by_id.values()):
            request = active.request
            if request.pool not in given_up or request.request_id in self.released:
                continue
            if active.attempt_id is not None or active.may_have_run:
                continue
            self.remove_from_queues(active)
            self.end_request(active, now)
            actions.append(refuse(request, RefusalCode.NO_BACKEND, RETRY_AFTER_S))
        return actions

    def check_attempts(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for active in self.check_queue.pop_due(now):
            actions += self.check_attempt(active, now)
        return actions

    def move_evicted(self, now: float) -> list[Action]:
        """Move requests off servers that the platform is about to take away."""
        actions: list[Action] = []
        for notice in self.removal_notices.values():
            running = self.active_requests.on_server(notice.backend_id)
            for active in notice.select_to_move(running, now):
                if self.may_go_on_elsewhere(active):
                    actions.append(self.move_attempt(active, CancelReason.EVICTED, now))
        return actions

    def requeue_due(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for request_id in self.retries.pop_due(now):
            actions += self.requeue(request_id, now)
        return actions

    def expire_crashes(self, now: float) -> None:
        """Drop crashes that are too old to matter to later findings."""
        oldest = now - max(CRASH_DEDUP_S, LINK_LOSS_S)
        self.crashes = {
            k: crash for k, crash in self.crashes.items() if crash.at > oldest
        }

    def check_attempt(self, active: ActiveRequest, now: float) -> list[Action]:
        """Move an attempt whose server has sent no token for too long."""
        backend_id = active.backend_id
        view = self.backends.pools.get(active.request.pool)
        if backend_id is None or view is None:
            return []
        limit_s = silence_limit_s(active, view.pace)
        if limit_s is None:
            self.check_queue.add(active, now + DEFAULT_CHECK_S)
            return []
        due = hang_deadline(active, self.backends.last_token_at(backend_id), limit_s)
        if due > now:
            self.check_queue.add(active, due)
            return []
        slow = self.backends.record_timeout(backend_id, now)
        actions: list[Action] = []
        if self.may_go_on_elsewhere(active) and self.spend_retry(active):
            actions.append(self.move_attempt(active, CancelReason.SLOW, now))
        else:
            self.check_queue.add(active, now + limit_s)
        if slow:
            actions += self.move_streams_off(backend_id, CancelReason.SLOW, now)
        return actions

    def requeue(self, request_id: RequestId, now: float) -> list[Action]:
        """Queue a request again whose backoff is over."""
        active = self.active_requests.get(request_id)
        if active is None:
            return []
        deadline = active.request.deadline
        if deadline is not None and deadline <= now:
            self.end_request(active, now)
            code = RefusalCode.DEADLINE
            return [refuse(active.request, code, None, active.may_have_run)]
        if not self.has_server_of_version(active):
            code = RefusalCode.BACKEND_FAILED
            self.end_request(active, now)
            return [refuse(active.request, code, RETRY_AFTER_S, active.may_have_run)]
        if self.is_suspect(active) and not self.may_queue_suspect(active, now):
            self.retries.add(request_id, now + SUSPECT_RETRY_S)
            return []
        self.admission.requeue(active.request, now)
        return []

    def end_refused(self, refusals: list[Refuse], now: float) -> list[Action]:
        """End requests that admission refused, and mark those that may have run."""
        actions: list[Action] = []
        for refusal in refusals:
            active = self.active_requests.by_id.pop(refusal.request_id)
            if active.may_have_run:
                refusal = without_not_run_claim(refusal)
            if refusal.code is RefusalCode.SHED and not self.backends.serves(
                active.request.pool
            ):
                # The rate at which requests were started says nothing of the servers'
                # return.
                refusal = replace(
                    refusal, code=RefusalCode.NO_BACKEND, retry_after_s=RETRY_AFTER_S
                )
            if self.backends.rest_left_s(active.request.pool, now):
                after_s = self.retry_after_s(active.request, now)
                told_s = max(after_s, refusal.retry_after_s or 0.0)
                refusal = replace(refusal, retry_after_s=told_s)
            actions.append(refusal)
        return actions

    def start_waiting(self, now: float) -> list[Action]:
        """Start waiting requests while servers have room."""
        actions: list[Action] = []
        for pool in self.admission.waiting_pools():
            try:
                for action in self.start_from(pool, now):
                    actions.append(action)
            except Exception as error:
                self.failures.append(DecisionFailure("start_from", None, error))
        return actions

    def start_from(self, pool: str, now: float) -> Iterator[Action]:
        """Start requests that wait for a pool, while its servers have room."""
        while self.backends.has_room(pool, now):
            request = self.admission.pop_next(pool, now)
            if request is None:
                break
            active = self.active_requests.by_id[request.request_id]
            yield from self.start_or_end(active, now)
        yield from self.preempt(pool, now)

    def preempt(self, pool: str, now: float) -> list[Action]:
        """Preempt requests of lower tiers for requests that would otherwise be late.

        The preempted attempt may have run, so that a later refusal of its request must
        not claim otherwise.
        """
        actions: list[Action] = []
        while True:
            server_id = self.pick_overcommit_server(pool, now)
            engine_queues_excess = server_id is not None and self.backends.has_places(
                server_id
            )
            preemption = self.admission.preempt(
                pool, now, server_id is not None, engine_queues_excess
            )
            if preemption is None:
                return actions
            active = self.active_requests.by_id[preemption.request.request_id]
            if preemption.victim is not None:
                victim = self.active_requests.by_id[preemption.victim.request_id]
                server_id = victim.backend_id
                actions.append(self.cancel_preempted(victim, now))
            elif server_id is not None:
                self.overcommitted[server_id] = active
            actions += self.start_or_end(active, now, server_id)

    def start_or_end(
        self, active: ActiveRequest, now: float, server_id: BackendId | None = None
    ) -> list[Action]:
        """Start a request, or end it if the decision on it raises an exception.

        It would be the next one to start again, so that no other one would start.
        """
        try:
            return self.start_request(active, now, server_id)
        except Exception as error:
            request = active.request
            failure = DecisionFailure("start_request", request.request_id, error)
            self.failures.append(failure)
            # Its start, if the exception came after it, has not been told to anyone.
            self.end_attempt(active, now)
            self.end_request(active, now)
            return [
                refuse(
                    request,
                    RefusalCode.INTERNAL,
                    RETRY_AFTER_S,
                    active.may_have_run,
                )
            ]

    def cancel_preempted(self, victim: ActiveRequest, now: float) -> Cancel:
        """Cancel the attempt of a request that admission has queued again."""
        assert victim.may_move, "only what runs and may run again is preempted"
        assert victim.attempt_id is not None
        victim.may_have_run = True
        request_id, attempt_id = victim.request.request_id, victim.attempt_id
        self.end_attempt(victim, now)
        return Cancel(request_id, attempt_id, CancelReason.PREEMPTED)

    def pick_overcommit_server(self, pool: str, now: float) -> BackendId | None:
        """Return a server to which an urgent request may be sent although it is full.

        Only engines run such a request before others. Each gets one such request of
        this router at a time until its first token, so that a large number of them does
        not wait inside the engines.
        """
        if pool not in self.document.models:
            return None
        backend_id = self.backends.sample_ignoring_room(pool, now)
        if backend_id is None:
            return None
        earlier = self.overcommitted.get(backend_id)
        if (
            earlier
            and earlier.backend_id == backend_id
            and earlier.first_token_at is None
        ):
            return None
        return backend_id

    def start_request(
        self, active: ActiveRequest, now: float, server_id: BackendId | None = None
    ) -> list[Action]:
        """Start a request that admission released, or delay it briefly.

        It runs on `server_id` if possible. A server whose limit has fallen is full even
        after one of its requests was cancelled, and the cancellation would be wasted.
        """
        request = active.request
        # A stream that its caller has begun to read can only go on here.
        if not active.tokens and self.is_too_late(request, now):
            return self.end_stopping(active, now)
        backend_id = server_id
        if server_id is None or not self.may_start_on(active, server_id, now):
            backend_id = self.choose_server(active, now)
        if backend_id is None:
            self.admission.undo_start(request)
            self.delay(active, now + SUSPECT_RETRY_S)
            return []
        attempt_id = self.active_requests.start_attempt(active, backend_id, now)
        active.started_at_incarnation = self.backends.states[
            backend_id
        ].spec.incarnation
        self.backends.add_request(backend_id, now)
        source = None
        model = self.document.models.get(request.pool)
        if model is not None and model.fetches:
            source = self.backends.copy_source(request, backend_id, now)
        placement = self.backends.placement_of(request)
        if placement is not None:
            active.pending_tokens = placement.record_start(
                backend_id, request.prompt, now
            )
        self.backends.record_target(
            request.pool, active.request_class.between_tokens_s, now
        )
        self.guard.record_start(request.fingerprint, backend_id, now)
        if active.may_move and request.pool not in self.document.services:
            self.schedule_check(active, now)
        request_id = request.request_id
        return [Start(request_id, attempt_id, backend_id, active.tokens, source)]

    def stop(self, ends_at: float) -> None:
        """Start only what can be answered before a time, as this VM stops."""
        self.ends_at = ends_at

    def is_too_late(self, request: RequestSpec, now: float) -> bool:
        """Return whether a request may outlast this VM, which stops."""
        if self.ends_at == math.inf:
            return False
        times = self.admission.queue_for(request).service_times
        return is_too_late(times, request.deadline, self.ends_at, now)

    def end_stopping(self, active: ActiveRequest, now: float) -> list[Action]:
        """Refuse a request that isn't sent any more: another VM can serve it at once."""
        self.end_request(active, now)
        code = RefusalCode.STOPPING
        may_have_run = active.may_have_run
        return [refuse(active.request, code, STOPPING_RETRY_S, may_have_run)]

    def may_start_on(
        self, active: ActiveRequest, server_id: BackendId, now: float
    ) -> bool:
        state = self.backends.states.get(server_id)
        return (
            state is not None
            and state.health.is_in_rotation()
            and state.may_send(now)
            and not state.spec.closed
            and server_id not in active.avoid
            and active.version in (None, state.spec.version)
            and not self.is_suspect(active)
        )

    def choose_server(self, active: ActiveRequest, now: float) -> BackendId | None:
        """Return the server for a request, or None if none can run it now."""
        request = active.request
        if self.is_suspect(active):
            return self.choose_for_suspect(active, now)
        tier = active.request_class.tier
        # A version may have removed all classes, also that of this request.
        tiers = (item.tier for item in self.document.classes.values())
        highest = min(tiers, default=tier)
        # Behind a network partition every server of a zone is due for a probe, and each
        # probe takes a connect time-out, so that a request makes one at most: with several
        # it would be late by all of them.
        may_probe = (
            request.idempotent
            and tier > highest
            and not active.avoid
            and self.shared_health.may_probe_with(active, now)
        )
        others = self.backends.of_other_versions(request.pool, active.version)
        avoid = active.avoid | others if others else active.avoid
        backend_id = self.backends.choose(request, avoid, now, may_probe)
        if backend_id is None and active.avoid:
            # It failed on each server that has room, so that only those can be tried.
            active.avoid.clear()
            backend_id = self.backends.choose(request, others, now, may_probe)
        return backend_id

    def is_suspect(self, active: ActiveRequest) -> bool:
        return self.guard.is_suspect(active.request.fingerprint)

    def choose_for_suspect(self, active: ActiveRequest, now: float) -> BackendId | None:
        """Return the server for a suspect, once its reservation was announced long
        enough."""
        fingerprint = active.request.fingerprint
        if self.guard.has_running_copy(fingerprint):
            return None
        if self.guard.is_held(fingerprint, now):
            return None
        reserved = self.guard.reservation_of(fingerprint, now)
        if reserved is None:
            request = active.request
            others = self.backends.of_other_versions(request.pool, active.version)
            avoid = set(self.guard.probations) | others
            chosen = self.backends.choose_for_suspect(request, avoid)
            if chosen is not None:
                self.guard.reserve(fingerprint, chosen, now)
            return None
        backend_id, ready = reserved
        state = self.backends.states.get(backend_id)
        fits = state is not None and active.version in (None, state.spec.version)
        if (
            state is None
            or not fits
            or state.spec.closed
            or not state.health.is_in_rotation()
        ):
            self.guard.cancel_reservation(fingerprint)
            return None
        return backend_id if ready and state.may_send(now) else None

    def may_queue_suspect(self, active: ActiveRequest, now: float) -> bool:
        """Return whether a suspect may wait in the queue.

        The server need not have room now: a suspect that waited outside the queue until
        one has room would find each free place taken by queued requests.
        """
        request = active.request
        if self.guard.has_running_copy(request.fingerprint):
            return False
        if self.guard.is_held(request.fingerprint, now):
            return False
        if request.fingerprint in self.guard.reservations:
            return True
        return self.backends.has_server_outside(
            request.pool, self.guard.probations.keys()
        )

    def schedule_check(self, active: ActiveRequest, now: float) -> None:
        """Schedule a check of the attempt for when it should have got a token."""
        view = self.backends.pools.get(active.request.pool)
        if view is not None:
            limit_s = silence_limit_s(active, view.pace) or DEFAULT_CHECK_S
            self.check_queue.add(active, now + limit_s)

    def end_attempt(self, active: ActiveRequest, now: float) -> None:
        """Release the server that an attempt used."""
        backend_id = self.active_requests.end_attempt(active)
        if backend_id is not None:
            self.record_prefill(active, backend_id)
            placement = self.backends.placement_of(active.request)
            if placement is not None:
                placement.record_end(
                    active.request.prompt, now - active.started_at, now
                )
            self.backends.remove_request(backend_id, now)
            self.guard.record_end(active.request.fingerprint)

    def record_prefill(self, active: ActiveRequest, backend_id: BackendId) -> None:
        """Subtract the request's pending prompt tokens from its server's, once."""
        placement = self.backends.placement_of(active.request)
        if placement is not None and active.pending_tokens:
            placement.record_prefill(backend_id, active.pending_tokens)
            active.pending_tokens = 0.0

    def end_request(
        self, active: ActiveRequest, now: float, whole: bool = False
    ) -> None:
        self.active_requests.remove(active)
        self.guard.cancel_reservation(active.request.fingerprint)
        self.admission.record_end(active.request, now, whole)


def is_same_crash(last: CrashRecord, active: ActiveRequest, now: float) -> bool:
    """Return whether a broken connection belongs to a crash that was recorded already."""
    return now - last.at < CRASH_DEDUP_S and active.started_at <= last.at


def warmup_limits(document: Document) -> dict[str, WarmupLimit]:
    """Return what cold servers can handle, by pool, for pools that set a limit."""
    starts = {name: item.cold_start for name, item in document.models.items()}
    starts |= {name: item.cold_start for name, item in document.services.items()}
    return {name: WarmupLimit(*start) for name, start in starts.items() if start}


def refuse(
    request: RequestSpec,
    code: RefusalCode,
    retry_after_s: float | None,
    may_have_run: bool = False,
) -> Refuse:
    """Return a refusal that states "not run" only if the request certainly did not
    run."""
    not_run = NotRun.UNKNOWN if may_have_run else NotRun.TRUE
    return Refuse(request.request_id, code, not_run, retry_after_s)


def without_not_run_claim(refusal: Refuse) -> Refuse:
    """Return the refusal with `NotRun.UNKNOWN`, as the request may have run."""
    return Refuse(
        refusal.request_id, refusal.code, NotRun.UNKNOWN, refusal.retry_after_s
    )
