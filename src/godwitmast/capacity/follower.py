"""Keeps an entry on the published fleet, and the fleet's planner on its demand."""

import random
import secrets
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from godwitmast.background import Background
from godwitmast.capacity.demand import DEMAND_PREFIX, DemandKey, DemandMeter
from godwitmast.capacity.fleet import EMPTY, HEAD_KEY, SERVERS_KEY, FleetRow, load_fleet
from godwitmast.errors import PlatformError
from godwitmast.logs import log_event
from godwitmast.platform_api.client import PlatformClient

READ_EVERY_S = 2.0
"""A leaving server gets no new work after a few seconds; 350 entries then read 175
times a second, of the two thousand that the platform gives."""

WRITE_EVERY_S = 5.0


class FleetFollower:
    """Reads the fleet row, and writes the entry's demand."""

    def __init__(
        self,
        platform: PlatformClient,
        node: str,
        meter: DemandMeter,
        waiting: Callable[[], dict[DemandKey, int]],
        changed: Callable[[FleetRow], None],
    ) -> None:
        self.platform = platform
        self.node = node
        self.meter = meter
        self.waiting = waiting
        self.changed = changed
        self.incarnation = secrets.token_hex(4)
        self.current = EMPTY
        self.background = Background(self.run_reads, self.run_writes)

    async def start(self, tasks: TaskGroup) -> None:
        await self.background.start(tasks)

    async def close(self) -> None:
        """Ask the platform nothing more, so that its client can be closed."""
        await self.background.close()

    async def run_reads(self) -> None:
        while True:
            await self.read()
            await anyio.sleep(READ_EVERY_S * random.uniform(0.8, 1.2))

    async def read(self) -> None:
        """Take the fleet if its number is higher; without the table the last holds."""
        try:
            head = (await self.platform.read([HEAD_KEY])).get(HEAD_KEY)
            if head is None or head.value["number"] <= self.current.number:
                return
            row = (await self.platform.read([SERVERS_KEY])).get(SERVERS_KEY)
        except PlatformError:
            return
        if row is None:
            return
        fleet = load_fleet(row.value)
        if fleet.number > self.current.number:
            self.current = fleet
            log_event("fleet_in_force", number=fleet.number, servers=len(fleet.servers))
            self.changed(fleet)

    async def run_writes(self) -> None:
        while True:
            await anyio.sleep(WRITE_EVERY_S * random.uniform(0.8, 1.2))
            await self.write()

    async def write(self) -> None:
        """Write the demand; a write that is lost is made good by the next."""
        row = self.meter.dump(self.incarnation, self.waiting())
        try:
            await self.platform.transact({}, {f"{DEMAND_PREFIX}{self.node}": row})
        except PlatformError as error:
            log_event("demand_not_written", error=error)
