"""Keeps an entry on the published fleet, and the fleet's planner on its demand."""

import secrets
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from godwitmast.background import Background
from godwitmast.capacity.demand import DEMAND_PREFIX, DemandKey, DemandMeter
from godwitmast.capacity.fleet import EMPTY, SERVERS_KEY, FleetRow, load_fleet
from godwitmast.errors import PlatformError
from godwitmast.logs import log_event
from godwitmast.platform_api.client import PlatformClient
from godwitmast.types import Json


class FleetFollower:
    """Reads the fleet when its number rises, and gives the row of the entry's demand.

    The number is read along with the configuration's head, and the demand is written
    with the node's own row. Each had a request of its own before: 0.5 reads and 0.2
    writes a second more for every node.
    """

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
        self.newer = anyio.Event()
        self.background = Background(self.run)

    async def start(self, tasks: TaskGroup) -> None:
        await self.background.start(tasks)

    async def close(self) -> None:
        """Ask the platform nothing more, so that its client can be closed."""
        await self.background.close()

    def head_seen(self, head: Json) -> None:
        """Take the fleet's number, which comes with each read of the configuration's.

        A read that fails is made up for when the number is seen again.
        """
        if head["number"] > self.current.number:
            self.newer.set()

    async def run(self) -> None:
        while True:
            await self.newer.wait()
            self.newer = anyio.Event()
            await self.read()

    async def read(self) -> None:
        """Take the fleet if its number is higher; without the table the last holds."""
        try:
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

    def demand_row(self) -> dict[str, Json]:
        """Return the row that tells the planner this entry's demand.

        It is cumulative, so a write that is lost is made good by the next.
        """
        row = self.meter.dump(self.incarnation, self.waiting())
        return {f"{DEMAND_PREFIX}{self.node}": row}
