"""Which VM of an availability zone writes to the platform for the others, without I/O.

Load pattern: hundreds of VMs each write a row every second. Each call is paid for, and
all their transactions go to the same part of one table. One VM a zone sends them
together, which makes as many calls as there are zones.

The seat of a zone is a row of the platform's table that names the relay. It is claimed
by compare-and-set, and needs no renewal: whoever loses its link to the relay claims the
seat. Two relays in one zone do no harm, as a relay only carries transactions that
compare versions; one that lost its seat finds out at its next look.
"""

import random
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from godwitmast.platform_api.messages import Conflict, Written
from godwitmast.platform_api.steps import Failure, Read, Result, Rows, Step, Transact
from godwitmast.types import Json

SEAT_PREFIX = "relay/"

BEAT_S = 1.0
SILENCE_S = 2.5
"""A relay that was not heard for so long is taken for lost."""

DIAL_S = 1.0
CLAIM_WAIT_S = (0.1, 0.8)
"""Drawn by each VM that lost its relay, so that they do not all claim at once."""

RETRY_S = (0.5, 1.5)
"""Drawn after a call that the platform did not answer."""

LOOK_S = (8.0, 12.0)
"""How often a relay asks whether the seat is still its own."""

ABSENT_S = 3.0
"""How long a relay may be turned away by a platform that answers others."""


class Stage(Enum):
    """What a VM is to its zone."""

    LOOKING = "looking"
    LINKING = "linking"
    FOLLOWING = "following"
    SERVING = "serving"
    LEAVING = "leaving"


class Seat(NamedTuple):
    """Who is the relay of a zone, and where; `holder` is new at each process start."""

    holder: str
    address: str


def read_seat(value: Json) -> Seat | None:
    """Return who holds a seat; a row that names nobody, or cannot be read, is vacant."""
    match value:
        case {"holder": str(holder), "address": str(address)}:
            return Seat(holder, address)
    return None


class RelayMachine:
    """One VM's part in its zone.

    `step` returns the next table step when one is due, and `took` takes its result.
    `address` is to be dialled in the stage LINKING.
    """

    def __init__(
        self,
        zone: str,
        own: Seat,
        draw: Callable[[float, float], float] = random.uniform,
    ) -> None:
        self.key = SEAT_PREFIX + zone
        self.own = own
        self.draw = draw
        self.stage = Stage.LOOKING
        self.next_at: float | None = None
        self.out: Step | None = None
        self.seat: Seat | None = None
        self.version = 0
        self.lost_version = -1
        self.heard_at = 0.0
        self.checked_at = 0.0
        self.relay_able = False
        self.absent_since: float | None = None
        self.vms = 0

    @property
    def linked(self) -> bool:
        """Return whether the relay can be asked to write."""
        return self.stage is Stage.FOLLOWING and self.relay_able

    @property
    def serving(self) -> bool:
        return self.stage is Stage.SERVING

    @property
    def address(self) -> str | None:
        """Return the address to dial, if the relay is to be dialled."""
        if self.stage is not Stage.LINKING or self.seat is None:
            return None
        return self.seat.address

    def step(self, now: float) -> Step | None:
        """Return the table step to take now, if one is due."""
        if self.next_at is None:
            self.next_at = now + self.draw(*CLAIM_WAIT_S)
        busy = self.out is not None or now < self.next_at
        if busy or self.stage not in (Stage.LOOKING, Stage.SERVING):
            return None
        self.out = Read([self.key])
        return self.out

    def took(self, result: Result, now: float) -> Step | None:
        """Take the result of the step that is out; return the one to follow it."""
        step, self.out = self.out, None
        if self.stage is Stage.LEAVING:
            return None
        match step, result:
            case Read(), Rows():
                return self.observe(result, now)
            case Transact(), Written():
                self.version = result.versions[self.key]
                self.serve(now)
            case Transact(), Conflict():
                self.next_at = now + self.draw(*CLAIM_WAIT_S)
            case _, Failure():
                self.next_at = now + self.draw(*RETRY_S)
        return None

    def observe(self, rows: Rows, now: float) -> Step | None:
        """Serve, follow, or claim the seat, by who holds it."""
        self.version = rows.version(self.key)
        self.seat = read_seat(rows.value(self.key))
        if self.seat is not None and self.seat.holder == self.own.holder:
            self.serve(now)
            return None
        vacant = self.seat is None or self.seat.address == self.own.address
        if vacant or self.version == self.lost_version:
            self.stage = Stage.LOOKING
            writes = {self.key: self.own._asdict()}
            self.out = Transact({self.key: self.version}, writes)
            return self.out
        self.stage = Stage.LINKING
        self.heard_at = now
        return None

    def serve(self, now: float) -> None:
        self.stage = Stage.SERVING
        self.seat = self.own
        self.next_at = now + self.draw(*LOOK_S)

    def link_opened(self, now: float) -> None:
        """Note that the relay was reached; it is asked only once it was heard."""
        if self.stage is Stage.LINKING:
            self.stage = Stage.FOLLOWING
            self.heard_at = now
            self.relay_able = False
            self.absent_since = None

    def link_lost(self, now: float) -> None:
        """Look at the seat again, and claim it if it has not changed hands."""
        if self.stage not in (Stage.LINKING, Stage.FOLLOWING):
            return
        self.stage = Stage.LOOKING
        self.relay_able = False
        self.lost_version = self.version
        self.next_at = now + self.draw(*CLAIM_WAIT_S)

    def heard(self, able: bool, vms: int, now: float) -> None:
        """Take a beat of the relay; `vms` is 0 if it does not know."""
        self.heard_at = now
        self.relay_able = able
        self.vms = vms or self.vms
        if able:
            self.absent_since = None

    def answered(self, now: float) -> bool:
        """Note that the platform answered this VM; return whether to drop the link.

        A relay that is turned away by a platform which answers others is replaced.
        """
        if self.stage is not Stage.FOLLOWING or self.relay_able:
            return False
        if self.absent_since is None:
            self.absent_since = now
        return now >= self.absent_since + ABSENT_S

    def silent(self, now: float) -> bool:
        """Return whether the relay was not heard for too long.

        A VM that was frozen itself first reads what has come meanwhile.
        """
        paused = now > self.checked_at + BEAT_S
        self.checked_at = now
        if paused:
            self.heard_at = now
        limit_s = DIAL_S if self.stage is Stage.LINKING else SILENCE_S
        waits = self.stage in (Stage.LINKING, Stage.FOLLOWING)
        return waits and now >= self.heard_at + limit_s

    def leave(self) -> Step | None:
        """Stop for good; return the step that gives the seat up, if it is held."""
        held = self.serving
        self.stage = Stage.LEAVING
        if not held:
            return None
        self.out = Transact({self.key: self.version}, {self.key: None})
        return self.out
