"""At-most-once claims in the platform's table, without I/O.

A claim is written before the first byte of a call leaves, and never lapses: a claim
with an expiry would let a repeat run while the first call, which was only slow, still
does. It ends as done with the stored answer, as released on proof that nothing was
sent, or it stands for ever, and then the outcome is unknown.
"""

import hashlib
from dataclasses import dataclass, field
from typing import NamedTuple

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

INLINE_CHARS = 8 * 1024
"""Longer answers go to the object store; rows are to stay small."""

TRIES = 4


class Call(NamedTuple):
    """A call that may run at most once.

    `attempt_id` is new for each arrival at an entry, also of the same call.
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
    """An answer as its caller got it."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@dataclass(frozen=True, slots=True)
class Free:
    """No claim stands in the way; `version` is what a claim is written against."""

    version: int


@dataclass(frozen=True, slots=True)
class Won:
    """The claim is this attempt's: the call may be sent."""

    version: int


@dataclass(frozen=True, slots=True)
class Stored:
    """The call ran; `answer` is what it gave, or None if that was not kept."""

    answer: Answer | None


@dataclass(frozen=True, slots=True)
class OtherBody:
    """The same key came with another body before."""


@dataclass(frozen=True, slots=True)
class InDoubt:
    """The call was begun. `may_end` says that its answer may be stored yet."""

    may_end: bool
    at: float


@dataclass(frozen=True, slots=True)
class NoTable:
    """The table does not answer, so the call must not run.

    `may_stand` says that a claim may have been written all the same, which
    `release` takes back.
    """

    may_stand: bool = False


LookOutcome = Free | Stored | OtherBody | InDoubt | NoTable
TakeOutcome = Won | Stored | OtherBody | InDoubt | NoTable


def look(call: Call) -> Steps[LookOutcome]:
    """Return what is known of a call, before it waits for its turn."""
    found = yield Read([call.row_key])
    if not isinstance(found, Rows):
        return NoTable()
    row = found.rows.get(call.row_key)
    if row is None:
        return Free(0)
    return (yield from judge(call, row))


def judge(call: Call, row: Row) -> Steps[LookOutcome]:
    """Return what a claim's row means for a call."""
    value = row.value
    if value["state"] == RELEASED:
        return Free(row.version)
    if value["body"] != call.body_hash:
        return OtherBody()
    if value["state"] != DONE:
        return InDoubt(value["state"] == CLAIMED, value["at"])
    return (yield from load_answer(value["answer"]))


def load_answer(kept: Json) -> Steps[Stored | NoTable]:
    if kept is None:
        return Stored(None)
    headers = [(name, value) for name, value in kept["headers"]]
    if kept["object"] is None:
        return Stored(Answer(kept["status"], headers, kept["text"].encode()))
    content = yield GetObject(kept["object"])
    if not isinstance(content, ObjectRead):
        return NoTable()
    if content.content is None:
        return Stored(None)
    return Stored(Answer(kept["status"], headers, content.content))


def take(call: Call, free: Free) -> Steps[TakeOutcome]:
    """Claim a call before its first byte leaves.

    A write of unknown outcome is read back, and sent again while the row is as it
    was. It is the same compare-and-set by the same attempt, so if both arrive one of
    them does nothing.
    """
    sent = False
    for _ in range(TRIES):
        result = yield Transact(
            {call.row_key: free.version}, {call.row_key: call.row(CLAIMED)}
        )
        if isinstance(result, Written):
            return Won(result.versions[call.row_key])
        if result is Failure.NOT_DONE and not sent:
            return NoTable()
        sent = True
        found = yield Read([call.row_key])
        if not isinstance(found, Rows):
            continue
        row = found.rows.get(call.row_key)
        if row is not None and row.value["attempt"] == call.attempt_id:
            return Won(row.version)
        if found.version(call.row_key) != free.version:
            outcome = yield from judge_taken(call, row)
            if outcome is not None:
                return outcome
    return NoTable(may_stand=True)


def judge_taken(call: Call, row: Row | None) -> Steps[TakeOutcome | None]:
    """Return what stands in the way of a claim whose compare-and-set has failed."""
    if row is None:
        return None
    outcome = yield from judge(call, row)
    if isinstance(outcome, Free):
        # Another attempt claimed it and gave it back meanwhile. The caller's next
        # try finds it free; this one has lost.
        return NoTable()
    return outcome


def finish(call: Call, won: Won, answer: Answer | None) -> Steps[bool]:
    """Store the answer of a call that ran; False means try again."""
    kept = None
    if answer is not None:
        kept = yield from keep_answer(call, answer)
        if kept is None:
            return False
    return (yield from settle(call, won, call.row(DONE, kept)))


def keep_answer(call: Call, answer: Answer) -> Steps[Json | None]:
    """Return what the row says of the answer, after putting a long one elsewhere."""
    kept: Json = {
        "status": answer.status,
        "headers": [list(pair) for pair in answer.headers],
        "text": None,
        "object": None,
    }
    text = answer.body.decode("utf-8", "replace")
    if len(answer.body) <= INLINE_CHARS and text.encode() == answer.body:
        kept["text"] = text
        return kept
    kept["object"] = f"answers/{call.row_key}/{call.attempt_id}"
    put = yield PutObject(kept["object"], answer.body)
    return None if isinstance(put, Failure) else kept


def mark_unknown(call: Call, won: Won) -> Steps[bool]:
    """Say that the call was sent and that its answer will never be known."""
    return (yield from settle(call, won, call.row(UNKNOWN)))


def settle(call: Call, won: Won, row: Json) -> Steps[bool]:
    """End a claim of this attempt; True once its row says how it ended."""
    result = yield Transact({call.row_key: won.version}, {call.row_key: row})
    if isinstance(result, Written):
        return True
    if result is Failure.NOT_DONE:
        return False
    # Only this attempt writes to its claim, so a changed row was changed by us.
    found = yield Read([call.row_key])
    return isinstance(found, Rows) and found.version(call.row_key) != won.version


def release(call: Call) -> Steps[bool]:
    """Take back a claim of which certainly no byte was sent; False means try again.

    The row stays, as released. Were it deleted, a claim of this attempt that is still
    on its way could arrive afterwards, find no row, and stand for ever for a call
    that never ran.
    """
    found = yield Read([call.row_key])
    if not isinstance(found, Rows):
        return False
    row = found.rows.get(call.row_key)
    if row is not None:
        ours = row.value["attempt"] == call.attempt_id
        if ours and row.value["state"] == RELEASED:
            return True
        if not ours and row.value["state"] != RELEASED:
            return True
    result = yield Transact(
        {call.row_key: found.version(call.row_key)},
        {call.row_key: call.row(RELEASED)},
    )
    return isinstance(result, Written)


@dataclass
class Settlement:
    """What is left to be written of a call that ended here."""

    call: Call
    won: Won | None = None
    answer: Answer | None = None
    ran: bool = False
    tries: int = field(default=0)

    def steps(self) -> Steps[bool]:
        """Return the protocol that writes it, which is repeated until it says True."""
        if self.won is None or not self.ran:
            return release(self.call)
        if self.answer is None:
            return mark_unknown(self.call, self.won)
        return finish(self.call, self.won, self.answer)
