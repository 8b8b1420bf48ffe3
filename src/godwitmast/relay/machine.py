"""State machine that elects one VM of an availability zone as its relay, without I/O.

Load pattern: hundreds of VMs each write a row every second. Each call is paid for, and
all their transactions go to the same partition of one table. The relay of a zone sends
them in one transaction, so that there are as many calls as zones.

The relay row of a zone, in the platform's table, names its relay. It is claimed by
compare-and-set and needs no renewal: a VM that loses its link to the relay claims it.
Two relays in a zone do no harm, since a relay only forwards transactions that compare
versions; one that was replaced notices at its next read of the row.
"""

import random
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from godwitmast.platform_api.messages import Conflict, Written
from godwitmast.platform_api.steps import (
    Failure,
    Read,
    Result,
    Rows,
    Scan,
    Step,
    Transact,
)
from godwitmast.types import Json

ROW_PREFIX = "relay/"

HEARTBEAT_S = 1.0
HEARTBEAT_TIMEOUT_S = 2.5
"""A link without a heartbeat for this long counts as lost."""

DIAL_TIMEOUT_S = 1.0
CLAIM_WAIT_S = (0.1, 0.8)
"""Random wait of each VM that lost its relay, so that they do not all claim at once."""

RETRY_S = (0.5, 1.5)
"""Random wait after a call that the platform did not answer."""

OWNER_CHECK_S = (8.0, 12.0)
"""Random interval at which a relay reads whether the row still names it."""

UNAVAILABLE_S = 3.0
"""How long a relay may fail to reach a platform that answers its followers."""


class Stage(Enum):
    """Role of a VM in its zone."""

    LOOKING = "looking"
    LINKING = "linking"
    FOLLOWING = "following"
    SERVING = "serving"
    LEAVING = "leaving"


class RelayRow(NamedTuple):
    """Relay of a zone and its address; `holder` is unique to each process start."""

    holder: str
    address: str


def parse_relay_row(value: Json) -> RelayRow | None:
    """Return the relay that a row names; None if the row is empty or malformed."""
    match value:
        case {"holder": str(holder), "address": str(address)}:
            return RelayRow(holder, address)
    return None


