"""Quarantine of parts of prompts on which engines crash, without I/O.

Load pattern: requests that have one part of their prompts in common, and nothing else,
each crash the engine that begins to write an answer. `poison` takes each for a new
suspect, so that an engine is lost to every one of them.

The parts of all requests on a crashed engine that have not been writing for a while are
suspects, but for the last part of a prompt, which belongs to one request. A sound part is
cleared by any request with it that writes on for `SURVIVAL_S`, at any entry. A part in
several crashes without a survival in between is taken for their cause. Parts in the very
same crashes are quarantined as a group: a request is refused only if it has all of them,
so that those which share the sound ones are served, and tell them apart.

A crash that has a known cause counts against no other part.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from godwitmast.decoding import decode_json
from godwitmast.dispatch.messages import (
    Clearance,
    Crash,
    PoisonUpdate,
    Quarantine,
    Suspicion,
)
from godwitmast.dispatch.placement import PromptPart
from godwitmast.dispatch.poison import (
    MAX_NOTICES,
    OUTAGE_SERVERS,
    QUARANTINE_S,
    SUSPICION_S,
    SeenCrash,
    one_crash_per_event,
)
from godwitmast.errors import Undecodable
from godwitmast.types import BackendId, PoolName

KEY_PREFIX = "prompt-parts:"
"""Start of the fingerprints of groups of parts in `PoisonUpdate`."""

CRASHES_TO_QUARANTINE = 3
"""Two crashes in a row may hit the requests with a part by chance."""

CRASHES_OF_FAMILIAR = 6
"""The same for a part that survived within `FAMILIAR_S`: one that many requests share is
on each engine that is lost, and none of them may survive for some seconds."""

FAMILIAR_S = 300.0

FAMILIAR_QUARANTINE_S = 30.0
"""Quarantine of such a part. If all engines crash whatever they run, as after a faulty
release, it must not be refused for long once they are sound."""

SETTLE_S = 1.5
"""Time from a crash until what other entries had on the engine, and the survivals that
they saw before, have arrived here."""

SURVIVAL_S = 0.5
"""A request that has been writing for this long crashes no engine as it begins to."""

CRASHES_TO_SHARE_SURVIVAL = 2
"""Other entries are told of a part's survival from so many crashes on: a single crash
quarantines nothing, and has dozens of parts as suspects."""

OUTAGE_SPREAD_S = 0.1
"""Crashes of `OUTAGE_SERVERS` within this time are an outage's, which count against no
part: requests with a part reach engines one after the other."""

PAROLE_S = 3600.0
"""How long after its quarantine a group is quarantined again by its first crash."""

MAX_ID_LENGTH = 64
"""Longer ids are not tracked, as each update names them."""

MAX_SUSPECTS = 5_000
MAX_SURVIVALS = 20_000

PartIds = frozenset[str]


class PartGroup(NamedTuple):
    """Parts of prompts of one pool."""

    pool: PoolName
    ids: PartIds


def encode_group(group: PartGroup) -> str:
    """Return the fingerprint that stands for a group of parts."""
    ids = sorted(group.ids)
    return KEY_PREFIX + msgspec.json.encode([group.pool, ids]).decode()


def decode_group(fingerprint: str) -> PartGroup | None:
    """Return the group that a fingerprint stands for; None for a request's."""
    if not fingerprint.startswith(KEY_PREFIX):
        return None
    try:
        pool, ids = decode_json(
            fingerprint.removeprefix(KEY_PREFIX), tuple[str, list[str]]
        )
    except Undecodable:
        return None
    return PartGroup(PoolName(pool), frozenset(ids)) if ids else None


def is_part_update(update: PoisonUpdate) -> bool:
    """Return whether an update is on parts of prompts, not on requests."""
    return update.fingerprint.startswith(KEY_PREFIX)


def shared_ids(parts: Collection[PromptPart]) -> PartIds:
    """Return the parts of a prompt that other requests may have too."""
    ids = [part.part_id for part in parts][:-1]
    return frozenset(part_id for part_id in ids if len(part_id) <= MAX_ID_LENGTH)


@dataclass(slots=True)
class PartSuspect:
    """A part that was on crashed engines, before a request with it had survived."""

    crashes: list[SeenCrash] = field(default_factory=list)
    cleared_at: float = -math.inf
    """When a request with it last survived, as far as all entries know."""
    observed_here: bool = False
    """Whether this entry saw one of the crashes."""

    def drop_until(self, at: float) -> None:
        self.crashes = [crash for crash in self.crashes if crash.at > at]


