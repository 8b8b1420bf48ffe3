"""The settings file that the platform writes for each process."""

from typing import Annotated, TypeAlias

from msgspec import Meta, Struct, field

from godwitmast.settings import Listen

Positive: TypeAlias = Annotated[float, Meta(gt=0)]
NotNegative: TypeAlias = Annotated[float, Meta(ge=0)]
Name: TypeAlias = Annotated[str, Meta(min_length=1)]

PORT = "[0-9]{1,4}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5]"
AddressText: TypeAlias = Annotated[str, Meta(pattern=f"^[^:]+:({PORT})$")]
"""An address of the form IP:PORT."""


def read_address(text: str) -> Listen:
    """Return a checked address as what the product listens on."""
    host, _, port = text.rpartition(":")
    return Listen(host, int(port))


class FileTable(Struct, rename="camel", frozen=True):
    """A table of the file; fields that are not named here are ignored."""


class ListenTable(FileTable, frozen=True):
    """Where this process listens: for callers, and for the balancer's question."""

    front_text: AddressText = field(name="front")
    ready_text: AddressText = field(name="ready")

    @property
    def front(self) -> Listen:
        return read_address(self.front_text)

    @property
    def ready(self) -> Listen:
        return read_address(self.ready_text)


class BoundsTable(FileTable, frozen=True):
    """The bounds that the router's own timing follows."""

    drain_ms: Positive
    grace_s: Positive
    config_deadline_ms: Positive
    strict_revoke: bool = False
    lease_ms: Positive = 3_000
    window_s: Annotated[int, Meta(gt=0)] = 5
    usage_late_s: Positive = 10
    budget_slack: NotNegative = 50
    cold_over: Annotated[float, Meta(ge=1)] = 1.0
    cold_slack: NotNegative = 0.0
    retry_budget_ratio: NotNegative = 0.2


class AddressTable(FileTable, frozen=True):
    """An interface of the platform: its store, or the one for duties of one holder."""

    address_text: AddressText = field(name="address")

    @property
    def address(self) -> Listen:
        return read_address(self.address_text)


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
    """Ports for links between VMs, from the first to the last; 0 takes a free one."""