class RelayMachine:
    """One VM, which claims the relay row, serves its zone, or follows the relay.

    `step` returns the next table step when one is due, and `apply_result` applies its
    result. In the stage LINKING the driver dials `address`.
    """

    def __init__(
        self,
        zone: str,
        own_row: RelayRow,
        random_between: Callable[[float, float], float] = random.uniform,
    ) -> None:
        self.key = ROW_PREFIX + zone
        self.own_row = own_row
        self.random_between = random_between
        self.stage = Stage.LOOKING
        self.next_at: float | None = None
        self.pending_step: Step | None = None
        self.relay_row: RelayRow | None = None
        self.version = 0
        self.abandoned_version = -1
        self.received_at = 0.0
        self.checked_at = 0.0
        self.relay_can_write = False
        self.unavailable_since: float | None = None
        self.vm_count = 0
        self.reads_zones = False
        """Whether the rows of all zones are read with the own one."""
        self.zones: dict[str, RelayRow] = {}
        """Relays of the other zones as last read; kept while the store is away."""

    @property
    def relay_available(self) -> bool:
        """Return whether this VM can write through the relay."""
        return self.stage is Stage.FOLLOWING and self.relay_can_write

    @property
    def serving(self) -> bool:
        return self.stage is Stage.SERVING

    @property
    def address(self) -> str | None:
        """Return the relay's address while it must be dialled, else None."""
        if self.stage is not Stage.LINKING or self.relay_row is None:
            return None
        return self.relay_row.address

    def step(self, now: float) -> Step | None:
        """Return the table step to take now, if one is due."""
        if self.next_at is None:
            self.next_at = now + self.random_between(*CLAIM_WAIT_S)
        busy = self.pending_step is not None or now < self.next_at
        if busy or self.stage not in (Stage.LOOKING, Stage.SERVING):
            return None
        self.pending_step = Scan(ROW_PREFIX) if self.reads_zones else Read([self.key])
        return self.pending_step

    def apply_result(self, result: Result, now: float) -> Step | None:
        """Apply the result of the step in flight; return the next step, if any."""
        step, self.pending_step = self.pending_step, None
        if self.stage is Stage.LEAVING:
            return None
        match step, result:
            case Scan(), Rows():
                self.record_zones(result)
                return self.apply_row(result, now)
            case Read(), Rows():
                return self.apply_row(result, now)
            case Transact(), Written():
                self.version = result.versions[self.key]
                self.serve(now)
            case Transact(), Conflict():
                self.next_at = now + self.random_between(*CLAIM_WAIT_S)
            case _, Failure():
                self.next_at = now + self.random_between(*RETRY_S)
        return None

    def record_zones(self, rows: Rows) -> None:
        """Record the relays of the other zones."""
        found = {
            key.removeprefix(ROW_PREFIX): parse_relay_row(row.value)
            for key, row in rows.rows.items()
            if key != self.key
        }
        self.zones = {zone: row for zone, row in found.items() if row is not None}

    def apply_row(self, rows: Rows, now: float) -> Step | None:
        """Serve, follow, or claim the relay row, depending on whom it names."""
        self.version = rows.version(self.key)
        self.relay_row = parse_relay_row(rows.value(self.key))
        if self.relay_row is not None and self.relay_row.holder == self.own_row.holder:
            self.serve(now)
            return None
        vacant = (
            self.relay_row is None or self.relay_row.address == self.own_row.address
        )
        if vacant or self.version == self.abandoned_version:
            self.stage = Stage.LOOKING
            writes = {self.key: self.own_row._asdict()}
            self.pending_step = Transact({self.key: self.version}, writes)
            return self.pending_step
        self.stage = Stage.LINKING
        self.received_at = now
        return None

    def serve(self, now: float) -> None:
        self.stage = Stage.SERVING
        self.relay_row = self.own_row
        self.next_at = now + self.random_between(*OWNER_CHECK_S)

    def link_opened(self, now: float) -> None:
        """Record an open link; the relay is used only after its first heartbeat."""
        if self.stage is Stage.LINKING:
            self.stage = Stage.FOLLOWING
            self.received_at = now
            self.relay_can_write = False
            self.unavailable_since = None

    def link_lost(self, now: float) -> None:
        """Read the relay row again soon, and claim it if it has not changed."""
        if self.stage not in (Stage.LINKING, Stage.FOLLOWING):
            return
        self.stage = Stage.LOOKING
        self.relay_can_write = False
        self.abandoned_version = self.version
        self.next_at = now + self.random_between(*CLAIM_WAIT_S)

    def record_heartbeat(self, able: bool, vm_count: int, now: float) -> None:
        """Apply a heartbeat of the relay; `vm_count` is 0 if it does not know the number."""
        self.received_at = now
        self.relay_can_write = able
        self.vm_count = vm_count or self.vm_count
        if able:
            self.unavailable_since = None

    def record_own_answer(self, now: float) -> bool:
        """Record that the platform answered this VM; return whether to drop the link.

        The link is dropped, and the relay replaced, once the platform has answered this
        VM but not the relay for `UNAVAILABLE_S`.
        """
        if self.stage is not Stage.FOLLOWING or self.relay_can_write:
            return False
        if self.unavailable_since is None:
            self.unavailable_since = now
        return now >= self.unavailable_since + UNAVAILABLE_S

    def is_silent(self, now: float) -> bool:
        """Return whether the relay's heartbeat or the link to it is overdue.

        A VM that was itself paused first reads the heartbeats that arrived meanwhile.
        """
        paused = now > self.checked_at + HEARTBEAT_S
        self.checked_at = now
        if paused:
            self.received_at = now
        limit_s = DIAL_TIMEOUT_S if self.stage is Stage.LINKING else HEARTBEAT_TIMEOUT_S
        waits = self.stage in (Stage.LINKING, Stage.FOLLOWING)
        return waits and now >= self.received_at + limit_s

    def leave(self) -> Step | None:
        """Stop for good; a relay returns the step that deletes its row."""
        held = self.serving
        self.stage = Stage.LEAVING
        if not held:
            return None
        self.pending_step = Transact({self.key: self.version}, {self.key: None})
        return self.pending_step
