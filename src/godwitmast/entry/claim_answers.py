"""Errors for a call that may run at most once and that its claim keeps from running."""

from godwitmast.claims.machine import (
    BodyMismatch,
    ClaimOutcome,
    InDoubt,
    LookupOutcome,
    Stored,
    TableUnavailable,
)
from godwitmast.dispatch.messages import NotRun
from godwitmast.entry.outbound import RawHeaders
from godwitmast.entry.refusals import ErrorAnswer

RETRY_AFTER_S = 2.0
POSSIBLY_RUNNING_S = 600.0
"""How long a call without a stored answer counts as possibly still running.

This only decides whether the caller gets a retry-after, never whether the call runs
again.
"""

OUTCOME_UNKNOWN = ErrorAnswer(
    409,
    "outcome_unknown",
    "A call with this key was sent and its outcome is not known. It is never run again.",
    NotRun.UNKNOWN,
)
STILL_RUNNING = OUTCOME_UNKNOWN._replace(
    message="A call with this key was begun and may still end. It is never run again.",
    retry_after_s=RETRY_AFTER_S,
)
ANSWER_NOT_KEPT = ErrorAnswer(
    409,
    "outcome_unknown",
    "A call with this key ran, but its answer was not kept.",
    NotRun.UNKNOWN,
)
OTHER_BODY = ErrorAnswer(
    409,
    "idempotency_conflict",
    "This idempotency key came with another request before. This one was not run.",
)
NOT_CLAIMED = ErrorAnswer(
    503,
    "claim_unavailable",
    "This call was not run: it could not be claimed. Send it with the same key again.",
    NotRun.TRUE,
    RETRY_AFTER_S,
)


def answer_claim(outcome: LookupOutcome | ClaimOutcome, wall: float) -> ErrorAnswer:
    """Return the error for a call that may not run because of its claim."""
    match outcome:
        case BodyMismatch():
            return OTHER_BODY
        case InDoubt(may_finish, at):
            running = may_finish and wall - at < POSSIBLY_RUNNING_S
            return STILL_RUNNING if running else OUTCOME_UNKNOWN
        case Stored():
            return ANSWER_NOT_KEPT
        case TableUnavailable():
            return NOT_CLAIMED
    raise AssertionError(f"{outcome} does not keep a call from running")


def header_texts(headers: RawHeaders) -> list[tuple[str, str]]:
    """Return an answer's headers as they are stored; a server may send any bytes."""
    return [
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in headers
    ]


def header_bytes(headers: list[tuple[str, str]]) -> RawHeaders:
    """Return stored headers as they were received."""
    return [(name.encode("latin-1"), encode_value(value)) for name, value in headers]


def encode_value(text: str) -> bytes:
    """Return the bytes of a header's value; older versions stored it as UTF-8."""
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        return text.encode()
