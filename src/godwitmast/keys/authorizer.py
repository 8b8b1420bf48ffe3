"""From a caller's key to its team, class and models."""

from dataclasses import dataclass
from enum import Enum

from godwitmast.config.document import Document, KeyGrant, Team
from godwitmast.keys.hashing import hash_key


class Denial(Enum):
    """Why a key does not let its caller in; the value is the public error code."""

    MISSING = "missing_key"
    UNKNOWN = "invalid_key"
    EXPIRED = "expired_key"
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


def identify(document: Document, key: str | None, wall: float) -> Caller | Denial:
    """Return who calls with `key`, or why the key is of no use."""
    if not key:
        return Denial.MISSING
    digest = hash_key(key)
    grant = document.keys.get(digest)
    if grant is None:
        return Denial.UNKNOWN
    if grant.expires_at is not None and grant.expires_at <= wall:
        return Denial.EXPIRED
    return Caller(digest, grant, document.teams[grant.team])


def still_granted(document: Document, caller: Caller, wall: float) -> bool:
    """Return whether an open stream's key is still good under `document`."""
    grant = document.keys.get(caller.key_hash)
    if grant is None or grant.team != caller.grant.team:
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
