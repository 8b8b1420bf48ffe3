"""Isolation and quarantine of requests that crash the servers on which they run.

Load pattern: one request crashes its engine, and the router's retry or the caller's own
sends it to the next one. Without quarantine, a request resent every second takes down a
server a second, and each crash cuts a batch of unrelated streams.

All requests in flight on a crashed server are suspects, as nothing tells which one
caused the crash. Suspects are retried, but while one is on probation no other suspect
runs on its server, and no second copy of it runs anywhere. So a second crash identifies
the cause: two crashes are what it takes to tell it from the requests that ran beside
it, and fewer cannot. Other suspects crash nothing, and are cleared when they complete.

Where suspects could not be kept apart, as on the last server of a pool or under entries
that do not learn in time what the others start, a second crash tells nothing. A request
that was in three of them without completing is quarantined all the same.

When many servers crash at once an outage is as likely a cause as a request, and the
hundreds of streams that it cuts would stall if each were isolated. Such a crash is
doubtful: a single one isolates nobody, but it is counted, as a request that is sent to
several entries at the same time may crash all servers of a small pool at once.

Entries exchange what they observe as `PoisonUpdate`. Call `pop_updates` often and send
what it returns to all peers, call `export_updates` for a peer that joins, and
`apply_updates` with what peers sent.
"""

import math
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from godwitmast.dispatch.messages import (
    Clearance,
    Crash,
    Placement,
    PoisonUpdate,
    Quarantine,
    Suspicion,
)
from godwitmast.types import BackendId

CRASHES_TO_QUARANTINE = 2
CRASHES_AMONG_SUSPECTS = 3
"""Crashes after which a request is quarantined though each of them may have had another
cause: few others are in so many without completing in between."""

SAME_EVENT_S = 0.3
"""Crashes within this time may have one cause, as a rack that lost its power: a suspect
is not retried that soon. Copies of a common request, such as a lookup, are on several
servers at any time."""

QUARANTINE_S = 600.0
"""Long enough that a caller's retry loop gives up or is noticed; a caller who corrected
the request sends another body, which has another fingerprint."""

SUSPICION_S = 120.0
"""A suspect that has neither completed nor crashed a server for this long is
forgotten."""

CRASH_DEDUP_S = 2.0
"""Two observations of a server's crash within this time are one crash: a restart takes
longer."""

MIN_PROBATION_S = 0.5
MAX_PROBATION_S = 5.0
"""A suspect is on probation for as long as it had run when its server crashed, within
these bounds. Without an upper bound the twenty streams of one crashed server would wait
for each other's whole answers on the few remaining servers."""

OUTAGE_SERVERS = 3
OUTAGE_S = 1.0
"""So many servers lost within this time may be an outage, such as a rack's power failure
or a network partition."""

DOUBTFUL_CRASHES_TO_ISOLATE = 2

PLACEMENT_TTL_S = 10.0
"""How long a placement received from a peer is valid if its end is never received."""

ANNOUNCE_S = 0.25
"""How long a suspect's server is announced before the suspect starts there: peers learn
of it in about 0.1 s. Without it two entries placed a suspect each on one server, whose
crash then identified neither, and a poison request crashed a third one."""

FAMILIAR_S = 60.0
"""A request that has completed within this time is a common one, whose copies are on
several servers at any moment."""

LEARNING_S = 3.0
"""Time from the first completion until most common requests have completed here."""

MAX_FAMILIAR = 10_000
MAX_SUSPECTS = 10_000

MAX_NOTICES = 100
"""Notices that are kept if nobody logs them."""


class InFlight(NamedTuple):
    """A request on a server that crashed, and how long it had run there."""

    fingerprint: str
    ran_s: float


class CrashNotice(NamedTuple):
    """A crash that was observed here, for the log.

    `counted` are those of the fingerprints on the server against which it counts.
    """

    backend_id: BackendId
    fingerprints: tuple[str, ...]
    counted: tuple[str, ...]


class QuarantineNotice(NamedTuple):
    """A fingerprint that is quarantined from now on, and the servers that it crashed."""

    fingerprint: str
    crashed: tuple[BackendId, ...]


