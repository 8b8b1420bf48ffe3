"""State machine of at-most-once claims in the platform's table, without I/O.

A claim is written before the first byte of a call is sent, and never expires: with an
expiry, a retry could run while the first call, which was only slow, still does. A claim
ends as done, with the stored answer, or as released, on proof that nothing was sent. If
neither can be proven it stays for ever, and the outcome of the call is unknown.
"""

import hashlib
from dataclasses import dataclass, field
from typing import Annotated, NamedTuple, TypedDict

from msgspec import Meta

from godwitmast.bounds import ClockSeconds
from godwitmast.decoding import convert
from godwitmast.errors import Undecodable
from godwitmast.logs import log_event
from godwitmast.platform_api.messages import Row, Written
from godwitmast.platform_api.steps import (
    Failure,
    GetObject,
    ObjectRead,
    PutObject,
    Read,
    Rows,
    Steps,
    Transact,
)
from godwitmast.types import Json

CLAIMED = "claimed"
UNKNOWN = "unknown"
DONE = "done"
RELEASED = "released"

MAX_INLINE_BYTES = 8 * 1024
"""Longer answers go to the object store, to keep rows small."""

MAX_TRIES = 4


class Call(NamedTuple):
    """A call that may run at most once.

    `attempt_id` is unique to each arrival at an entry, also of the same call.
    """

    team: str
    idempotency_key: str
    body_hash: str
    attempt_id: str
    at: float = 0.0

    @property
    def row_key(self) -> str:
        digest = hashlib.sha256(self.idempotency_key.encode()).hexdigest()
        return f"claim/{self.team}/{digest}"

    def row(self, state: str, answer: Json = None) -> Json:
        return {
            "body": self.body_hash,
            "attempt": self.attempt_id,
            "at": self.at,
            "state": state,
            "answer": answer,
        }


