"""Intents: orders recorded before they are sent, so that a successor completes them."""

from enum import Enum
from typing import NamedTuple

from godwitmast.lease.machine import Guard
from godwitmast.platform_api.messages import Conflict, Written
from godwitmast.platform_api.steps import Failure, Read, Rows, Scan, Steps, Transact
from godwitmast.types import Json


class Intent(NamedTuple):
    """An order, its id, which is sent with it, and the fencing token that it has."""

    intent_id: str
    fence: int
    order: Json
    outcome: Json | None = None


class RecordOutcome(Enum):
    """Outcome of writing an intent."""

    WRITTEN = "written"
    """The intent is in the table: send the order."""
    EXISTS = "exists"
    """An intent of this id exists: read it, and do not send a new order."""
    DEPOSED = "deposed"
    """Another process holds the lease: send no order."""
    FAILED = "failed"
    """The table is down, or the outcome is not known: send no order now."""


def intent_key(duty: str, intent_id: str) -> str:
    return f"intent/{duty}/{intent_id}"


def record_intent(duty: str, guard: Guard, intent: Intent) -> Steps[RecordOutcome]:
    """Write an intent, on condition that the lease has not changed hands."""
    key = intent_key(duty, intent.intent_id)
    checks = guard.checks
    row = {"fence": intent.fence, "order": intent.order, "outcome": None}
    result = yield Transact({**checks, key: 0}, {key: row})
    match result:
        case Written():
            return RecordOutcome.WRITTEN
        case Conflict():
            if any(lease in result.versions for lease in checks):
                return RecordOutcome.DEPOSED
            return RecordOutcome.EXISTS
        case Failure.UNKNOWN:
            # Ids are unique, so a row that is found was written by this call.
            found = yield Read([key])
            if isinstance(found, Rows) and found.value(key) == row:
                return RecordOutcome.WRITTEN
    return RecordOutcome.FAILED


def settle_intent(
    duty: str, guard: Guard, intent: Intent, outcome: Json
) -> Steps[bool]:
    """Record an order's outcome, repeatably; return whether it was written."""
    key = intent_key(duty, intent.intent_id)
    row = {"fence": intent.fence, "order": intent.order, "outcome": outcome}
    result = yield Transact(guard.checks, {key: row})
    return isinstance(result, Written)


def drop_intent(duty: str, guard: Guard, intent_id: str) -> Steps[bool]:
    """Delete a settled intent; return whether it was written."""
    result = yield Transact(guard.checks, {intent_key(duty, intent_id): None})
    return isinstance(result, Written)


def read_intents(duty: str) -> Steps[list[Intent] | None]:
    """Return all intents in the table, or None if it does not answer.

    A new holder starts with them. The order of an intent without an outcome may have
    been sent, so it is looked up or sent again under its own id, never under a new one.
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