class ReviewReason(Enum):
    """Why a crash counts for more or less than before."""

    OUTAGE = "outage"
    """It is doubtful, as other servers crashed at the same time."""
    UNREACHABLE = "unreachable"
    """It is withdrawn until it is known whether the servers crashed or links failed."""
    SERVERS_LOST = "servers_lost"
    """It is doubtful: no entry reaches a server of the pool any more."""


class ReviewNotice(NamedTuple):
    """A crash observed here that counts for more or less against these fingerprints."""

    backend_id: BackendId
    reason: ReviewReason
    fingerprints: tuple[str, ...]


Notice = CrashNotice | QuarantineNotice | ReviewNotice


class CrashRecord(NamedTuple):
    """A crash, and fingerprints that were on the server.

    `prompts` has the ids of the parts of prompts on which it had not been writing for a
    while.
    """

    at: float
    backend_id: BackendId
    fingerprints: frozenset[str]
    prompts: tuple[frozenset[str], ...] = ()


class SeenCrash(NamedTuple):
    """A crash while a suspect ran on the server; the flags are as in `messages.Crash`."""

    backend_id: BackendId
    at: float
    sole: bool = True
    doubtful: bool = False

    def is_same(self, other: "SeenCrash") -> bool:
        """Return whether this is another observation of the same crash."""
        same_server = self.backend_id == other.backend_id
        return same_server and abs(self.at - other.at) <= CRASH_DEDUP_S


@dataclass(slots=True)
class Suspect:
    """A fingerprint that was in flight when a server crashed."""

    crashes: list[SeenCrash] = field(default_factory=list)
    probation_s: float = MIN_PROBATION_S
    passed_probation: bool = False
    observed_here: bool = False
    """Whether this entry saw one of the crashes."""

    @property
    def is_isolated(self) -> bool:
        """Return whether no other suspect may run on its server meanwhile."""
        certain = any(not crash.doubtful for crash in self.crashes)
        return certain or len(self.crashes) >= DOUBTFUL_CRASHES_TO_ISOLATE


