"""Keeps a request that crashes every server it runs on from taking the pool down.

Load pattern: one request crashes its engine, and the router's retry or the caller's
own carries it to the next one. Without this, a request resent every second takes a
server a second, and each crash cuts a batch of innocent streams.

All requests in flight on a crashed server are suspects, as nothing tells which one it
was. Suspects run again, but while one is on probation no other suspect joins its
server, and no second copy of it runs anywhere. So a second crash names the one that
did it: two crashes are what it takes to tell it from its neighbours, and no fewer
would. Innocent suspects crash nothing, and their completion clears them.

Entries spread what they see as `PoisonNews`. Call `take_news` often and send what it
returns to all peers, call `export` for a peer that joins, and `import_news` for what
peers sent.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from godwitmast.dispatch.messages import (
    Clearance,
    Crash,
    Placement,
    PoisonNews,
    Quarantine,
    Suspicion,
)
from godwitmast.types import BackendId

CRASHES_TO_QUARANTINE = 2

QUARANTINE_S = 600.0
"""Long enough that a caller's resend loop gives up or is noticed; a caller who mended
what was wrong sends another body, which has another fingerprint."""

SUSPICION_S = 120.0
"""A suspect that neither completed nor crashed a server for so long is forgotten."""

SAME_CRASH_S = 2.0
"""Two sightings of a server's crash this close are one: it takes longer to restart."""

MIN_PROBATION_S = 0.5
MAX_PROBATION_S = 5.0
"""A suspect is on probation for as long as it had run when its server crashed, within
these bounds. Without an upper bound the twenty streams of one crashed server would
wait for each other's whole answers on the few servers that are left."""

OUTAGE_SERVERS = 3
OUTAGE_S = 1.0
"""So many servers lost so close together are an outage, such as a rack's power or a
network partition. A poison request takes them one after the other; and to isolate the
hundreds of streams that an outage cuts would stall all of them."""

PLACEMENT_S = 10.0
"""How long a placement heard from a peer holds, should its end never be heard."""

ANNOUNCE_S = 0.25
"""How long a suspect's server is announced before the suspect starts there: peers hear
of it in about 0.1 s. Without it two entries placed a suspect each on one server, whose
crash then named neither, and a poison request crashed a third one."""

MAX_SUSPECTS = 10_000


class InFlight(NamedTuple):
    """A request on a server that crashed, and for how long it had run there."""

    fingerprint: str
    ran_s: float


class Sighting(NamedTuple):
    """A crash, and the fingerprints that it put under suspicion."""

    at: float
    backend_id: BackendId
    fingerprints: frozenset[str]


@dataclass(slots=True)
class Suspect:
    """A fingerprint that was in flight when a server crashed."""

    crashes: list[tuple[BackendId, float]] = field(default_factory=list)
    probation_s: float = MIN_PROBATION_S
    survived: bool = False


