"""The settings file that the platform writes for each process."""

from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field
from pydantic.alias_generators import to_camel

from godwitmast.settings import Listen, Seconds

Milliseconds = Annotated[float, Field(gt=0)]


def split_address(text: Any) -> Any:
    """Return an address of the form IP:PORT as what the product listens on."""
    if not isinstance(text, str):
        return text
    host, _, port = text.rpartition(":")
    return {"host": host, "port": int(port)} if port.isdecimal() else text


Address = Annotated[Listen, BeforeValidator(split_address)]


class FileTable(BaseModel):
    """A table of the file; fields that are not named here are ignored."""

    model_config = ConfigDict(alias_generator=to_camel, extra="ignore", frozen=True)


class ListenTable(FileTable):
    """Where this process listens: for callers, and for the balancer's question."""

    front: Address
    ready: Address


class BoundsTable(FileTable):
    """The bounds that the router's own timing follows."""

    drain_ms: Milliseconds
    grace_s: Seconds
    config_deadline_ms: Milliseconds
    strict_revoke: bool = False
    lease_ms: Milliseconds = 3_000
    window_s: Annotated[int, Field(gt=0)] = 5
    usage_late_s: Seconds = 10
    budget_slack: Annotated[float, Field(ge=0)] = 50
    cold_over: Annotated[float, Field(ge=1)] = 1.0
    cold_slack: Annotated[float, Field(ge=0)] = 0.0
    retry_budget_ratio: Annotated[float, Field(ge=0)] = 0.2


class StoreTable(FileTable):
    """The platform's store."""

    address: Address


class DutyTable(FileTable):
    """The platform's interface for duties of one holder at a time."""

    address: Address


class PlatformFile(FileTable):
    """The whole file."""

    node: Annotated[str, Field(min_length=1)]
    zone: Annotated[str, Field(min_length=1)]
    region: str = ""
    ip: str
    port_range: tuple[int, int] = (0, 0)
    """Ports for links between VMs, from the first to the last; 0 takes a free one."""
    listen: ListenTable
    bounds: BoundsTable
    platform: StoreTable
    cloud_api: DutyTable