class PoisonGuard:
    """The suspects, where they run, and the quarantined fingerprints."""

    def __init__(self) -> None:
        self.suspects: dict[str, Suspect] = {}
        self.quarantined: dict[str, float] = {}
        self.cleared_at: dict[str, float] = {}
        self.completed_at: dict[str, float] = {}
        self.first_completion_at = math.inf
        self.was_learning = True
        self.probations: dict[BackendId, dict[str, float]] = {}
        self.running_on: dict[str, BackendId] = {}
        self.reservations: dict[str, tuple[BackendId, float]] = {}
        self.recent_crashes: deque[CrashRecord] = deque()
        self.updates: list[PoisonUpdate] = []
        self.notices: deque[Notice] = deque(maxlen=MAX_NOTICES)
        self.quarantined_here: dict[str, Suspect] = {}
        """Suspects that a crash observed here quarantined."""

    def quarantine_left_s(self, fingerprint: str, now: float) -> float | None:
        """Return for how many seconds the fingerprint is still refused, or None."""
        until = self.quarantined.get(fingerprint)
        return until - now if until is not None and until > now else None

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request has to be isolated."""
        suspect = self.suspects.get(fingerprint)
        return suspect is not None and suspect.is_isolated

    def has_running_copy(self, fingerprint: str) -> bool:
        """Return whether a copy of this suspect already runs, on this entry or another
        one."""
        return self.is_suspect(fingerprint) and fingerprint in self.running_on

    def has_probation(self, backend_id: BackendId, now: float) -> bool:
        """Return whether a suspect is on probation on the server."""
        return bool(self.on_probation(backend_id, now))

    def on_probation(self, backend_id: BackendId, now: float) -> set[str]:
        probations = self.probations.get(backend_id, {})
        return {fingerprint for fingerprint, until in probations.items() if until > now}

    def reserve(self, fingerprint: str, backend_id: BackendId, now: float) -> None:
        """Announce the server on which a suspect is to start."""
        self.reservations[fingerprint] = (backend_id, now)
        probations = self.probations.setdefault(backend_id, {})
        probations[fingerprint] = now + PLACEMENT_TTL_S
        self.updates.append(Placement(fingerprint, backend_id, PLACEMENT_TTL_S))

    def reservation_of(
        self, fingerprint: str, now: float
    ) -> tuple[BackendId, bool] | None:
        """Return the server reserved for a suspect, and whether it may start there now.

        If two suspects were announced for one server, the first by fingerprint keeps
        it, so that both entries decide alike; the other one's reservation is cancelled.
        """
        reservation = self.reservations.get(fingerprint)
        if reservation is None:
            return None
        backend_id, at = reservation
        if min(self.on_probation(backend_id, now), default="") != fingerprint:
            self.cancel_reservation(fingerprint)
            return None
        return backend_id, now - at >= ANNOUNCE_S

    def cancel_reservation(self, fingerprint: str) -> None:
        reservation = self.reservations.pop(fingerprint, None)
        if reservation is not None and self.remove_probation(
            fingerprint, reservation[0]
        ):
            self.updates.append(Placement(fingerprint, reservation[0], 0.0))

    def record_start(self, fingerprint: str, backend_id: BackendId, now: float) -> None:
        """Record that a request runs on a server, on probation if it is a suspect."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not suspect.is_isolated:
            return
        suspect.passed_probation = False
        reservation = self.reservations.pop(fingerprint, None)
        if reservation is not None and reservation[0] != backend_id:
            self.remove_probation(fingerprint, reservation[0])
        self.add_probation(fingerprint, backend_id, now + PLACEMENT_TTL_S)
        self.updates.append(Placement(fingerprint, backend_id, PLACEMENT_TTL_S))

    def record_progress(self, fingerprint: str, ran_s: float, now: float) -> bool:
        """End the probation of a suspect that ran long enough; return whether it
        did."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or suspect.passed_probation or ran_s < suspect.probation_s:
            return False
        suspect.passed_probation = True
        self.end_probation(fingerprint)
        return True

    def record_end(self, fingerprint: str) -> None:
        """Record that a request's attempt ended without an answer or a crash."""
        if fingerprint in self.running_on:
            self.end_probation(fingerprint)

    def record_completion(self, fingerprint: str, now: float) -> None:
        """Clear a suspect that completed."""
        self.first_completion_at = min(now, self.first_completion_at)
        self.completed_at.pop(fingerprint, None)
        self.completed_at[fingerprint] = now
        if len(self.completed_at) > MAX_FAMILIAR:
            del self.completed_at[next(iter(self.completed_at))]
        if fingerprint not in self.suspects:
            return
        self.end_probation(fingerprint)
        del self.suspects[fingerprint]
        self.cleared_at[fingerprint] = now
        self.updates.append(Clearance(fingerprint, 0.0))

    def record_crash(
        self, backend_id: BackendId, in_flight: Iterable[InFlight], now: float
    ) -> list[str]:
        """Record a crash; return the fingerprints that are quarantined by it."""
        ran = {item.fingerprint: item.ran_s for item in in_flight if item.fingerprint}
        blamed = self.find_blamed(backend_id, set(ran), now)
        for fingerprint in sorted(ran):
            suspect = self.suspects.setdefault(fingerprint, Suspect())
            suspect.passed_probation = False
            suspect.observed_here = True
            suspect.probation_s = min(
                max(ran[fingerprint], MIN_PROBATION_S), MAX_PROBATION_S
            )
            self.end_probation(fingerprint)
            if fingerprint in blamed:
                add_crash(suspect, SeenCrash(backend_id, now, blamed[fingerprint]))
        self.recent_crashes.append(CrashRecord(now, backend_id, frozenset(blamed)))
        self.notices.append(
            CrashNotice(backend_id, tuple(sorted(ran)), tuple(sorted(blamed)))
        )
        return self.update_suspects(set(blamed) | self.doubt_outage_crashes(now), now)

    def record_lost_servers(self, crashes: list[CrashRecord], now: float) -> list[str]:
        """Record crashes whose cause may be an outage of a pool; return the fingerprints
        that are quarantined by them.

        They are doubtful, except for requests seen in several of them.
        """
        seen = Counter(name for crash in crashes for name in crash.fingerprints)
        suspects: set[str] = set()
        for crash in crashes:
            names = {
                name
                for name in crash.fingerprints
                if self.last_cleared_at(name) <= crash.at
            }
            for name in names:
                suspect = self.suspects.setdefault(name, Suspect())
                suspect.observed_here = True
                certain = seen[name] > 1
                add_crash(
                    suspect,
                    SeenCrash(crash.backend_id, crash.at, certain, not certain),
                )
            self.report_review(crash.backend_id, ReviewReason.SERVERS_LOST, names)
            suspects |= names
        return self.update_suspects(suspects, now)

    def last_cleared_at(self, fingerprint: str) -> float:
        """Return when the request last completed, here or at a peer."""
        cleared_at = self.cleared_at.get(fingerprint, -math.inf)
        return max(cleared_at, self.completed_at.get(fingerprint, -math.inf))

    def find_blamed(
        self, backend_id: BackendId, fingerprints: set[str], now: float
    ) -> dict[str, bool]:
        """Return the requests on a crashed server against which the crash counts.

        The value tells whether no other suspect is a likely cause. If one suspect was
        on probation, it is the only likely cause among the suspects. If several were,
        since two entries placed theirs before they learned of each other's, or if
        several ran that had passed probation, the crash does not tell them apart.
        """
        suspects = {name for name in fingerprints if self.is_suspect(name)}
        likely_causes = self.on_probation(backend_id, now) or suspects
        blamed = dict.fromkeys(fingerprints - suspects, True)
        blamed.update(dict.fromkeys(likely_causes & suspects, len(likely_causes) == 1))
        return blamed

    def doubt_outage_crashes(self, now: float) -> set[str]:
        """Mark the crashes of an outage as doubtful, except for requests seen in several
        of them; return the fingerprints for which that is new."""
        while self.recent_crashes and self.recent_crashes[0].at < now - OUTAGE_S:
            self.recent_crashes.popleft()
        servers = {crash_record.backend_id for crash_record in self.recent_crashes}
        if len(servers) < OUTAGE_SERVERS:
            return set()
        seen = Counter(
            name for record in self.recent_crashes for name in record.fingerprints
        )
        doubted: set[str] = set()
        for crash_record in self.recent_crashes:
            backend_id, at = crash_record.backend_id, crash_record.at
            once = [name for name in crash_record.fingerprints if seen[name] == 1]
            changed = [name for name in once if self.doubt_crash(name, backend_id, at)]
            self.report_review(backend_id, ReviewReason.OUTAGE, changed)
            doubted.update(changed)
        return doubted

    def doubt_crash(self, fingerprint: str, backend_id: BackendId, at: float) -> bool:
        """Mark a crash that was observed here as doubtful; return whether that is new."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return False
        for number, crash in enumerate(suspect.crashes):
            if crash[:2] == (backend_id, at) and not crash.doubtful:
                suspect.crashes[number] = SeenCrash(backend_id, at, False, True)
                return True
        return False

    def drop_crash(self, fingerprint: str, backend_id: BackendId, at: float) -> bool:
        """Withdraw a crash, and the suspicion if it was the only one.

        Return whether the crash had counted against the fingerprint.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return False
        before = len(suspect.crashes)
        suspect.crashes = without_crash(suspect, backend_id, at)
        if not suspect.crashes:
            del self.suspects[fingerprint]
        return len(suspect.crashes) < before

    def report_review(
        self, backend_id: BackendId, reason: ReviewReason, fingerprints: Iterable[str]
    ) -> None:
        """Keep for the log that a crash counts for more or less than before."""
        names = tuple(sorted(fingerprints))
        if names:
            self.notices.append(ReviewNotice(backend_id, reason, names))

    def withdraw_crash(self, backend_id: BackendId, at: float) -> None:
        """Withdraw a crash that was none, with the suspicions and quarantines by it."""
        for fingerprint, suspect in list(self.quarantined_here.items()):
            crashes = without_crash(suspect, backend_id, at)
            if len(crashes) < len(suspect.crashes) and not identify_cause(crashes):
                del self.quarantined_here[fingerprint]
                self.quarantined.pop(fingerprint, None)
                self.suspects[fingerprint] = suspect
        dropped = [
            fingerprint
            for fingerprint in list(self.suspects)
            if self.drop_crash(fingerprint, backend_id, at)
        ]
        self.report_review(backend_id, ReviewReason.UNREACHABLE, dropped)
        self.updates = [
            update
            for update in self.updates
            if not isinstance(update, Suspicion | Quarantine)
            or update.fingerprint in self.suspects
            or update.fingerprint in self.quarantined
        ]

    def is_common(self, fingerprint: str, now: float) -> bool:
        """Return whether the request has completed here lately.

        One that crashes its servers never does.
        """
        return now < self.completed_at.get(fingerprint, -math.inf) + FAMILIAR_S

    def is_cause(
        self, fingerprint: str, crashes: list[SeenCrash], seen_here: bool, now: float
    ) -> bool:
        """Return whether a request is taken for the cause of the crashes.

        Copies of a common request are on several servers by chance, so that crashes of
        one event count once, and two events tell nothing. Other requests are on several
        servers if their callers, or entries that fail, send them on.
        """
        events = one_crash_per_event(crashes)
        if self.is_common(fingerprint, now):
            return len(events) >= CRASHES_AMONG_SUSPECTS
        if identify_cause(crashes if seen_here else events):
            return True
        by_chance = self.is_learning(now) and len(events) == 1
        return len(crashes) >= CRASHES_AMONG_SUSPECTS and not by_chance

    def is_learning(self, now: float) -> bool:
        """Return whether common requests may not have completed here yet."""
        return now < self.first_completion_at + LEARNING_S

    def review_suspects(self, now: float) -> list[str]:
        """Once common requests are known, quarantine others with enough crashes.

        Return the fingerprints that are quarantined now.
        """
        if not self.was_learning or self.is_learning(now):
            return []
        self.was_learning = False
        causes = [
            (fingerprint, suspect)
            for fingerprint, suspect in self.suspects.items()
            if self.is_cause(fingerprint, suspect.crashes, False, now)
        ]
        for fingerprint, suspect in causes:
            self.quarantine(fingerprint, now + QUARANTINE_S)
            if suspect.observed_here:
                self.updates.append(Quarantine(fingerprint, QUARANTINE_S))
        return [fingerprint for fingerprint, _ in causes]

    def update_suspects(self, fingerprints: set[str], now: float) -> list[str]:
        """Quarantine suspects with enough crashes, and announce the others."""
        quarantined = []
        for fingerprint in sorted(fingerprints & self.suspects.keys()):
            suspect = self.suspects[fingerprint]
            if self.is_cause(fingerprint, suspect.crashes, True, now):
                self.quarantined_here[fingerprint] = suspect
                self.quarantine(fingerprint, now + QUARANTINE_S)
                self.updates.append(Quarantine(fingerprint, QUARANTINE_S))
                quarantined.append(fingerprint)
            else:
                self.updates.append(suspicion_update(fingerprint, suspect, now))
        return quarantined

    def quarantine(self, fingerprint: str, until: float) -> None:
        known_until = self.quarantined.get(fingerprint)
        self.quarantined[fingerprint] = max(until, known_until or 0.0)
        self.end_probation(fingerprint)
        suspect = self.suspects.pop(fingerprint, None)
        if known_until is None:
            crashes = suspect.crashes if suspect else []
            crashed = tuple(crash.backend_id for crash in crashes)
            self.notices.append(QuarantineNotice(fingerprint, crashed))

    def add_probation(
        self, fingerprint: str, backend_id: BackendId, until: float
    ) -> None:
        self.running_on[fingerprint] = backend_id
        self.probations.setdefault(backend_id, {})[fingerprint] = until

    def end_probation(self, fingerprint: str) -> None:
        """Release the server on which a suspect is on probation."""
        self.cancel_reservation(fingerprint)
        backend_id = self.running_on.pop(fingerprint, None)
        if backend_id is None:
            return
        if self.remove_probation(fingerprint, backend_id):
            self.updates.append(Placement(fingerprint, backend_id, 0.0))

    def remove_probation(self, fingerprint: str, backend_id: BackendId) -> bool:
        """Remove a suspect from the server's probations; return whether it was among
        them."""
        probations = self.probations.get(backend_id)
        if probations is None or probations.pop(fingerprint, None) is None:
            return False
        if not probations:
            del self.probations[backend_id]
        return True

    def expire(self, now: float) -> None:
        """Remove expired entries; to be called regularly."""
        for fingerprint, until in list(self.quarantined.items()):
            if until <= now:
                del self.quarantined[fingerprint]
                self.quarantined_here.pop(fingerprint, None)
        for fingerprint, at in list(self.cleared_at.items()):
            if at < now - SUSPICION_S:
                del self.cleared_at[fingerprint]
        for fingerprint, backend_id in list(self.running_on.items()):
            if self.probations.get(backend_id, {}).get(fingerprint, 0.0) <= now:
                self.remove_probation(fingerprint, backend_id)
                del self.running_on[fingerprint]
        for fingerprint, (_, at) in list(self.reservations.items()):
            if at <= now - PLACEMENT_TTL_S:
                self.cancel_reservation(fingerprint)
        excess = len(self.suspects) - MAX_SUSPECTS
        for number, (fingerprint, suspect) in enumerate(list(self.suspects.items())):
            latest = max((crash.at for crash in suspect.crashes), default=now)
            if number < excess or latest < now - SUSPICION_S:
                self.end_probation(fingerprint)
                del self.suspects[fingerprint]

    def pop_updates(self) -> list[PoisonUpdate]:
        """Return and clear the updates that peers have not been sent yet."""
        updates, self.updates = self.updates, []
        return updates

    def refresh_update(self, update: PoisonUpdate, now: float) -> PoisonUpdate | None:
        """Return an update that is sent only now, or None if it was withdrawn since."""
        if not isinstance(update, Suspicion):
            return update
        suspect = self.suspects.get(update.fingerprint)
        if suspect is None:
            return None
        return suspicion_update(update.fingerprint, suspect, now)

    def pop_notices(self) -> list[Notice]:
        """Return and clear what is to be logged."""
        notices = list(self.notices)
        self.notices.clear()
        return notices

    def export_updates(self, now: float) -> list[PoisonUpdate]:
        """Return everything known, for a peer that has just joined."""
        known: list[PoisonUpdate] = [
            Quarantine(fingerprint, until - now)
            for fingerprint, until in self.quarantined.items()
            if until > now
        ]
        known += [
            suspicion_update(name, item, now) for name, item in self.suspects.items()
        ]
        known += [
            Placement(fingerprint, backend_id, until - now)
            for backend_id, probations in self.probations.items()
            for fingerprint, until in probations.items()
            if until > now
        ]
        return known

    def apply_updates(self, updates: Iterable[PoisonUpdate], now: float) -> list[str]:
        """Apply a peer's updates; return the fingerprints that are now quarantined by
        them."""
        quarantined: list[str] = []
        for item in updates:
            match item:
                case Quarantine(fingerprint, left_s):
                    if left_s > 0:
                        self.quarantine(fingerprint, now + min(left_s, QUARANTINE_S))
                        quarantined.append(fingerprint)
                case Suspicion():
                    quarantined += self.apply_suspicion(item, now)
                case Placement(fingerprint, backend_id, left_s):
                    self.apply_placement(fingerprint, backend_id, now, left_s)
                case Clearance(fingerprint, age_s):
                    self.apply_clearance(fingerprint, now - age_s)
        return quarantined

    def apply_suspicion(self, item: Suspicion, now: float) -> list[str]:
        """Add a peer's observed crashes to our own; return the fingerprint if that
        quarantines it."""
        if self.quarantine_left_s(item.fingerprint, now) is not None:
            return []
        cleared_at = self.last_cleared_at(item.fingerprint)
        crashes = [
            SeenCrash(crash.backend_id, now - crash.age_s, crash.sole, crash.doubtful)
            for crash in item.crashes
            if crash.age_s < SUSPICION_S and now - crash.age_s > cleared_at
        ]
        if not crashes:
            return []
        suspect = self.suspects.setdefault(item.fingerprint, Suspect())
        for crash in crashes:
            add_crash(suspect, crash)
        if not self.is_cause(item.fingerprint, suspect.crashes, False, now):
            return []
        self.quarantine(item.fingerprint, now + QUARANTINE_S)
        # All entries that received the same updates conclude this, hundreds of them.
        if suspect.observed_here:
            self.updates.append(Quarantine(item.fingerprint, QUARANTINE_S))
        return [item.fingerprint]

    def apply_placement(
        self, fingerprint: str, backend_id: BackendId, now: float, left_s: float
    ) -> None:
        if left_s > 0:
            self.add_probation(
                fingerprint, backend_id, now + min(left_s, PLACEMENT_TTL_S)
            )
        elif self.running_on.get(fingerprint) == backend_id:
            del self.running_on[fingerprint]
            self.remove_probation(fingerprint, backend_id)

    def apply_clearance(self, fingerprint: str, at: float) -> None:
        suspect = self.suspects.get(fingerprint)
        if suspect is not None and all(crash.at <= at for crash in suspect.crashes):
            del self.suspects[fingerprint]
            self.running_on.pop(fingerprint, None)
        self.cleared_at[fingerprint] = max(at, self.cleared_at.get(fingerprint, at))


