"""Isolation and quarantine of requests that crash the servers on which they run.

Load pattern: one request crashes its engine, and the router's retry or the caller's own
sends it to the next one. Without quarantine, a request resent every second takes down a
server a second, and each crash cuts a batch of unrelated streams.

All requests in flight on a crashed server are suspects, as nothing tells which one
caused the crash. Suspects are retried, but while one is on probation no other suspect
runs on its server, and no second copy of it runs anywhere. So a second crash identifies
the cause: two crashes are what it takes to tell it from the requests that ran beside
it, and fewer cannot. Other suspects crash nothing, and are cleared when they complete.

This holds where entries announce where suspects run. Elsewhere two entries may have had
a suspect each on both servers. So a verdict on two crashes waits for the other entries'
reports, and the request with it. It is not quarantined while another request was in the
same crashes: both run on, the innocent one completes, and the other is quarantined then
or by a third crash. A quarantine is lifted if a later report names another such request.

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
from collections.abc import Collection, Iterable
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

REPORTS_S = 0.75
"""Time from a crash until most reports of it have arrived from entries that share them
through a table: they gather for 0.2 s and arrive 0.2 to 0.5 s later."""

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

SAME_RUN_SHARE = 1.25
"""A deadly request takes about the same time to crash each of its servers. Where suspects
are not announced, one is a likely cause of a crash until it has run for this share of its
probation; elsewhere the announced one is taken for the cause."""

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


class ReleaseNotice(NamedTuple):
    """A fingerprint that is no longer quarantined, as another one was in its crashes."""

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


Notice = CrashNotice | QuarantineNotice | ReleaseNotice | ReviewNotice


class Verdict(Enum):
    """Whether a request is taken for the cause of the crashes that it was in."""

    OPEN = "open"
    LIKELY = "likely"
    """It is, unless another entry had another request on the same servers."""
    CERTAIN = "certain"


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
    """The suspects, where they run, and the quarantined fingerprints.

    `announces_suspects` says whether entries send each other `Placement`.
    """

    def __init__(self, announces_suspects: bool = True) -> None:
        self.announces_suspects = announces_suspects
        self.suspects: dict[str, Suspect] = {}
        self.undecided: dict[str, bool] = {}
        """Suspects that are likely causes, and whether a crash seen here made them so."""
        self.quarantined: dict[str, float] = {}
        self.evidence: dict[str, Suspect] = {}
        """The crashes of quarantined fingerprints, as far as they are known."""
        self.has_new_evidence = False
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
        self.quarantined_here: set[str] = set()
        """Fingerprints that a crash observed here quarantined."""

    def quarantine_left_s(self, fingerprint: str, now: float) -> float | None:
        """Return for how many seconds the fingerprint is still refused, or None."""
        until = self.quarantined.get(fingerprint)
        if until is not None:
            return until - now if until > now else None
        return QUARANTINE_S if self.is_cause(fingerprint, now) else None

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request has to be isolated."""
        suspect = self.suspects.get(fingerprint)
        return suspect is not None and suspect.is_isolated

    def is_held(self, fingerprint: str, now: float) -> bool:
        """Return whether a suspect waits for the other entries' reports on it."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or fingerprint not in self.undecided:
            return False
        return now < verdict_at(suspect)

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
        ran = longest_runs(in_flight)
        blamed = self.find_blamed(backend_id, ran, now)
        announced = self.on_probation(backend_id, now) & blamed.keys()
        for fingerprint in sorted(ran):
            suspect = self.record_of(fingerprint)
            suspect.passed_probation = False
            suspect.observed_here = True
            # A copy may be cut early, by the crash of an older one beside it.
            suspect.probation_s = min(
                max(ran[fingerprint], suspect.probation_s), MAX_PROBATION_S
            )
            self.end_probation(fingerprint)
            if fingerprint in blamed:
                add_crash(suspect, SeenCrash(backend_id, now, blamed[fingerprint]))
        self.recent_crashes.append(CrashRecord(now, backend_id, frozenset(blamed)))
        self.notices.append(
            CrashNotice(backend_id, tuple(sorted(ran)), tuple(sorted(blamed)))
        )
        changed = set(blamed) | self.doubt_outage_crashes(now)
        return self.update_suspects(changed, now, announced)

    def record_of(self, fingerprint: str) -> Suspect:
        """Return what is known of a fingerprint, to which crashes can be added."""
        known = self.evidence if fingerprint in self.quarantined else self.suspects
        self.has_new_evidence = True
        return known.setdefault(fingerprint, Suspect())

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
                suspect = self.record_of(name)
                suspect.observed_here = True
                sole = seen[name] > 1
                add_crash(suspect, SeenCrash(crash.backend_id, crash.at, sole, True))
            self.report_review(crash.backend_id, ReviewReason.SERVERS_LOST, names)
            suspects |= names
        return self.update_suspects(suspects, now)

    def last_cleared_at(self, fingerprint: str) -> float:
        """Return when the request last completed, here or at a peer."""
        cleared_at = self.cleared_at.get(fingerprint, -math.inf)
        return max(cleared_at, self.completed_at.get(fingerprint, -math.inf))

    def find_blamed(
        self, backend_id: BackendId, ran: dict[str, float], now: float
    ) -> dict[str, bool]:
        """Return the requests on a crashed server against which the crash counts.

        The value tells whether no other suspect is a likely cause. If one suspect was
        on probation, it is the only likely cause among the suspects. If several were,
        since two entries placed theirs before they learned of each other's, or if
        several ran that had passed probation, the crash does not tell them apart.
        A copy that began before the first crash counts as on probation, too.
        """
        suspects = {name for name in ran if self.is_suspect(name)}
        share = 1.0 if self.announces_suspects else SAME_RUN_SHARE
        recent = {
            name
            for name in suspects
            if ran[name] < self.suspects[name].probation_s * share
        }
        likely_causes = self.on_probation(backend_id, now) | recent or suspects
        blamed = dict.fromkeys(ran.keys() - suspects, True)
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
        """Mark a crash that was observed here as doubtful; return whether that is new.

        One that had made a likely cause of the request before is not doubted.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None or fingerprint in self.undecided:
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
        for fingerprint, suspect in list(self.evidence.items()):
            crashes = without_crash(suspect, backend_id, at)
            if len(crashes) == len(suspect.crashes):
                continue
            if fingerprint in self.quarantined_here and not identify_cause(crashes):
                self.lift_quarantine(fingerprint)
            else:
                suspect.crashes = crashes
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

    def judge(
        self, fingerprint: str, crashes: list[SeenCrash], seen_here: bool, now: float
    ) -> Verdict:
        """Return whether a request is taken for the cause of the crashes.

        Copies of a common request are on several servers by chance, so that crashes of
        one event count once, and two events tell nothing. Other requests are on several
        servers if their callers, or entries that fail, send them on.
        """
        events = one_crash_per_event(crashes)
        if self.is_common(fingerprint, now):
            enough = len(events) >= CRASHES_AMONG_SUSPECTS
            return Verdict.CERTAIN if enough else Verdict.OPEN
        counted = crashes if seen_here else events
        by_chance = self.is_learning(now) and len(events) == 1
        if len(counted if by_chance else crashes) >= CRASHES_AMONG_SUSPECTS:
            return Verdict.CERTAIN
        if not identify_cause(counted):
            return Verdict.OPEN
        # Once a service has lost all servers, a third crash ends their successors, too.
        lost = sum(crash.sole and crash.doubtful for crash in counted)
        return Verdict.CERTAIN if lost >= CRASHES_TO_QUARANTINE else Verdict.LIKELY

    def is_cause(self, fingerprint: str, now: float) -> bool:
        """Return whether an undecided suspect is the only one in its crashes, as far as
        the reports tell that have arrived in time."""
        suspect = self.suspects.get(fingerprint)
        seen_here = self.undecided.get(fingerprint)
        if suspect is None or seen_here is None or now < verdict_at(suspect):
            return False
        match self.judge(fingerprint, suspect.crashes, seen_here, now):
            case Verdict.OPEN:
                return False
            case Verdict.LIKELY:
                return not self.has_rival(fingerprint, suspect.crashes, now)
            case Verdict.CERTAIN:
                return True

    def has_rival(self, fingerprint: str, crashes: list[SeenCrash], now: float) -> bool:
        """Return whether another request was in the same crashes and has not completed."""
        return any(
            len(other.crashes) >= len(crashes)
            and name != fingerprint
            and not self.is_common(name, now)
            and covers(other.crashes, crashes, self.last_cleared_at(name))
            for known in (self.suspects, self.evidence)
            for name, other in known.items()
        )

    def is_learning(self, now: float) -> bool:
        """Return whether common requests may not have completed here yet."""
        return now < self.first_completion_at + LEARNING_S

    def review_suspects(self, now: float) -> list[str]:
        """Decide on suspects whose time to wait for reports is over; lift quarantines
        that reports put in doubt.

        Return the fingerprints that are quarantined now.
        """
        if self.has_new_evidence:
            self.has_new_evidence = False
            self.release_doubtful(now)
        quarantined = self.review_unlearned(now)
        for fingerprint in list(self.undecided):
            if fingerprint not in self.suspects:
                del self.undecided[fingerprint]
            elif self.is_cause(fingerprint, now):
                self.conclude(fingerprint, now)
                quarantined.append(fingerprint)
        return quarantined

    def review_unlearned(self, now: float) -> list[str]:
        """Once common requests are known, quarantine others with enough crashes."""
        if not self.was_learning or self.is_learning(now):
            return []
        self.was_learning = False
        return [
            fingerprint
            for fingerprint in list(self.suspects)
            if self.decide(fingerprint, False, now)
        ]

    def release_doubtful(self, now: float) -> None:
        """Lift quarantines for two crashes that another request was in as well."""
        doubtful = [
            fingerprint
            for fingerprint, suspect in self.evidence.items()
            if self.is_doubtful(fingerprint, suspect, now)
        ]
        for fingerprint in doubtful:
            self.lift_quarantine(fingerprint)
            suspect = self.suspects[fingerprint]
            self.undecided[fingerprint] = suspect.observed_here
            crashed = tuple(crash.backend_id for crash in suspect.crashes)
            self.notices.append(ReleaseNotice(fingerprint, crashed))

    def is_doubtful(self, fingerprint: str, suspect: Suspect, now: float) -> bool:
        """Return whether two crashes that another request was in are all the evidence."""
        return (
            len(suspect.crashes) == CRASHES_TO_QUARANTINE
            and self.judge(fingerprint, suspect.crashes, True, now) is Verdict.LIKELY
            and self.has_rival(fingerprint, suspect.crashes, now)
        )

    def lift_quarantine(self, fingerprint: str) -> None:
        """Make a quarantined fingerprint a suspect again."""
        self.quarantined.pop(fingerprint, None)
        self.quarantined_here.discard(fingerprint)
        self.suspects[fingerprint] = self.evidence.pop(fingerprint)

    def update_suspects(
        self, fingerprints: set[str], now: float, announced: Collection[str] = ()
    ) -> list[str]:
        """Announce suspects, and quarantine those with enough crashes.

        The crash of a server on which a suspect was announced tells it from others.
        """
        quarantined = []
        for fingerprint in sorted(fingerprints):
            suspect = self.suspects.get(fingerprint) or self.evidence.get(fingerprint)
            if suspect is None:
                continue
            # Entries that had other requests there compare them by the crashes.
            self.updates.append(suspicion_update(fingerprint, suspect, now))
            is_apart = self.announces_suspects and fingerprint in announced
            if fingerprint in self.suspects and self.decide(
                fingerprint, True, now, is_apart
            ):
                self.quarantined_here.add(fingerprint)
                quarantined.append(fingerprint)
        return quarantined

    def decide(
        self, fingerprint: str, seen_here: bool, now: float, is_apart: bool = False
    ) -> bool:
        """Quarantine a suspect if its crashes suffice; return whether they do.

        One that is only likely is reviewed once reports have arrived, unless it ran
        apart from other suspects.
        """
        crashes = self.suspects[fingerprint].crashes
        verdict = self.judge(fingerprint, crashes, seen_here, now)
        if verdict is Verdict.LIKELY and not is_apart:
            known = self.undecided.get(fingerprint, False)
            self.undecided[fingerprint] = known or seen_here
            return False
        if verdict is Verdict.OPEN:
            return False
        self.conclude(fingerprint, now)
        return True

    def conclude(self, fingerprint: str, now: float) -> None:
        """Quarantine a suspect, and tell other entries if a crash was observed here.

        All entries that received the same updates conclude this, hundreds of them.
        """
        if self.suspects[fingerprint].observed_here:
            self.updates.append(Quarantine(fingerprint, QUARANTINE_S))
        if self.undecided.pop(fingerprint, False):
            self.quarantined_here.add(fingerprint)
        self.quarantine(fingerprint, now + QUARANTINE_S)

    def quarantine(self, fingerprint: str, until: float) -> None:
        known_until = self.quarantined.get(fingerprint)
        self.quarantined[fingerprint] = max(until, known_until or 0.0)
        self.end_probation(fingerprint)
        suspect = self.suspects.pop(fingerprint, None)
        if suspect is not None:
            self.evidence[fingerprint] = suspect
            self.has_new_evidence = True
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
                self.evidence.pop(fingerprint, None)
                self.quarantined_here.discard(fingerprint)
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
        fingerprint = update.fingerprint
        match update:
            case Suspicion():
                known = self.suspects.get(fingerprint) or self.evidence.get(fingerprint)
                return suspicion_update(fingerprint, known, now) if known else None
            case Quarantine():
                return update if fingerprint in self.quarantined else None
        return update

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
            suspicion_update(name, item, now)
            for name, item in [*self.suspects.items(), *self.evidence.items()]
            if item.crashes
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
                    suspect = self.suspects.get(fingerprint)
                    if suspect and self.is_doubtful(fingerprint, suspect, now):
                        self.undecided.setdefault(fingerprint, suspect.observed_here)
                    elif left_s > 0:
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
        cleared_at = self.last_cleared_at(item.fingerprint)
        crashes = [
            SeenCrash(crash.backend_id, now - crash.age_s, crash.sole, crash.doubtful)
            for crash in item.crashes
            if crash.age_s < SUSPICION_S and now - crash.age_s > cleared_at
        ]
        if not crashes:
            return []
        suspect = self.record_of(item.fingerprint)
        for crash in crashes:
            add_crash(suspect, crash)
        if item.fingerprint in self.quarantined:
            return []
        is_quarantined = self.decide(item.fingerprint, False, now)
        return [item.fingerprint] if is_quarantined else []

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


def longest_runs(in_flight: Iterable[InFlight]) -> dict[str, float]:
    """Return how long the oldest copy of each request had run on a server."""
    ran: dict[str, float] = {}
    for fingerprint, ran_s in in_flight:
        if fingerprint:
            ran[fingerprint] = max(ran_s, ran.get(fingerprint, 0.0))
    return ran


def identify_cause(crashes: list[SeenCrash]) -> bool:
    """Return whether the crashes suffice to take the request in them for their cause."""
    sole = sum(crash.sole for crash in crashes)
    return sole >= CRASHES_TO_QUARANTINE or len(crashes) >= CRASHES_AMONG_SUSPECTS


def verdict_at(suspect: Suspect) -> float:
    """Return when most reports on a suspect's latest crash have arrived."""
    return max((crash.at for crash in suspect.crashes), default=0.0) + REPORTS_S


def covers(known: list[SeenCrash], crashes: list[SeenCrash], cleared_at: float) -> bool:
    """Return whether each of some crashes is among others later than a time."""
    later = [crash for crash in known if crash.at > cleared_at]
    return all(any(crash.is_same(item) for item in later) for crash in crashes)


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
