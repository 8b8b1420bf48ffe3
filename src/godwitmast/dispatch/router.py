"""The router: admission and dispatch together, driven by `now` and by events.

The entry and the scenario player drive the same object. Every method returns the
actions that its event led to; the caller carries them out in order.
"""

import random
from collections.abc import Iterable

from godwitmast.admission.queue import Admission
from godwitmast.config.document import Document
from godwitmast.dispatch.backends import BackendTable
from godwitmast.dispatch.census import RouterCount
from godwitmast.dispatch.evictions import Notice
from godwitmast.dispatch.flights import Flight, FlightBook
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    Cancel,
    CancelReason,
    FailureKind,
    LoadReport,
    NotRun,
    PoisonNews,
    RefusalCode,
    Refuse,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.poison import SAME_CRASH_S, InFlight, PoisonGuard
from godwitmast.dispatch.retries import RetryBudgets, RetryQueue, backoff_s
from godwitmast.dispatch.timeouts import Watch, hangs_at, patience_s
from godwitmast.dispatch.warmup import WarmupLimit
from godwitmast.types import AttemptId, BackendId, RequestId, ZoneName

MAX_FAILURES = 3
"""A request that failed on this many servers is more likely the cause than they."""

MAX_UNSENT = 6
"""Failures in which no server ran anything: each took a server out of the choice."""

RETRY_AFTER_S = 1.0

APART_EVERY_S = 0.1
"""How often a suspect looks for a server without another suspect."""

EXPIRE_EVERY_S = 1.0

FIRST_LOOK_S = 1.0
"""How soon attempts are looked at while nothing is known of the pool's pace."""

LATE_SHARE = 0.3
"""A server that takes this part of the first-token target to a first token has more
work than it serves at speed: the rest of the target is for waiting in our queue."""


