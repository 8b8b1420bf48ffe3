"""Reader of the published fleet and source of the demand row, in an entry."""

import secrets
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from godwitmast.background import BackgroundTasks
from godwitmast.capacity.demand import DEMAND_KEY_PREFIX, DemandKey, DemandMeter
from godwitmast.capacity.fleet import EMPTY_FLEET, SERVERS_KEY, FleetRow, load_fleet
from godwitmast.errors import PlatformError
from godwitmast.logs import log_event
from godwitmast.platform_api.client import PlatformClient
from godwitmast.types import Json


class FleetFollower:
    """Reads the published fleet when its number rises, and builds the demand row.

    The number is read together with the configuration's head, and the demand is written
    together with the node's own row. Separate requests would add 0.5 reads and 0.2
    writes a second for every node.
    """

    def __init__(
        self,
        platform: PlatformClient,
        node: str,
        meter: DemandMeter,
        waiting: Callable[[], dict[DemandKey, int]],
        on_fleet_change: Callable[[FleetRow], None],
    ) -> None:
        self.platform = platform
        self.node = node
        self.meter = meter
        self.waiting = waiting
        self.on_fleet_change = on_fleet_change
        self.incarnation = secrets.token_hex(4)
        self.current = EMPTY_FLEET
        self.newer_published = anyio.Event()
        self.background = BackgroundTasks(self.run)

    async def start(self, tasks: TaskGroup) -> None:
        await self.background.start(tasks)

    async def close(self) -> None:
        """Stop reading, so that the platform client can be closed."""
        await self.background.close()

    def check_head(self, head: Json) -> None:
        """Wake the reader if the published number is higher than the one in force.

        A read that fails is repeated when the number is polled again.
        """
        if head["number"] > self.current.number:
            self.newer_published.set()

    async def run(self) -> None:
        while True:
            await self.newer_published.wait()
            self.newer_published = anyio.Event()
            await self.read()

    async def read(self) -> None:
        """Apply the published fleet if its number is higher; do nothing on errors."""
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
            self.on_fleet_change(fleet)

    def demand_row(self) -> dict[str, Json]:
        """Return the row that reports this entry's demand to the planner.

        Its counts are cumulative, so that the next write makes up for a lost one.
        """
        row = self.meter.dump(self.incarnation, self.waiting())
        return {f"{DEMAND_KEY_PREFIX}{self.node}": row}
