"""What a VM knows of all VMs' measurements, as the decisions ask for it."""

from typing import Protocol

from godwitmast.measurements.messages import FleetOutcomes, FleetRoom, FleetSpeed
from godwitmast.types import BackendId, PoolName


class FleetView(Protocol):
    """Measurements of all VMs; None where nothing is known or it is too old."""

    def speed_of(
        self, backend_id: BackendId, incarnation: int, now: float
    ) -> FleetSpeed | None: ...

    def outcomes_of(
        self, backend_id: BackendId, incarnation: int, now: float
    ) -> FleetOutcomes | None: ...

    def room_of(self, pool: PoolName, now: float) -> FleetRoom | None: ...


class EmptyView:
    """The view of a VM that shares no measurements."""

    def speed_of(
        self, backend_id: BackendId, incarnation: int, now: float
    ) -> FleetSpeed | None:
        return None

    def outcomes_of(
        self, backend_id: BackendId, incarnation: int, now: float
    ) -> FleetOutcomes | None:
        return None

    def room_of(self, pool: PoolName, now: float) -> FleetRoom | None:
        return None