def identify_cause(crashes: list[SeenCrash]) -> bool:
    """Return whether the crashes suffice to take the request in them for their cause."""
    sole = sum(crash.sole for crash in crashes)
    return sole >= CRASHES_TO_QUARANTINE or len(crashes) >= CRASHES_AMONG_SUSPECTS


def one_crash_per_event(crashes: list[SeenCrash]) -> list[SeenCrash]:
    """Return the crashes without those that follow another within `SAME_EVENT_S`."""
    events: list[SeenCrash] = []
    for crash in sorted(crashes, key=lambda item: item.at):
        if not events or crash.at - events[-1].at >= SAME_EVENT_S:
            events.append(crash)
    return events


def without_crash(
    suspect: Suspect, backend_id: BackendId, at: float
) -> list[SeenCrash]:
    """Return a suspect's crashes without the one that was observed here at a time."""
    return [item for item in suspect.crashes if item[:2] != (backend_id, at)]


def add_crash(suspect: Suspect, crash: SeenCrash) -> None:
    """Add a crash, unless it was counted already.

    Of two entries that saw it, one may know of another suspect on the server, and one
    may not take it for part of an outage.
    """
    for number, known in enumerate(suspect.crashes):
        if known.is_same(crash):
            suspect.crashes[number] = known._replace(
                sole=known.sole and crash.sole,
                doubtful=known.doubtful and crash.doubtful,
            )
            return
    suspect.crashes.append(crash)


def suspicion_update(fingerprint: str, suspect: Suspect, now: float) -> Suspicion:
    crashes = tuple(
        Crash(c.backend_id, now - c.at, c.sole, c.doubtful) for c in suspect.crashes
    )
    return Suspicion(fingerprint, crashes)


def advance_ages(news: PoisonUpdate, elapsed_s: float) -> PoisonUpdate:
    """Return the update with its ages and remaining times advanced by `elapsed_s`."""
    match news:
        case Quarantine() | Placement():
            return news._replace(left_s=news.left_s - elapsed_s)
        case Clearance():
            return news._replace(age_s=news.age_s + elapsed_s)
        case Suspicion():
            crashes = (c._replace(age_s=c.age_s + elapsed_s) for c in news.crashes)
            return news._replace(crashes=tuple(crashes))
