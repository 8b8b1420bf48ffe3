"""Authentication of a caller's key, and what the key allows: team, class and models."""

from dataclasses import dataclass
from enum import Enum

from godwitmast.config.document import Document, KeyGrant, Team
from godwitmast.keys.hashing import hash_key

CONTACT_EVERY_S = 5.0
"""A process whose last contact with platform or peers is no older is connected."""


class Denial(Enum):
    """Why a key is denied; the value is the public error code."""

    MISSING = "missing_key"
    UNKNOWN = "invalid_key"
    EXPIRED = "expired_key"
    OFFLINE = "key_not_checkable"
    CLASS = "class_not_allowed"
    MODEL = "model_not_allowed"


@dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated caller: its key's grant and its team."""

    key_hash: str
    grant: KeyGrant
    team: Team

    @property
    def team_name(self) -> str:
        return self.grant.team


def authenticate(
    document: Document, key: str | None, wall: float, offline_s: float = 0.0
) -> Caller | Denial:
    """Return the caller with this key, or why the key is denied.

    `offline_s` is the time for which no withdrawal could have reached this process.
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
    if exceeds_offline_grace(team, offline_s):
        return Denial.OFFLINE
    return Caller(digest, grant, team)


def exceeds_offline_grace(team: Team, offline_s: float) -> bool:
    """Return whether the team's keys are refused after this time without contact.

    A disconnected availability zone doesn't receive withdrawals of keys. Being refused
    costs most teams more than that risk, so there is no limit by default; a team whose
    keys protect money may set one, down to zero.
    """
    # Even a connected process had its last contact up to one pull ago.
    grace = team.offline_grace_s
    return grace is not None and offline_s > grace + CONTACT_EVERY_S


def still_granted(
    document: Document, caller: Caller, wall: float, offline_s: float = 0.0
) -> bool:
    """Return whether `document` still allows an open stream's key."""
    grant = document.keys.get(caller.key_hash)
    if grant is None or grant.team != caller.grant.team:
        return False
    if exceeds_offline_grace(document.teams[grant.team], offline_s):
        return False
    return grant.expires_at is None or grant.expires_at > wall


def choose_class(document: Document, caller: Caller, name: str | None) -> str | Denial:
    """Return the class that the caller asked for, or the grant's default class."""
    chosen = name or caller.grant.default_class
    if chosen not in document.classes:
        return Denial.CLASS
    for allowed in (caller.grant.classes, caller.team.classes):
        if allowed and chosen not in allowed:
            return Denial.CLASS
    return chosen


def may_use(caller: Caller, pool: str) -> bool:
    """Return whether both key and team allow the model or service."""
    return all(
        not allowed or pool in allowed
        for allowed in (caller.grant.models, caller.team.models)
    )
