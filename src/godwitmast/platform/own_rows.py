"""Shapes of the router's rows in the platform's table, which others may write too."""

from typing import Any, NotRequired, TypedDict

from godwitmast.bounds import (
    ClockSeconds,
    Fence,
    Name,
    Sum,
    UnixSeconds,
    VmCount,
    WholeNumber,
)
from godwitmast.decoding import decode_json
from godwitmast.errors import Undecodable
from godwitmast.platform_api.time_agreement import CLOCK_KEY
from godwitmast.types import Json
from godwitmast.usage.rows import (
    HEAD_KEY,
    NODE_PREFIX,
    REPORTED_KEY,
    WINDOW_PREFIX,
    node_key,
)

LEASE_PREFIX = "lease/"
BEAT_SUFFIX = "/beat"


class LeaseFields(TypedDict):
    """The row of a lease; other fields have a default where they are not valid."""

    holder: str
    fence: Fence
    epoch: NotRequired[WholeNumber]


class BeatFields(TypedDict):
    """The row of a lease's heartbeat."""

    fence: Fence
    beat: WholeNumber
    crowd: NotRequired[VmCount]


class ClockFields(TypedDict):
    difference_s: ClockSeconds
    proposed_s: NotRequired[ClockSeconds]


class UsageHeadFields(TypedDict):
    frozen: UnixSeconds
    marks: dict[str, UnixSeconds]
    epoch: NotRequired[WholeNumber | None]


class ReportedFields(TypedDict):
    start: UnixSeconds
    digest: str
    settled: NotRequired[bool]


class WindowFields(TypedDict):
    object: Name
    digest: str


class NodeFields(TypedDict):
    """The row of a VM's run; see `usage.rows.NodeRow`."""

    node: str
    zone: str
    incarnation: str
    sequence: WholeNumber
    config: WholeNumber
    window: UnixSeconds
    segments: dict[UnixSeconds, list[tuple[str, str, str, Sum, Sum, Sum]]]
    load: dict[str, Any]
    ended: NotRequired[bool]
    sealed: NotRequired[bool]
    collected: NotRequired[UnixSeconds]


READ_WHOLE = (NodeFields, UsageHeadFields)
"""Shapes whose readers take each field of the row, and no other."""


def shape_of(key: str) -> Any:
    """Return the type of a row's value; None if its reader checks it."""
    if key.startswith(LEASE_PREFIX):
        return BeatFields if key.endswith(BEAT_SUFFIX) else LeaseFields
    if key.startswith(NODE_PREFIX):
        return NodeFields
    if key.startswith(WINDOW_PREFIX):
        return WindowFields
    shapes = {CLOCK_KEY: ClockFields, HEAD_KEY: UsageHeadFields}
    return {**shapes, REPORTED_KEY: ReportedFields}.get(key)


def decode_own_row(key: str, content: bytes) -> Json:
    """Return the value of one of the router's rows; raise Undecodable if not valid.

    A row whose reader checks it has the value None then.
    """
    shape = shape_of(key)
    try:
        value: Json = decode_json(content, object)
    except Undecodable:
        if shape is None:
            return None
        raise
    if shape is not None:
        decode_json(content, shape)
    if shape in READ_WHOLE and value.keys() - shape.__annotations__.keys():
        raise Undecodable(f"unknown fields, of {sorted(value)!r:.200}")
    if shape is NodeFields and key != node_key(value["incarnation"]):
        # It could neither be sealed nor removed, and would hold all usage back.
        raise Undecodable(f"row of another run, {value['incarnation']!r:.200}")
    return value