class Cause(NamedTuple):
    """A group of parts that is taken for the cause of crashes."""

    group: PartGroup
    crashes: list[SeenCrash]
    """The crashes of one of its parts, which those of the others are compared with."""


class PartNotice(NamedTuple):
    """A group that is quarantined from now on, or no longer; for the log."""

    group: PartGroup
    crashed: tuple[BackendId, ...]
    left_s: float


class PartGuard:
    """The suspected and the quarantined parts of prompts."""

    def __init__(self) -> None:
        self.suspects: dict[PartGroup, PartSuspect] = {}
        """Suspects, each as a group of one part."""
        self.crashes: dict[PoolName, list[SeenCrash]] = {}
        """All crashes that are known, whatever was on the engine."""
        self.survived_at: dict[PartGroup, float] = {}
        self.quarantined: dict[PartGroup, float] = {}
        self.quarantined_since: dict[PartGroup, float] = {}
        self.evidence: dict[PartGroup, list[SeenCrash]] = {}
        """The crashes by which a group was quarantined here."""
        self.paroled: dict[PartGroup, float] = {}
        self.updates: list[PoisonUpdate] = []
        self.notices: deque[PartNotice] = deque(maxlen=MAX_NOTICES)

    def quarantine_left_s(
        self, pool: PoolName, parts: Collection[PromptPart], now: float
    ) -> float | None:
        """Return for how long requests with these parts are refused, None if not."""
        if not self.quarantined or len(parts) < 2:
            return None
        ids = shared_ids(parts)
        left = [
            until - now
            for group, until in self.quarantined.items()
            if group.pool == pool and group.ids <= ids and until > now
        ]
        return max(left, default=None)

    # What this entry sees.

    def record_crash(
        self,
        pool: PoolName,
        backend_id: BackendId,
        prompts: Collection[PartIds],
        now: float,
    ) -> None:
        """Record a crash; `prompts` are those that had not survived on the engine."""
        crash = SeenCrash(backend_id, now)
        add_crash(self.crashes.setdefault(pool, []), crash)
        if self.has_known_cause(pool, prompts, crash, now):
            return
        for part_id in sorted(frozenset().union(*prompts)):
            group = PartGroup(pool, frozenset([part_id]))
            suspect = self.suspects.setdefault(group, PartSuspect())
            suspect.observed_here = True
            if add_crash(suspect.crashes, crash):
                self.updates.append(describe(group, suspect, now))

    def has_known_cause(
        self,
        pool: PoolName,
        prompts: Collection[PartIds],
        crash: SeenCrash,
        now: float,
    ) -> bool:
        """Return whether a prompt has a group that is quarantined, or was."""
        known = [*self.quarantined, *self.paroled]
        causes = {
            group
            for group in known
            if group.pool == pool and any(group.ids <= ids for ids in prompts)
        }
        for group in causes:
            if group not in self.quarantined:
                self.quarantine(group, now, QUARANTINE_S)
                self.updates.append(Quarantine(encode_group(group), QUARANTINE_S))
            self.explain(group, [crash])
            # Others may have had other requests on the engine.
            seen = Crash(crash.backend_id, now - crash.at)
            self.updates.append(Suspicion(encode_group(group), (seen,)))
        return bool(causes)

    def explain(self, group: PartGroup, crashes: Iterable[SeenCrash]) -> None:
        """Attribute crashes to a quarantined group, and to no other part."""
        evidence = self.evidence.setdefault(group, [])
        for crash in crashes:
            add_crash(evidence, crash)
        self.drop_crashes(evidence, group.pool)

    def record_survival(
        self, pool: PoolName, parts: Collection[PromptPart], now: float
    ) -> None:
        """Record that a request with these parts has been writing for a while."""
        for part_id in shared_ids(parts):
            group = PartGroup(pool, frozenset([part_id]))
            self.survived_at.pop(group, None)
            self.survived_at[group] = now
            if self.quarantined and self.apply_survival(group, now):
                self.updates.append(Clearance(encode_group(group), 0.0))
            if group in self.suspects:
                self.share_survival(group, now)
        while len(self.survived_at) > MAX_SURVIVALS:
            del self.survived_at[next(iter(self.survived_at))]

    def share_survival(self, group: PartGroup, now: float) -> None:
        """Tell other entries of a survival here that clears what they may know."""
        suspect = self.suspects.get(group)
        at = self.survived_at.get(group, -math.inf)
        if suspect is None or at <= suspect.cleared_at:
            return
        crashes = [crash for crash in suspect.crashes if crash.at > suspect.cleared_at]
        if len(one_crash_per_event(crashes)) >= CRASHES_TO_SHARE_SURVIVAL:
            suspect.cleared_at = at
            suspect.drop_until(at)
            self.updates.append(Clearance(encode_group(group), now - at))

    def withdraw_crash(self, backend_id: BackendId, at: float) -> None:
        """Withdraw a crash that was none."""
        crash = SeenCrash(backend_id, at)
        for group, crashes in list(self.evidence.items()):
            left = [known for known in crashes if not known.is_same(crash)]
            if len(left) < len(crashes) and len(left) < CRASHES_TO_QUARANTINE:
                self.release(group)
        self.drop_crashes([crash])

    def drop_crashes(
        self, crashes: list[SeenCrash], pool: PoolName | None = None
    ) -> None:
        """Drop crashes from the suspects of a pool, or of all."""
        for group, suspect in list(self.suspects.items()):
            if pool is not None and group.pool != pool:
                continue
            suspect.crashes = [
                known
                for known in suspect.crashes
                if not any(known.is_same(crash) for crash in crashes)
            ]
            if not suspect.crashes:
                del self.suspects[group]

    # What follows from it.

    def find_causes(self, now: float) -> list[PartGroup]:
        """Quarantine the groups of parts with enough crashes; return them."""
        found = []
        # Each turn takes its crashes from one suspect at least.
        for _ in range(len(self.suspects)):
            cause = self.find_cause(now)
            if cause is None:
                break
            group, crashes = cause
            left_s = self.quarantine_s(group, now)
            # All entries that received the same updates conclude this, hundreds of them.
            if self.is_observed_here(group):
                self.updates.append(Quarantine(encode_group(group), left_s))
            self.condemn(group, crashes, now, left_s)
            found.append(group)
        return found

    def is_observed_here(self, group: PartGroup) -> bool:
        return any(
            suspect.observed_here
            for known, suspect in self.suspects.items()
            if known.pool == group.pool and known.ids <= group.ids
        )

    def quarantine_s(self, group: PartGroup, now: float) -> float:
        """Return for how long a group is refused: not long if all of it is familiar."""
        parts = [PartGroup(group.pool, frozenset([item])) for item in group.ids]
        is_familiar = all(self.is_familiar(part, now) for part in parts)
        return FAMILIAR_QUARANTINE_S if is_familiar else QUARANTINE_S

    def is_familiar(self, part: PartGroup, now: float) -> bool:
        return self.survival_of(part) > now - FAMILIAR_S

    def condemn(
        self, group: PartGroup, crashes: list[SeenCrash], now: float, left_s: float
    ) -> None:
        """Quarantine a group as the cause of these crashes."""
        if crashes:
            self.evidence[group] = []
        self.quarantine(group, now, left_s)
        if crashes:
            self.explain(group, crashes)

    def find_cause(self, now: float) -> Cause | None:
        """Return the group of parts in the most crashes, if these are enough.

        Being the same crash isn't transitive, so that all parts of the group are
        compared with the same one, and the crashes are that part's own: those that all
        parts have in common may be none.
        """
        settled = {
            group: self.settled_crashes(group, now)
            for group, suspect in self.suspects.items()
            if len(suspect.crashes) >= CRASHES_TO_QUARANTINE
        }
        enough = [
            group
            for group, crashes in settled.items()
            if self.is_enough(group, crashes, now)
        ]
        if not enough:
            return None
        first = min(enough, key=lambda group: (-len(settled[group]), sorted(group.ids)))
        ids = [
            group.ids
            for group, crashes in settled.items()
            if group.pool == first.pool and are_same(crashes, settled[first])
        ]
        group = PartGroup(first.pool, frozenset().union(*ids))
        return Cause(group, self.open_crashes(first))

    def is_enough(self, group: PartGroup, crashes: list[SeenCrash], now: float) -> bool:
        """Return whether a part is taken for the cause of these crashes."""
        own = [crash for crash in crashes if not self.is_of_outage(group.pool, crash)]
        familiar = self.is_familiar(group, now)
        needed = CRASHES_OF_FAMILIAR if familiar else CRASHES_TO_QUARANTINE
        return len(one_crash_per_event(own)) >= needed

    def settled_crashes(self, group: PartGroup, now: float) -> list[SeenCrash]:
        return [c for c in self.open_crashes(group) if c.at <= now - SETTLE_S]

    def survival_of(self, group: PartGroup) -> float:
        """Return when a request with a part last survived, as far as is known."""
        suspect = self.suspects.get(group)
        cleared_at = suspect.cleared_at if suspect is not None else -math.inf
        return max(cleared_at, self.survived_at.get(group, -math.inf))

    def open_crashes(self, group: PartGroup) -> list[SeenCrash]:
        """Return the crashes of a part since it last survived; for a group, those that
        all of its parts have in common."""
        parts = [PartGroup(group.pool, frozenset([item])) for item in sorted(group.ids)]
        lists = []
        for part in parts:
            suspect = self.suspects.get(part)
            crashes = suspect.crashes if suspect is not None else []
            lists.append([c for c in crashes if c.at > self.survival_of(part)])
        return max((common_crashes(crashes, lists) for crashes in lists), key=len)

    def is_of_outage(self, pool: PoolName, crash: SeenCrash) -> bool:
        together = [
            other.at
            for other in self.crashes.get(pool, [])
            if abs(other.at - crash.at) <= OUTAGE_SPREAD_S
        ]
        return len(together) >= OUTAGE_SERVERS

    def quarantine(self, group: PartGroup, now: float, left_s: float) -> None:
        is_new = group not in self.quarantined
        self.quarantined[group] = max(now + left_s, self.quarantined.get(group, 0.0))
        self.quarantined_since.setdefault(group, now)
        self.paroled.pop(group, None)
        if is_new:
            crashed = tuple(c.backend_id for c in self.evidence.get(group, []))
            self.notices.append(PartNotice(group, crashed, left_s))

    def release(self, group: PartGroup) -> None:
        if self.quarantined.pop(group, None) is not None:
            self.notices.append(PartNotice(group, (), 0.0))
        self.evidence.pop(group, None)
        self.quarantined_since.pop(group, None)

    def apply_survival(self, group: PartGroup, at: float) -> bool:
        """Narrow the quarantined groups of a part that survived; return whether one was.

        A survival before a group's crashes says nothing of it.
        """
        narrowed = False
        for known in list(self.quarantined):
            if known.pool != group.pool or not group.ids <= known.ids:
                continue
            until, crashes = self.quarantined[known], self.evidence.get(known, [])
            began_at = crashes[0].at if crashes else self.quarantined_since[known]
            if at <= began_at:
                continue
            narrowed = True
            self.release(known)
            rest = PartGroup(known.pool, known.ids - group.ids)
            if rest.ids:
                self.evidence[rest] = crashes
                self.quarantine(rest, at, until - at)
        return narrowed

    def expire(self, now: float) -> None:
        """Remove what is outdated; to be called regularly."""
        for group, until in list(self.quarantined.items()):
            if until <= now:
                self.release(group)
                self.paroled[group] = now + PAROLE_S
        for group, until in list(self.paroled.items()):
            if until <= now:
                del self.paroled[group]
        for pool, crashes in list(self.crashes.items()):
            self.crashes[pool] = [c for c in crashes if c.at > now - SUSPICION_S]
        excess = len(self.suspects) - MAX_SUSPECTS
        for number, (group, suspect) in enumerate(list(self.suspects.items())):
            suspect.drop_until(now - SUSPICION_S)
            if number < excess or not suspect.crashes:
                del self.suspects[group]

    # What entries tell each other.

    def pop_updates(self) -> list[PoisonUpdate]:
        updates, self.updates = self.updates, []
        return updates

    def pop_notices(self) -> list[PartNotice]:
        """Return and clear what is to be logged."""
        notices = list(self.notices)
        self.notices.clear()
        return notices

    def refresh_update(self, update: PoisonUpdate, now: float) -> PoisonUpdate | None:
        """Return an update that is sent only now, or None if it was withdrawn since."""
        group = decode_group(update.fingerprint)
        match update:
            case Suspicion():
                if group is None or group in self.quarantined:
                    return update
                suspect = self.suspects.get(group)
                return describe(group, suspect, now) if suspect else None
            case Quarantine():
                return update if group in self.quarantined else None
        return update

    def export_updates(self, now: float) -> list[PoisonUpdate]:
        """Return everything known, for an entry that has just joined."""
        known: list[PoisonUpdate] = [
            Quarantine(encode_group(group), until - now)
            for group, until in self.quarantined.items()
            if until > now
        ]
        known += [describe(group, item, now) for group, item in self.suspects.items()]
        return known

    def apply_updates(
        self, updates: Iterable[PoisonUpdate], now: float
    ) -> list[PartGroup]:
        """Apply another entry's updates; return the groups that are quarantined now."""
        quarantined = []
        for update in updates:
            group = decode_group(update.fingerprint)
            if group is None:
                continue
            match update:
                case Quarantine(_, left_s):
                    if left_s > 0 and group not in self.quarantined:
                        known = self.open_crashes(group)
                        self.condemn(group, known, now, min(left_s, QUARANTINE_S))
                        self.narrow_by_survivals(group, now)
                        quarantined.append(group)
                case Suspicion(_, crashes):
                    self.apply_suspicion(group, crashes, now)
                case Clearance(_, age_s):
                    self.apply_clearance(group, now - age_s)
        return quarantined

    def narrow_by_survivals(self, group: PartGroup, now: float) -> None:
        """Narrow a group that another entry quarantined by what survived here."""
        for part_id in sorted(group.ids):
            part = PartGroup(group.pool, frozenset([part_id]))
            at = self.survived_at.get(part, -math.inf)
            if group in self.evidence and self.apply_survival(part, at):
                self.updates.append(Clearance(encode_group(part), now - at))

    def apply_suspicion(
        self, group: PartGroup, crashes: Iterable[Crash], now: float
    ) -> None:
        if group in self.quarantined:
            known = [
                SeenCrash(crash.backend_id, now - crash.age_s) for crash in crashes
            ]
            self.explain(group, known)
            return
        if len(group.ids) > 1:
            return
        suspect = self.suspects.setdefault(group, PartSuspect())
        for crash in crashes:
            seen = SeenCrash(crash.backend_id, now - crash.age_s)
            is_recent = crash.age_s < SUSPICION_S and seen.at > suspect.cleared_at
            if is_recent:
                add_crash(self.crashes.setdefault(group.pool, []), seen)
            if is_recent and not self.is_explained(group, seen):
                add_crash(suspect.crashes, seen)
        self.share_survival(group, now)
        if not suspect.crashes:
            self.suspects.pop(group, None)

    def is_explained(self, group: PartGroup, crash: SeenCrash) -> bool:
        """Return whether another group was quarantined by this crash."""
        return any(
            known.is_same(crash)
            for cause, crashes in self.evidence.items()
            if cause.pool == group.pool
            for known in crashes
        )

    def apply_clearance(self, group: PartGroup, at: float) -> None:
        suspect = self.suspects.get(group)
        if suspect is not None:
            suspect.cleared_at = max(at, suspect.cleared_at)
            suspect.drop_until(at)
        self.apply_survival(group, at)


def describe(group: PartGroup, suspect: PartSuspect, now: float) -> Suspicion:
    crashes = tuple(Crash(c.backend_id, now - c.at) for c in suspect.crashes)
    return Suspicion(encode_group(group), crashes)


def add_crash(crashes: list[SeenCrash], crash: SeenCrash) -> bool:
    """Add a crash, unless it is known; return whether it was added."""
    if any(known.is_same(crash) for known in crashes):
        return False
    crashes.append(crash)
    crashes.sort(key=lambda item: item.at)
    return True


def common_crashes(
    crashes: list[SeenCrash], lists: list[list[SeenCrash]]
) -> list[SeenCrash]:
    """Return those of some crashes that are in all of the lists."""
    return [
        crash
        for crash in crashes
        if all(any(crash.is_same(known) for known in item) for item in lists)
    ]


def are_same(first: list[SeenCrash], second: list[SeenCrash]) -> bool:
    """Return whether two lists hold the same crashes."""
    pairs = zip(first, second, strict=False)
    return len(first) == len(second) and all(a.is_same(b) for a, b in pairs)