class Answer(NamedTuple):
    """An answer as it was sent to the caller."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@dataclass(frozen=True, slots=True)
class Unclaimed:
    """The call is not claimed; a claim must replace the row of version `version`."""

    version: int


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """This attempt holds the claim: the call may be sent."""

    version: int


@dataclass(frozen=True, slots=True)
class Stored:
    """The call ran; `answer` is None if its answer was not stored."""

    answer: Answer | None


@dataclass(frozen=True, slots=True)
class BodyMismatch:
    """The idempotency key was used before with another body."""


@dataclass(frozen=True, slots=True)
class InDoubt:
    """The call was claimed at `at`; if `may_finish`, its answer may still be stored."""

    may_finish: bool
    at: float


@dataclass(frozen=True, slots=True)
class TableUnavailable:
    """The claim cannot be made or read now, so the call must not run.

    The table or the object store does not answer, or another attempt claimed and
    released the call meanwhile.

    `may_stand` says that a claim may have been written even so; `release` reverts it.
    """

    may_stand: bool = False


LookupOutcome = Unclaimed | Stored | BodyMismatch | InDoubt | TableUnavailable
ClaimOutcome = ClaimGranted | Stored | BodyMismatch | InDoubt | TableUnavailable


class StoredAnswer(TypedDict):
    """An answer in the row of a claim: as text, or in an object."""

    status: Annotated[int, Meta(ge=100, le=599)]
    headers: list[tuple[str, str]]
    text: str | None
    object: str | None


class StoredClaim(TypedDict):
    """The row of a claim."""

    body: str
    attempt: str
    at: ClockSeconds
    state: str
    answer: StoredAnswer | None


UNREADABLE: StoredClaim = {
    "body": "",
    "attempt": "",
    "at": 0.0,
    "state": UNKNOWN,
    "answer": None,
}
"""Stands for a row that another program wrote: nobody knows whether the call ran."""


def read_claim(key: str, row: Row) -> StoredClaim:
    """Return the claim in a row, UNREADABLE if it is not valid."""
    try:
        claim = convert(row.value, StoredClaim)
        answer = claim["answer"]
        if answer is not None and (answer["text"] is None) == (
            answer["object"] is None
        ):
            raise Undecodable("an answer has either a text or an object")
    except Undecodable as error:
        log_event("claim_row_bad", level="WARNING", row=key, error=str(error))
        return UNREADABLE
    return claim


def look_up(call: Call) -> Steps[LookupOutcome]:
    """Return what the table says of a call, before the call queues."""
    found = yield Read([call.row_key])
    if not isinstance(found, Rows):
        return TableUnavailable()
    row = found.rows.get(call.row_key)
    if row is None:
        return Unclaimed(0)
    return (yield from interpret_row(call, row))


def interpret_row(call: Call, row: Row) -> Steps[LookupOutcome]:
    """Return what the row of a claim means for a call."""
    value = read_claim(call.row_key, row)
    if value is UNREADABLE:
        return InDoubt(False, value["at"])
    if value["state"] == RELEASED:
        return Unclaimed(row.version)
    if value["body"] != call.body_hash:
        return BodyMismatch()
    if value["state"] != DONE:
        return InDoubt(value["state"] == CLAIMED, value["at"])
    return (yield from load_answer(value["answer"]))


def load_answer(
    stored: StoredAnswer | None,
) -> Steps[Stored | TableUnavailable]:
    if stored is None:
        return Stored(None)
    headers = [(name, value) for name, value in stored["headers"]]
    if stored["object"] is None:
        text = stored["text"] or ""
        return Stored(Answer(stored["status"], headers, text.encode()))
    content = yield GetObject(stored["object"])
    if not isinstance(content, ObjectRead):
        return TableUnavailable()
    if content.content is None:
        return Stored(None)
    return Stored(Answer(stored["status"], headers, content.content))


def claim(call: Call, unclaimed: Unclaimed) -> Steps[ClaimOutcome]:
    """Claim a call before its first byte is sent.

    After a write of unknown outcome the row is read, and the write repeated as long as
    the row has not changed. It is the same compare-and-set by the same attempt, so that
    of two that arrive one has no effect.
    """
    sent = False
    for _ in range(MAX_TRIES):
        result = yield Transact(
            {call.row_key: unclaimed.version}, {call.row_key: call.row(CLAIMED)}
        )
        if isinstance(result, Written):
            return ClaimGranted(result.versions[call.row_key])
        if result is Failure.NOT_DONE and not sent:
            return TableUnavailable()
        sent = True
        found = yield Read([call.row_key])
        if not isinstance(found, Rows):
            continue
        row = found.rows.get(call.row_key)
        if (
            row is not None
            and read_claim(call.row_key, row)["attempt"] == call.attempt_id
        ):
            return ClaimGranted(row.version)
        if found.version(call.row_key) != unclaimed.version:
            outcome = yield from interpret_conflict(call, row)
            if outcome is not None:
                return outcome
    return TableUnavailable(may_stand=True)


def interpret_conflict(call: Call, row: Row | None) -> Steps[ClaimOutcome | None]:
    """Return the outcome of a claim whose compare-and-set failed; None to try again."""
    if row is None:
        return None
    outcome = yield from interpret_row(call, row)
    if isinstance(outcome, Unclaimed):
        # Another attempt claimed and released the call meanwhile. This attempt fails;
        # the caller's next one finds the call unclaimed.
        return TableUnavailable()
    return outcome


def finish(call: Call, granted: ClaimGranted, answer: Answer | None) -> Steps[bool]:
    """Store the answer of a call that ran; return False if it must be repeated."""
    stored = None
    if answer is not None:
        stored = yield from store_answer(call, answer)
        if stored is None:
            return False
    return (yield from settle(call, granted, call.row(DONE, stored)))


def store_answer(call: Call, answer: Answer) -> Steps[Json | None]:
    """Return the row's value for an answer; None if a long one could not be stored.

    A long answer, or one that is not UTF-8, is put into the object store.
    """
    stored: Json = {
        "status": answer.status,
        "headers": [list(pair) for pair in answer.headers],
        "text": None,
        "object": None,
    }
    text = answer.body.decode("utf-8", "replace")
    if len(answer.body) <= MAX_INLINE_BYTES and text.encode() == answer.body:
        stored["text"] = text
        return stored
    stored["object"] = f"answers/{call.row_key}/{call.attempt_id}"
    put = yield PutObject(stored["object"], answer.body)
    return None if isinstance(put, Failure) else stored


def mark_unknown(call: Call, granted: ClaimGranted) -> Steps[bool]:
    """Record that the call was sent and that its answer will never be known."""
    return (yield from settle(call, granted, call.row(UNKNOWN)))


def settle(call: Call, granted: ClaimGranted, row: Json) -> Steps[bool]:
    """End this attempt's claim; return True once its row holds the end state."""
    result = yield Transact({call.row_key: granted.version}, {call.row_key: row})
    if isinstance(result, Written):
        return True
    if result is Failure.NOT_DONE:
        return False
    # Only this attempt writes to its claim, so a changed version is its own write.
    found = yield Read([call.row_key])
    return isinstance(found, Rows) and found.version(call.row_key) != granted.version


def release(call: Call) -> Steps[bool]:
    """Release the claim of a call that was certainly not sent; False means try again.

    The row stays, as released. If it were deleted, a delayed write of this attempt's
    claim could arrive afterwards, find no row, and leave a claim for ever for a call
    that never ran.
    """
    found = yield Read([call.row_key])
    if not isinstance(found, Rows):
        return False
    row = found.rows.get(call.row_key)
    if row is not None:
        stored = read_claim(call.row_key, row)
        ours = stored["attempt"] == call.attempt_id
        if ours and stored["state"] == RELEASED:
            return True
        if not ours and stored["state"] != RELEASED:
            return True
    result = yield Transact(
        {call.row_key: found.version(call.row_key)},
        {call.row_key: call.row(RELEASED)},
    )
    return isinstance(result, Written)


@dataclass
class Settlement:
    """The write that ends a call's claim."""

    call: Call
    granted: ClaimGranted | None = None
    answer: Answer | None = None
    ran: bool = False
    tries: int = field(default=0)

    def steps(self) -> Steps[bool]:
        """Return the steps that write it; they are repeated until they return True."""
        if self.granted is None or not self.ran:
            return release(self.call)
        if self.answer is None:
            return mark_unknown(self.call, self.granted)
        return finish(self.call, self.granted, self.answer)