class Router:
    """The policy that the product runs."""

    def __init__(
        self,
        document: Document,
        zone: ZoneName,
        seed: int = 0,
        budgets: RetryBudgets | None = None,
        count: RouterCount | None = None,
    ) -> None:
        self.document = document
        self.admission = Admission(document, seed)
        self.backends = BackendTable(zone, seed, count)
        self.backends.warmups = warmup_limits(document)
        self.book = FlightBook()
        self.guard = PoisonGuard()
        self.budgets = budgets or RetryBudgets()
        self.retries = RetryQueue()
        self.watch = Watch()
        self.random = random.Random(seed)
        self.notices: dict[BackendId, Notice] = {}
        self.crashed_at: dict[BackendId, float] = {}
        self.overcommitted: dict[BackendId, Flight] = {}
        self.expire_at = 0.0

    def update_config(self, document: Document, now: float) -> list[Action]:
        """Take a configuration: classes, teams, pools."""
        self.document = document
        self.admission.update_config(document)
        self.backends.warmups = warmup_limits(document)
        return self.pump(now)

    def update_backends(self, backends: list[BackendSpec], now: float) -> list[Action]:
        """Take the list of servers; leaving ones get no new work."""
        self.backends.update(backends, now)
        known = self.notices
        self.notices = {
            spec.backend_id: known.get(
                spec.backend_id, Notice(spec.backend_id, now, spec.gone_at)
            )
            for spec in backends
            if spec.leaving and spec.gone_at is not None
        }
        return self.pump(now)

    def submit(self, request: RequestSpec, now: float) -> list[Action]:
        """Let the request in, or refuse it."""
        left_s = self.guard.quarantine_left(request.fingerprint, now)
        if left_s is not None:
            return [refuse(request, RefusalCode.QUARANTINED, left_s)]
        if not self.backends.serves(request.pool):
            return [refuse(request, RefusalCode.NO_BACKEND, RETRY_AFTER_S)]
        target = self.document.classes[request.class_name]
        self.book.add(Flight(request, target))
        placement = self.backends.placement_of(request)
        if placement is not None:
            placement.arrived(request.prompt, now, target.between_tokens_s)
        refusals = self.forget_refused(self.admission.offer(request, now))
        return [*refusals, *self.pump(now)]

    def tokens_came(
        self, request_id: RequestId, attempt_id: AttemptId, count: int, now: float
    ) -> list[Action]:
        """Note tokens that were passed on to the caller."""
        flight = self.book.owner(request_id, attempt_id)
        if flight is None or flight.backend_id is None:
            return []
        flight.tokens += count
        self.admission.tokens_came(flight.request, count, now, flight.may_move)
        if not flight.request.streams:
            return []
        slow = self.learn(flight, count, now)
        flight.last_token_at = now
        ran_s = now - flight.started_at
        freed = self.guard.progressed(flight.request.fingerprint, ran_s, now)
        actions = self.empty(flight.backend_id, CancelReason.SLOW, now) if slow else []
        return [*actions, *self.pump(now)] if slow or freed else []

    def learn(self, flight: Flight, count: int, now: float) -> bool:
        """Learn from tokens of a stream; return whether its server is a straggler."""
        assert flight.backend_id is not None
        pool = flight.request.pool
        if flight.first_token_at is not None:
            gap_s = now - flight.last_token_at
            return self.backends.token_gap(flight.backend_id, pool, gap_s, count, now)
        flight.first_token_at = now
        self.note_read(flight, flight.backend_id)
        waited_s = now - flight.started_at
        wanted = flight.target.first_token_s
        late = wanted is not None and waited_s > wanted * LATE_SHARE
        self.backends.first_token(flight.backend_id, pool, waited_s, late, now)
        return False

    def finished(
        self, request_id: RequestId, attempt_id: AttemptId, now: float
    ) -> list[Action]:
        """Note that an attempt gave its whole answer."""
        flight = self.book.owner(request_id, attempt_id)
        if flight is None or flight.backend_id is None:
            return []
        latency_s = None
        if flight.request.pool in self.document.services:
            latency_s = now - flight.started_at
        self.backends.served(flight.backend_id, latency_s, now)
        self.budgets.of(flight.request.pool).succeeded()
        self.guard.completed(flight.request.fingerprint, now)
        self.release(flight, now)
        self.end(flight, now, whole=True)
        return self.pump(now)

    def failed(
        self,
        request_id: RequestId,
        attempt_id: AttemptId,
        kind: FailureKind,
        now: float,
    ) -> list[Action]:
        """Retry a failed attempt elsewhere where that is safe, or give up."""
        flight = self.book.owner(request_id, attempt_id)
        if flight is None or flight.backend_id is None:
            return []
        actions = self.blame(flight, flight.backend_id, kind, now)
        if flight.attempt_id is not None:
            flight.avoid.add(flight.backend_id)
            if kind in (FailureKind.CONNECT, FailureKind.REFUSED):
                flight.unsent += 1
                flight.runs -= 1
            else:
                flight.failures += 1
                flight.may_have_run = True
            self.release(flight, now)
            actions += self.retry(flight, kind, now)
        return [*actions, *self.pump(now)]

    def blame(
        self, flight: Flight, backend_id: BackendId, kind: FailureKind, now: float
    ) -> list[Action]:
        """Hold a failure against the server that it happened on."""
        match kind:
            case FailureKind.CONNECT:
                self.backends.unreachable(backend_id, now)
            case FailureKind.REFUSED:
                self.backends.refused(backend_id, now)
            case FailureKind.ERROR:
                self.backends.answered_with_error(backend_id, now)
            case FailureKind.TIMEOUT:
                if self.backends.timed_out(backend_id, now):
                    return self.empty(backend_id, CancelReason.SLOW, now, flight)
            case FailureKind.CUT:
                return self.crashed(flight, backend_id, now)
        return []

    def crashed(
        self, flight: Flight, backend_id: BackendId, now: float
    ) -> list[Action]:
        """Take a broken connection as the crash of its server.

        Each request on the server reports its own broken connection. The first one
        puts all of them under suspicion; the others are the same crash. The end of a
        server that was leaving is no crash, and hundreds may end at once.
        """
        self.backends.went_down(backend_id, now)
        last = self.crashed_at.get(backend_id, -SAME_CRASH_S)
        leaving = self.backends.is_leaving(backend_id)
        if leaving or (now - last < SAME_CRASH_S and flight.started_at <= last):
            return []
        self.crashed_at[backend_id] = now
        in_flight = [
            InFlight(other.request.fingerprint, now - other.started_at)
            for other in self.book.on(backend_id)
        ]
        sentenced = self.guard.crashed(backend_id, in_flight, now)
        return self.end_quarantined(sentenced, now)

    def end_quarantined(self, fingerprints: Iterable[str], now: float) -> list[Action]:
        """Refuse what is let in already of fingerprints in quarantine."""
        wanted = set(fingerprints)
        if not wanted:
            return []
        actions: list[Action] = []
        # A scan of all requests, once in a quarantine's time.
        for flight in list(self.book.flights.values()):
            if flight.request.fingerprint in wanted:
                left_s = self.guard.quarantine_left(flight.request.fingerprint, now)
                actions += self.give_up(flight, RefusalCode.QUARANTINED, left_s, now)
        return actions

    def give_up(
        self,
        flight: Flight,
        code: RefusalCode,
        retry_after_s: float | None,
        now: float,
        reason: CancelReason = CancelReason.QUARANTINED,
    ) -> list[Action]:
        """End a request with a refusal, wherever it is."""
        actions: list[Action] = []
        if flight.attempt_id is not None:
            actions.append(Cancel(flight.request.request_id, flight.attempt_id, reason))
            flight.may_have_run = True
            self.release(flight, now)
        else:
            self.take_off_queues(flight)
        self.end(flight, now)
        actions.append(refuse(flight.request, code, retry_after_s, flight.may_have_run))
        return actions

    def retry(self, flight: Flight, kind: FailureKind, now: float) -> list[Action]:
        """Let a failed request wait for its next attempt, or refuse it.

        One that no server took a connection for draws on no budget and hardly waits:
        nothing arrived anywhere, and that server is out of the choice by now. Drawn
        from it, a zone that was cut off or a list of servers that was old emptied the
        budget within a second, and every further such request was refused.
        """
        unsafe = flight.may_have_run and not flight.request.idempotent
        too_many = flight.failures >= MAX_FAILURES or flight.unsent >= MAX_UNSENT
        spent = too_many or not flight.may_run_again
        arrived = kind is not FailureKind.CONNECT
        if unsafe or spent or (arrived and not self.may_repeat(flight)):
            self.end(flight, now)
            code = RefusalCode.BACKEND_FAILED
            after_s = None if unsafe else RETRY_AFTER_S
            return [refuse(flight.request, code, after_s, flight.may_have_run)]
        suspect = self.guard.is_suspect(flight.request.fingerprint)
        tries = flight.failures + flight.unsent if arrived else 1
        wait_s = backoff_s(tries, suspect, self.random)
        self.hold(flight, now + wait_s)
        return []

    def may_repeat(self, flight: Flight) -> bool:
        """Draw a repeat on the pool's budget; return whether there was one."""
        return self.budgets.of(flight.request.pool).take()

    def hold(self, flight: Flight, until: float) -> None:
        """Keep a request that does not run out of the queue for a while."""
        self.admission.hold(flight.request)
        self.retries.add(flight.request.request_id, until)

    def empty(
        self,
        backend_id: BackendId,
        reason: CancelReason,
        now: float,
        but: Flight | None = None,
    ) -> list[Action]:
        """Move what may be moved off a server that was just found slow."""
        actions: list[Action] = []
        for flight in self.book.on(backend_id):
            if flight is but or not flight.may_move or not flight.request.resumable:
                continue
            if not self.may_repeat(flight):
                break
            actions.append(self.move(flight, reason, now))
        return actions

    def move(self, flight: Flight, reason: CancelReason, now: float) -> Cancel:
        """Cancel an attempt, and queue its request again to go on elsewhere."""
        assert flight.attempt_id is not None and flight.backend_id is not None
        cancel = Cancel(flight.request.request_id, flight.attempt_id, reason)
        flight.avoid.add(flight.backend_id)
        flight.may_have_run = True
        self.release(flight, now)
        self.admission.put_back(flight.request, now)
        return cancel

    def withdraw(
        self, request_id: RequestId, reason: CancelReason, now: float
    ) -> list[Action]:
        """End a request whose caller went away or lost its key."""
        flight = self.book.get(request_id)
        if flight is None:
            return []
        actions: list[Action] = []
        if flight.attempt_id is None:
            self.take_off_queues(flight)
        else:
            actions.append(Cancel(request_id, flight.attempt_id, reason))
            self.release(flight, now)
        self.end(flight, now)
        return [*actions, *self.pump(now)]

    def take_off_queues(self, flight: Flight) -> None:
        """Take a request out of whichever queue it waits in."""
        request_id = flight.request.request_id
        if request_id in self.retries.held:
            self.retries.discard(request_id)
        else:
            self.admission.remove(flight.request)

    def load_reported(
        self, backend_id: BackendId, report: LoadReport, now: float
    ) -> list[Action]:
        """Take what a server said of its load, from whoever heard it."""
        self.backends.load_reported(backend_id, report, now)
        return self.pump(now)

    def take_poison_news(self) -> list[PoisonNews]:
        """Return what the other entries have to hear since the last call, at once."""
        return self.guard.take_news()

    def export_poison(self, now: float) -> list[PoisonNews]:
        """Return all that is known of suspects, for an entry that has just joined."""
        return self.guard.export(now)

    def import_poison(self, news: Iterable[PoisonNews], now: float) -> list[Action]:
        """Take what another entry sent; the same news twice changes nothing."""
        sentenced = self.guard.import_news(news, now)
        return [*self.end_quarantined(sentenced, now), *self.pump(now)]

    def tick(self, now: float) -> list[Action]:
        """Refuse what waited too long, and start what can be started."""
        self.backends.tick(now)
        if now >= self.expire_at:
            self.expire_at = now + EXPIRE_EVERY_S
            self.guard.expire(now)
        actions = self.forget_refused(self.admission.expire(now))
        for flight in self.watch.take_due(now):
            actions += self.look_at(flight, now)
        for notice in self.notices.values():
            flights = self.book.on(notice.backend_id)
            for flight in notice.to_leave(flights, now):
                actions.append(self.move(flight, CancelReason.EVICTED, now))
        for request_id in self.retries.take_due(now):
            actions += self.return_to_queue(request_id, now)
        return [*actions, *self.pump(now)]

    def look_at(self, flight: Flight, now: float) -> list[Action]:
        """Move an attempt that has given no sign of life for too long."""
        backend_id = flight.backend_id
        view = self.backends.pools.get(flight.request.pool)
        if backend_id is None or view is None:
            return []
        patience = patience_s(flight, view.pace)
        if patience is None:
            self.watch.add(flight, now + FIRST_LOOK_S)
            return []
        due = hangs_at(flight, self.backends.last_token_at(backend_id), patience)
        if due > now:
            self.watch.add(flight, due)
            return []
        slow = self.backends.timed_out(backend_id, now)
        actions: list[Action] = []
        if self.may_repeat(flight):
            actions.append(self.move(flight, CancelReason.SLOW, now))
        else:
            self.watch.add(flight, now + patience)
        if slow:
            actions += self.empty(backend_id, CancelReason.SLOW, now)
        return actions

    def return_to_queue(self, request_id: RequestId, now: float) -> list[Action]:
        """Queue a request again whose backoff is over."""
        flight = self.book.get(request_id)
        if flight is None:
            return []
        deadline = flight.request.deadline
        if deadline is not None and deadline <= now:
            self.end(flight, now)
            code = RefusalCode.DEADLINE
            return [refuse(flight.request, code, None, flight.may_have_run)]
        if self.is_kept_apart(flight) and not self.may_be_placed_apart(flight):
            self.retries.add(request_id, now + APART_EVERY_S)
            return []
        self.admission.put_back(flight.request, now)
        return []

    def forget_refused(self, refusals: list[Refuse]) -> list[Action]:
        """Forget requests that admission turned away, and tell what may have run."""
        actions: list[Action] = []
        for refusal in refusals:
            flight = self.book.flights.pop(refusal.request_id)
            if flight.may_have_run:
                refusal = refusal_of_started(refusal)
            actions.append(refusal)
        return actions

    def pump(self, now: float) -> list[Action]:
        """Start waiting requests while there is room for them."""
        actions: list[Action] = []
        for pool in self.admission.waiting_pools():
            while self.backends.has_room(pool, now):
                request = self.admission.next(pool, now)
                if request is None:
                    break
                actions += self.start(self.book.flights[request.request_id], now)
            actions += self.preempt(pool, now)
        return actions

    def preempt(self, pool: str, now: float) -> list[Action]:
        """Interrupt lower tiers for requests that would otherwise be too late.

        The attempt that is cancelled may have run, so that a later refusal of its
        request does not claim otherwise.
        """
        actions: list[Action] = []
        while True:
            place = self.spare_server(pool, now)
            excess_waits = place is not None and self.backends.has_places(place)
            preemption = self.admission.preempt(
                pool, now, place is not None, excess_waits
            )
            if preemption is None:
                return actions
            flight = self.book.flights[preemption.request.request_id]
            if preemption.victim is not None:
                victim = self.book.flights[preemption.victim.request_id]
                place = victim.backend_id
                actions.append(self.interrupt(victim, now))
            elif place is not None:
                self.overcommitted[place] = flight
            actions += self.start(flight, now, place)

    def interrupt(self, victim: Flight, now: float) -> Cancel:
        """Cancel the attempt of a request that admission has queued again."""
        assert victim.may_move, "only what runs and may run again is interrupted"
        assert victim.attempt_id is not None
        victim.may_have_run = True
        request_id, attempt_id = victim.request.request_id, victim.attempt_id
        self.release(victim, now)
        return Cancel(request_id, attempt_id, CancelReason.PREEMPTED)

    def spare_server(self, pool: str, now: float) -> BackendId | None:
        """Return a server that an urgent request may go to although it is full.

        Only engines put it before the rest. Each takes one such request of ours until
        its first token, so that a flood of them does not wait inside the engines.
        """
        if pool not in self.document.models:
            return None
        backend_id = self.backends.draw_any(pool, now)
        if backend_id is None:
            return None
        waits = self.overcommitted.get(backend_id)
        if waits and waits.backend_id == backend_id and waits.first_token_at is None:
            return None
        return backend_id

    def start(
        self, flight: Flight, now: float, place: BackendId | None = None
    ) -> list[Action]:
        """Place a request that admission handed over, or hold it for a moment.

        It takes `place` if it may. A server whose limit has fallen is full even after
        one of its requests was cancelled, and the cancel would be for nothing.
        """
        request = flight.request
        backend_id = place
        if place is None or not self.may_take_place(flight, place, now):
            backend_id = self.choose(flight, now)
        if backend_id is None:
            self.admission.unplaced(request)
            self.hold(flight, now + APART_EVERY_S)
            return []
        attempt_id = self.book.board(flight, backend_id, now)
        self.backends.started(backend_id, now)
        source = None
        model = self.document.models.get(request.pool)
        if model is not None and model.fetches:
            source = self.backends.source_of(request, backend_id, now)
        placement = self.backends.placement_of(request)
        if placement is not None:
            flight.unread = placement.started(backend_id, request.prompt, now)
        self.backends.note_target(request.pool, flight.target.between_tokens_s, now)
        self.guard.started(request.fingerprint, backend_id, now)
        if flight.may_move and request.pool not in self.document.services:
            self.watch_over(flight, now)
        request_id = request.request_id
        return [Start(request_id, attempt_id, backend_id, flight.tokens, source)]

    def may_take_place(self, flight: Flight, place: BackendId, now: float) -> bool:
        state = self.backends.states.get(place)
        return (
            state is not None
            and state.health.is_in()
            and state.warmup.may_send(now)
            and not state.spec.closed
            and place not in flight.avoid
            and not self.is_kept_apart(flight)
        )

    def choose(self, flight: Flight, now: float) -> BackendId | None:
        """Return the server for a request, or None if none may take it now."""
        request = flight.request
        if self.is_kept_apart(flight):
            return self.place_apart(flight, now)
        highest = min(item.tier for item in self.document.classes.values())
        # Behind a cut every server of a zone is to be probed, and each probe takes a
        # connect time-out: a request makes one, or it is late by all of them.
        may_probe = (
            request.idempotent and flight.target.tier > highest and not flight.avoid
        )
        backend_id = self.backends.choose(request, flight.avoid, now, may_probe)
        if backend_id is None and flight.avoid:
            # It failed on each server that has room. What is left to try is those.
            flight.avoid.clear()
            backend_id = self.backends.choose(request, flight.avoid, now, may_probe)
        return backend_id

    def is_kept_apart(self, flight: Flight) -> bool:
        return self.guard.is_suspect(flight.request.fingerprint)

    def place_apart(self, flight: Flight, now: float) -> BackendId | None:
        """Return the server for a suspect, once its peers have heard of the choice."""
        fingerprint = flight.request.fingerprint
        if self.guard.must_wait(fingerprint):
            return None
        reserved = self.guard.reservation(fingerprint, now)
        if reserved is None:
            chosen = self.backends.choose_apart(flight.request, set(self.guard.placed))
            if chosen is not None:
                self.guard.reserve(fingerprint, chosen, now)
            return None
        backend_id, ready = reserved
        state = self.backends.states.get(backend_id)
        if state is None or state.spec.closed or not state.health.is_in():
            self.guard.drop_reservation(fingerprint)
            return None
        return backend_id if ready and state.warmup.may_send(now) else None

    def may_be_placed_apart(self, flight: Flight) -> bool:
        """Return whether a suspect may wait in the queue for a place.

        The server need not have room now: what waits outside of the queue until one
        has would find each place taken by what waits in it.
        """
        request = flight.request
        if self.guard.must_wait(request.fingerprint):
            return False
        if request.fingerprint in self.guard.reserved:
            return True
        return self.backends.has_other(request.pool, self.guard.placed.keys())

    def watch_over(self, flight: Flight, now: float) -> None:
        """Look at the attempt when it should have given a sign of life."""
        view = self.backends.pools.get(flight.request.pool)
        if view is not None:
            patience = patience_s(flight, view.pace) or FIRST_LOOK_S
            self.watch.add(flight, now + patience)

    def release(self, flight: Flight, now: float) -> None:
        """Free the server that an attempt held."""
        backend_id = self.book.leave(flight)
        if backend_id is not None:
            self.note_read(flight, backend_id)
            placement = self.backends.placement_of(flight.request)
            if placement is not None:
                placement.ended(flight.request.prompt, now - flight.started_at, now)
            self.backends.ended(backend_id, now)
            self.guard.ended(flight.request.fingerprint)

    def note_read(self, flight: Flight, backend_id: BackendId) -> None:
        """Take off its server what a flight's prompt had left to be read, once."""
        placement = self.backends.placement_of(flight.request)
        if placement is not None and flight.unread:
            placement.was_read(backend_id, flight.unread)
            flight.unread = 0.0

    def end(self, flight: Flight, now: float, whole: bool = False) -> None:
        self.book.remove(flight)
        self.guard.drop_reservation(flight.request.fingerprint)
        self.admission.ended(flight.request, now, whole)


def warmup_limits(document: Document) -> dict[str, WarmupLimit]:
    """Return what cold servers bear, by pools that have cold starts."""
    starts = {name: item.cold_start for name, item in document.models.items()}
    starts |= {name: item.cold_start for name, item in document.services.items()}
    return {name: WarmupLimit(*start) for name, start in starts.items() if start}


def refuse(
    request: RequestSpec,
    code: RefusalCode,
    retry_after_s: float | None,
    may_have_run: bool = False,
) -> Refuse:
    """Return a refusal that claims no more than is known of what ran."""
    not_run = NotRun.UNKNOWN if may_have_run else NotRun.TRUE
    return Refuse(request.request_id, code, not_run, retry_after_s)


def refusal_of_started(refusal: Refuse) -> Refuse:
    """Return the refusal without its claim that nothing ran."""
    return Refuse(
        refusal.request_id, refusal.code, NotRun.UNKNOWN, refusal.retry_after_s
    )
