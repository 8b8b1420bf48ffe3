"""From a caller's key to its team, class and models."""

from dataclasses import dataclass
from enum import Enum

from godwitmast.config.document import Document, KeyGrant, Team
from godwitmast.keys.hashing import hash_key

CONTACT_EVERY_S = 5.0
"""A process that has heard from platform or peers within this is not cut off."""


class Denial(Enum):
    """Why a key does not let its caller in; the value is the public error code."""

    MISSING = "missing_key"
    UNKNOWN = "invalid_key"
    EXPIRED = "expired_key"
    CUT_OFF = "key_not_checkable"
    CLASS = "class_not_allowed"
    MODEL = "model_not_allowed"


@dataclass(frozen=True, slots=True)
class Caller:
    """Who calls, as their key says."""

    key_hash: str
    grant: KeyGrant
    team: Team

    @property
    def team_name(self) -> str:
        return self.grant.team


def identify(
    document: Document, key: str | None, wall: float, cut_off_s: float = 0.0
) -> Caller | Denial:
    """Return who calls with `key`, or why the key is of no use.

    `cut_off_s` is for how long a withdrawal could not have reached this process.
    """
    if not key:
        return Denial.MISSING
    digest = hash_key(key)
    grant = document.keys.get(digest)
    if grant is None:
        return Denial.UNKNOWN
    if grant.expires_at is not None and grant.expires_at <= wall:
        return Denial.EXPIRED
    team = document.teams[grant.team]
    if past_grace(team, cut_off_s):
        return Denial.CUT_OFF
    return Caller(digest, grant, team)


def past_grace(team: Team, cut_off_s: float) -> bool:
    """Return whether a team wants its keys refused after so long without news.

    An availability zone that is cut off cannot hear of a withdrawal. Most teams lose
    more by being refused, so there is no limit by default; a team whose keys guard
    money may set one, down to zero.
    """
    # Even a healthy process last heard of the platform one pull ago.
    grace = team.offline_grace_s
    return grace is not None and cut_off_s > grace + CONTACT_EVERY_S


def still_granted(
    document: Document, caller: Caller, wall: float, cut_off_s: float = 0.0
) -> bool:
    """Return whether an open stream's key is still good under `document`."""
    grant = document.keys.get(caller.key_hash)
    if grant is None or grant.team != caller.grant.team:
        return False
    if past_grace(document.teams[grant.team], cut_off_s):
        return False
    return grant.expires_at is None or grant.expires_at > wall


def choose_class(document: Document, caller: Caller, name: str | None) -> str | Denial:
    """Return the class that the caller asked for or falls to by its grant."""
    chosen = name or caller.grant.default_class
    if chosen not in document.classes:
        return Denial.CLASS
    for allowed in (caller.grant.classes, caller.team.classes):
        if allowed and chosen not in allowed:
            return Denial.CLASS
    return chosen


def may_use(caller: Caller, pool: str) -> bool:
    """Return whether key and team allow the model or service."""
    return all(
        not allowed or pool in allowed
        for allowed in (caller.grant.models, caller.team.models)
    )
