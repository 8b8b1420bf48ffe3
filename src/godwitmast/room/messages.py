"""What admission asks of the room, and what operators are told of it."""

from enum import Enum
from typing import NamedTuple

from godwitmast.types import ClassName, PoolName, RequestId, TeamName


class HoldCause(Enum):
    """Why a waiting request does not start although a server would take it."""

    SLOTS = "slots"
    """This VM runs its part of the slots that all VMs leave to the tier."""
    RESERVED = "reserved"
    """The slots left are reserved for more urgent requests."""
    TEAM = "team"
    """The team has its share of the slots while others wait."""


class ClassTimes(NamedTuple):
    """What admission measured of one class on a pool.

    `hold_s` is the mean time for which a request holds a slot, None if it is not known.
    `wait_s` is how long one may wait, `per_s` the arrivals at this VM. `turn_share` is
    the least share of the pool that the class gets.
    """

    tier: int
    hold_s: float | None
    wait_s: float
    per_s: float
    turn_share: float


class RoomSummary(NamedTuple):
    """The state of a pool that a decision was based on."""

    slots: float
    usable: float
    running: float
    waiting: float
    reserved: float
    vms: int
    certainty: float


class RoomNotice(NamedTuple):
    """A request that was refused, or that started late, with the cause.

    `held_by` is why it last did not start while it waited, `wait_s` how long it waited,
    or would have to.
    """

    event: str
    request_id: RequestId
    pool: PoolName
    team: TeamName
    class_name: ClassName
    held_by: str | None
    wait_s: float
    retry_after_s: float | None
    room: RoomSummary
