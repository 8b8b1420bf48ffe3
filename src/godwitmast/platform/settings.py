"""The settings file that the platform writes for each process."""

from typing import Annotated, TypeAlias

from msgspec import Meta, Struct, field

from godwitmast.settings import Listen

Positive: TypeAlias = Annotated[float, Meta(gt=0)]
MemoryMb: TypeAlias = Annotated[float, Meta(gt=0, le=1_000_000)]
NotNegative: TypeAlias = Annotated[float, Meta(ge=0)]
Name: TypeAlias = Annotated[str, Meta(min_length=1)]

PORT = "[0-9]{1,4}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5]"
AddressText: TypeAlias = Annotated[str, Meta(pattern=f"^[^:]+:({PORT})$")]
"""An address of the form IP:PORT."""


def read_address(text: str) -> Listen:
    """Return an address that has been validated as a `Listen`."""
    host, _, port = text.rpartition(":")
    return Listen(host, int(port))


class FileTable(Struct, rename="camel", frozen=True):
    """A table of the file; unknown fields are ignored."""


class ListenTable(FileTable, frozen=True):
    """Listen addresses: for callers, and for the load balancer's readiness checks."""

    front_text: AddressText = field(name="front")
    ready_text: AddressText = field(name="ready")

    @property
    def front(self) -> Listen:
        return read_address(self.front_text)

    @property
    def ready(self) -> Listen:
        return read_address(self.ready_text)


class BoundsTable(FileTable, frozen=True):
    """Bounds that the router's timing is derived from."""

    drain_ms: Positive
    grace_s: Positive
    config_deadline_ms: Positive
    contact_ms: Positive = 3_000
    """After a fault of a VM or the platform, all bounds hold again from then on."""
    strict_revoke: bool = False
    lease_ms: Positive = 3_000
    window_s: Annotated[int, Meta(gt=0)] = 5
    usage_late_s: Positive = 10
    budget_slack: NotNegative = 50
    cold_over: Annotated[float, Meta(ge=1)] = 1.0
    cold_slack: NotNegative = 0.0
    retry_budget_ratio: NotNegative = 0.2


class AddressTable(FileTable, frozen=True):
    """Address of a platform interface: its store, or that for the holder of a duty."""

    address_text: AddressText = field(name="address")

    @property
    def address(self) -> Listen:
        return read_address(self.address_text)


class LimitsTable(FileTable, frozen=True):
    """What the VM has."""

    memory_mb: MemoryMb | None = None
    """Memory of the VM; without it, what the process holds isn't bounded."""


class PlatformFile(FileTable, frozen=True):
    """The whole file."""

    node: Name
    zone: Name
    ip: str
    listen: ListenTable
    bounds: BoundsTable
    platform: AddressTable
    cloud_api: AddressTable
    region: str = ""
    port_range: tuple[int, int] = (0, 0)
    """First and last port for links between VMs; 0 stands for any free port."""
    invariants: tuple[str, ...] = ()
    """The parts of the platform's rules that are in force."""
    limits: LimitsTable = LimitsTable()
    bootstrap: bool = False
    """Whether this start belongs to the first one of the whole system."""
