"""Orders written down before they are given, so that a successor goes on with them."""

from enum import Enum
from typing import NamedTuple

from godwitmast.lease.machine import Guard
from godwitmast.platform_api.messages import Conflict, Written
from godwitmast.platform_api.steps import Failure, Read, Rows, Scan, Steps, Transact
from godwitmast.types import Json


class Intent(NamedTuple):
    """An order with its id, which goes out with it, and the fence it was given under."""

    intent_id: str
    fence: int
    order: Json
    outcome: Json | None = None


class Recorded(Enum):
    """What became of writing an intent."""

    WRITTEN = "written"
    """It is in the table: give the order."""
    EXISTS = "exists"
    """This id was written before: look at it, and do not order anew."""
    DEPOSED = "deposed"
    """Another process holds the lease: give no order."""
    FAILED = "failed"
    """The table is away, or the outcome is not known: give no order now."""


def intent_key(duty: str, intent_id: str) -> str:
    return f"intent/{duty}/{intent_id}"


def record_intent(duty: str, guard: Guard, intent: Intent) -> Steps[Recorded]:
    """Write an intent under the lease; only a holder that was not deposed can."""
    key = intent_key(duty, intent.intent_id)
    checks = guard.checks
    row = {"fence": intent.fence, "order": intent.order, "outcome": None}
    result = yield Transact({**checks, key: 0}, {key: row})
    match result:
        case Written():
            return Recorded.WRITTEN
        case Conflict():
            if any(lease in result.versions for lease in checks):
                return Recorded.DEPOSED
            return Recorded.EXISTS
        case Failure.UNKNOWN:
            # Ids are never used twice, so finding the row means that it is ours.
            found = yield Read([key])
            if isinstance(found, Rows) and found.value(key) == row:
                return Recorded.WRITTEN
    return Recorded.FAILED


def settle_intent(
    duty: str, guard: Guard, intent: Intent, outcome: Json
) -> Steps[bool]:
    """Write down what came of an order; repeating it is safe."""
    key = intent_key(duty, intent.intent_id)
    row = {"fence": intent.fence, "order": intent.order, "outcome": outcome}
    result = yield Transact(guard.checks, {key: row})
    return isinstance(result, Written)


def drop_intent(duty: str, guard: Guard, intent_id: str) -> Steps[bool]:
    """Forget a settled intent."""
    result = yield Transact(guard.checks, {intent_key(duty, intent_id): None})
    return isinstance(result, Written)


def read_intents(duty: str) -> Steps[list[Intent] | None]:
    """Return every intent that stands, or None when the table does not answer.

    A new holder starts with these: an intent without an outcome may have been
    ordered, so it is asked after or sent again under its own id, never under a new one.
    """
    prefix = intent_key(duty, "")
    found = yield Scan(prefix)
    if not isinstance(found, Rows):
        return None
    return [
        Intent(
            key.removeprefix(prefix),
            row.value["fence"],
            row.value["order"],
            row.value["outcome"],
        )
        for key, row in found.rows.items()
    ]