class PoisonGuard:
    """The suspects, where they run, and what is quarantined."""

    def __init__(self) -> None:
        self.suspects: dict[str, Suspect] = {}
        self.quarantined: dict[str, float] = {}
        self.cleared: dict[str, float] = {}
        self.placed: dict[BackendId, dict[str, float]] = {}
        self.running: dict[str, BackendId] = {}
        self.reserved: dict[str, tuple[BackendId, float]] = {}
        self.sightings: deque[Sighting] = deque()
        self.news: list[PoisonNews] = []

    def quarantine_left(self, fingerprint: str, now: float) -> float | None:
        """Return for how many seconds the fingerprint is still refused, if it is."""
        until = self.quarantined.get(fingerprint)
        return until - now if until is not None and until > now else None

    def is_suspect(self, fingerprint: str) -> bool:
        return fingerprint in self.suspects

    def must_wait(self, fingerprint: str) -> bool:
        """Return whether a copy of this suspect runs already, here or elsewhere."""
        return fingerprint in self.suspects and fingerprint in self.running

    def holds(self, backend_id: BackendId, now: float) -> bool:
        """Return whether a suspect is on probation on the server."""
        return bool(self.on_probation(backend_id, now))

    def on_probation(self, backend_id: BackendId, now: float) -> set[str]:
        placed = self.placed.get(backend_id, {})
        return {fingerprint for fingerprint, until in placed.items() if until > now}

    def reserve(self, fingerprint: str, backend_id: BackendId, now: float) -> None:
        """Announce the server that a suspect is to start on."""
        self.reserved[fingerprint] = (backend_id, now)
        placed = self.placed.setdefault(backend_id, {})
        placed[fingerprint] = now + PLACEMENT_S
        self.news.append(Placement(fingerprint, backend_id, PLACEMENT_S))

    def reservation(
        self, fingerprint: str, now: float
    ) -> tuple[BackendId, bool] | None:
        """Return the server reserved for a suspect, and whether it may start there.

        Of two suspects that were announced for one server the first by name keeps it,
        so that both entries see it alike; the other one's reservation is dropped.
        """
        held = self.reserved.get(fingerprint)
        if held is None:
            return None
        backend_id, at = held
        if min(self.on_probation(backend_id, now), default="") != fingerprint:
            self.drop_reservation(fingerprint)
            return None
        return backend_id, now - at >= ANNOUNCE_S

    def drop_reservation(self, fingerprint: str) -> None:
        held = self.reserved.pop(fingerprint, None)
        if held is not None and self.unplace(fingerprint, held[0]):
            self.news.append(Placement(fingerprint, held[0], 0.0))

    def started(self, fingerprint: str, backend_id: BackendId, now: float) -> None:
        """Note that a request runs on a server, on probation if it is a suspect."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return
        suspect.survived = False
        held = self.reserved.pop(fingerprint, None)
        if held is not None and held[0] != backend_id:
            self.unplace(fingerprint, held[0])
        self.place(fingerprint, backend_id, now + PLACEMENT_S)
        self.news.append(Placement(fingerprint, backend_id, PLACEMENT_S))

    def progressed(self, fingerprint: str, ran_s: float, now: float) -> bool:
        """End the probation of a suspect that ran long enough; return whether it did."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or suspect.survived or ran_s < suspect.probation_s:
            return False
        suspect.survived = True
        self.leave(fingerprint)
        return True

    def ended(self, fingerprint: str) -> None:
        """Note that a request left its server without an answer or a crash."""
        if fingerprint in self.running:
            self.leave(fingerprint)

    def completed(self, fingerprint: str, now: float) -> None:
        """Clear a request that gave its whole answer."""
        if fingerprint not in self.suspects:
            return
        self.leave(fingerprint)
        del self.suspects[fingerprint]
        self.cleared[fingerprint] = now
        self.news.append(Clearance(fingerprint, 0.0))

    def crashed(
        self, backend_id: BackendId, in_flight: Iterable[InFlight], now: float
    ) -> list[str]:
        """Take a crash; return the fingerprints that it put into quarantine."""
        ran = {item.fingerprint: item.ran_s for item in in_flight if item.fingerprint}
        accused = self.accused(backend_id, set(ran), now)
        for fingerprint in sorted(ran):
            suspect = self.suspects.setdefault(fingerprint, Suspect())
            suspect.survived = False
            suspect.probation_s = min(
                max(ran[fingerprint], MIN_PROBATION_S), MAX_PROBATION_S
            )
            self.leave(fingerprint)
            if fingerprint in accused:
                add_crash(suspect, backend_id, now)
        self.sightings.append(Sighting(now, backend_id, frozenset(accused)))
        self.forgive_outage(now)
        return self.judge(accused, now)

    def accused(
        self, backend_id: BackendId, fingerprints: set[str], now: float
    ) -> set[str]:
        """Return which of the requests on a crashed server the crash counts against.

        Where one suspect was on probation, it alone is the likely cause among the
        suspects. Where several were, since two entries placed theirs before they heard
        of each other, or where several ran that had survived theirs, the crash does
        not tell them apart, and to count it would refuse the innocent ones.
        """
        suspects = fingerprints & self.suspects.keys()
        likely = self.on_probation(backend_id, now) or suspects
        if len(likely) > 1:
            return fingerprints - suspects
        return (fingerprints - suspects) | (likely & suspects)

    def forgive_outage(self, now: float) -> None:
        """Drop the suspicions of an outage, but for requests seen in several crashes."""
        while self.sightings and self.sightings[0].at < now - OUTAGE_S:
            self.sightings.popleft()
        if len({sighting.backend_id for sighting in self.sightings}) < OUTAGE_SERVERS:
            return
        seen: dict[str, int] = {}
        for sighting in self.sightings:
            for fingerprint in sighting.fingerprints:
                seen[fingerprint] = seen.get(fingerprint, 0) + 1
        for sighting in self.sightings:
            for fingerprint in sighting.fingerprints:
                if seen[fingerprint] == 1:
                    self.forgive(fingerprint, sighting)

    def forgive(self, fingerprint: str, sighting: Sighting) -> None:
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return
        crash = (sighting.backend_id, sighting.at)
        suspect.crashes = [item for item in suspect.crashes if item != crash]
        if not suspect.crashes:
            del self.suspects[fingerprint]

    def judge(self, fingerprints: set[str], now: float) -> list[str]:
        """Quarantine those with crashes enough, and tell of the others."""
        sentenced = []
        for fingerprint in sorted(fingerprints & self.suspects.keys()):
            suspect = self.suspects[fingerprint]
            if len(suspect.crashes) >= CRASHES_TO_QUARANTINE:
                self.quarantine(fingerprint, now + QUARANTINE_S)
                self.news.append(Quarantine(fingerprint, QUARANTINE_S))
                sentenced.append(fingerprint)
            else:
                self.news.append(suspicion(fingerprint, suspect, now))
        return sentenced

    def quarantine(self, fingerprint: str, until: float) -> None:
        self.quarantined[fingerprint] = max(
            until, self.quarantined.get(fingerprint, 0.0)
        )
        self.leave(fingerprint)
        self.suspects.pop(fingerprint, None)

    def place(self, fingerprint: str, backend_id: BackendId, until: float) -> None:
        self.running[fingerprint] = backend_id
        self.placed.setdefault(backend_id, {})[fingerprint] = until

    def leave(self, fingerprint: str) -> None:
        """Free the server on which a suspect was on probation."""
        self.drop_reservation(fingerprint)
        backend_id = self.running.pop(fingerprint, None)
        if backend_id is None:
            return
        if self.unplace(fingerprint, backend_id):
            self.news.append(Placement(fingerprint, backend_id, 0.0))

    def unplace(self, fingerprint: str, backend_id: BackendId) -> bool:
        """Take a suspect off the server's list; return whether it stood there."""
        placed = self.placed.get(backend_id)
        if placed is None or placed.pop(fingerprint, None) is None:
            return False
        if not placed:
            del self.placed[backend_id]
        return True

    def expire(self, now: float) -> None:
        """Forget what is over; call it now and then."""
        for fingerprint, until in list(self.quarantined.items()):
            if until <= now:
                del self.quarantined[fingerprint]
        for fingerprint, at in list(self.cleared.items()):
            if at < now - SUSPICION_S:
                del self.cleared[fingerprint]
        for fingerprint, backend_id in list(self.running.items()):
            if self.placed.get(backend_id, {}).get(fingerprint, 0.0) <= now:
                self.unplace(fingerprint, backend_id)
                del self.running[fingerprint]
        for fingerprint, (_, at) in list(self.reserved.items()):
            if at <= now - PLACEMENT_S:
                self.drop_reservation(fingerprint)
        excess = len(self.suspects) - MAX_SUSPECTS
        for number, (fingerprint, suspect) in enumerate(list(self.suspects.items())):
            latest = max((at for _, at in suspect.crashes), default=now)
            if number < excess or latest < now - SUSPICION_S:
                self.leave(fingerprint)
                del self.suspects[fingerprint]

    def take_news(self) -> list[PoisonNews]:
        """Return what peers have to hear since the last call."""
        news, self.news = self.news, []
        return news

    def export(self, now: float) -> list[PoisonNews]:
        """Return all that is known, for a peer that has just joined."""
        known: list[PoisonNews] = [
            Quarantine(fingerprint, until - now)
            for fingerprint, until in self.quarantined.items()
            if until > now
        ]
        known += [suspicion(name, item, now) for name, item in self.suspects.items()]
        known += [
            Placement(fingerprint, backend_id, until - now)
            for backend_id, placed in self.placed.items()
            for fingerprint, until in placed.items()
            if until > now
        ]
        return known

    def import_news(self, news: Iterable[PoisonNews], now: float) -> list[str]:
        """Take what a peer sent; return the fingerprints now in quarantine by it."""
        sentenced: list[str] = []
        for item in news:
            match item:
                case Quarantine(fingerprint, left_s):
                    if left_s > 0:
                        self.quarantine(fingerprint, now + min(left_s, QUARANTINE_S))
                        sentenced.append(fingerprint)
                case Suspicion():
                    sentenced += self.import_suspicion(item, now)
                case Placement(fingerprint, backend_id, left_s):
                    self.import_placement(fingerprint, backend_id, now, left_s)
                case Clearance(fingerprint, age_s):
                    self.import_clearance(fingerprint, now - age_s)
        return sentenced

    def import_suspicion(self, item: Suspicion, now: float) -> list[str]:
        """Join a peer's sightings with our own; together they may be enough."""
        if self.quarantine_left(item.fingerprint, now) is not None:
            return []
        cleared_at = self.cleared.get(item.fingerprint, float("-inf"))
        crashes = [
            (crash.backend_id, now - crash.age_s)
            for crash in item.crashes
            if crash.age_s < SUSPICION_S and now - crash.age_s > cleared_at
        ]
        if not crashes:
            return []
        suspect = self.suspects.setdefault(item.fingerprint, Suspect())
        for backend_id, at in crashes:
            add_crash(suspect, backend_id, at)
        if len(suspect.crashes) < CRASHES_TO_QUARANTINE:
            return []
        self.quarantine(item.fingerprint, now + QUARANTINE_S)
        self.news.append(Quarantine(item.fingerprint, QUARANTINE_S))
        return [item.fingerprint]

    def import_placement(
        self, fingerprint: str, backend_id: BackendId, now: float, left_s: float
    ) -> None:
        if left_s > 0:
            self.place(fingerprint, backend_id, now + min(left_s, PLACEMENT_S))
        elif self.running.get(fingerprint) == backend_id:
            del self.running[fingerprint]
            self.unplace(fingerprint, backend_id)

    def import_clearance(self, fingerprint: str, at: float) -> None:
        suspect = self.suspects.get(fingerprint)
        if suspect is not None and all(seen <= at for _, seen in suspect.crashes):
            del self.suspects[fingerprint]
            self.running.pop(fingerprint, None)
        self.cleared[fingerprint] = max(at, self.cleared.get(fingerprint, at))


def add_crash(suspect: Suspect, backend_id: BackendId, at: float) -> None:
    """Count a crash, unless it is one that was counted already."""
    for known_id, known_at in suspect.crashes:
        if known_id == backend_id and abs(known_at - at) <= SAME_CRASH_S:
            return
    suspect.crashes.append((backend_id, at))


def suspicion(fingerprint: str, suspect: Suspect, now: float) -> Suspicion:
    crashes = tuple(Crash(name, now - at) for name, at in suspect.crashes)
    return Suspicion(fingerprint, crashes)
