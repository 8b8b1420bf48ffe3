"""Messages between the relay of an availability zone and its followers.

On the wire a frame is one CBOR array: a tag, then the fields in order.
"""

from enum import IntEnum
from typing import Annotated

from msgspec import Meta, Struct

from godwitmast.measurements.codec import MAX_REPORT_BYTES
from godwitmast.types import Json

MAX_CHECKS = 100
MAX_GATHER_S = 60.0
MAX_VMS = 100_000

Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Key = Annotated[str, Meta(max_length=200)]
Report = Annotated[bytes, Meta(max_length=MAX_REPORT_BYTES)]
Versions = Annotated[dict[Key, Number], Meta(max_length=MAX_CHECKS)]


class Outcome(IntEnum):
    """Outcome of a transaction."""

    WRITTEN = 0
    CONFLICT = 1
    NOT_DONE = 2
    UNKNOWN = 3
    """It may have taken effect, or may still do so."""


class TransactAsked(Struct, array_like=True, frozen=True, tag=1):
    """Request to write `writes` if every row of `checks` still has its version."""

    number: Number
    checks: Versions
    writes: Annotated[dict[Key, Json], Meta(max_length=MAX_CHECKS)]
    gather_s: Annotated[float, Meta(ge=0, le=MAX_GATHER_S)] | None = None
    """Longest time for which the relay gathers other writes; None for its own."""


class TransactAnswered(Struct, array_like=True, frozen=True, tag=2):
    """Outcome of a transaction; `versions` as in `Written` and `Conflict`."""

    number: Number
    outcome: Outcome
    versions: Versions = {}


class ReadAsked(Struct, array_like=True, frozen=True, tag=3):
    """Request for rows, which may be a few seconds old."""

    number: Number
    keys: Annotated[list[Key], Meta(max_length=MAX_CHECKS)]


class ReadAnswered(Struct, array_like=True, frozen=True, tag=4):
    """Rows with their versions; `found` is false if the platform did not answer."""

    number: Number
    found: bool
    rows: dict[Key, tuple[Json, Number]] = {}


class Beat(Struct, array_like=True, frozen=True, tag=5):
    """Heartbeat of the relay; `able` says that the platform answers it."""

    able: bool
    vms: Annotated[int, Meta(ge=0, le=MAX_VMS)]
    """Number of VMs in all zones; 0 if unknown."""
    epoch: Number = 0
    """Epoch of the platform's table that the relay knows of."""
    measures: bool = False
    """The relay merges the measurements of its zone's VMs."""


class TableTold(Struct, array_like=True, frozen=True, tag=6):
    """All rows of a table that the relay follows, as of `version`."""

    table: Key
    version: Number
    rows: list[tuple[str, bytes | None]]
    confirmed_at: float
    """When the platform confirmed the rows, in seconds by its own clock."""


class TableChanged(Struct, array_like=True, frozen=True, tag=7):
    """The rows of a table that changed between two versions; there may be none."""

    table: Key
    after: Number
    version: Number
    rows: list[tuple[str, bytes | None]]
    confirmed_at: float


class VmMeasured(Struct, array_like=True, frozen=True, tag=8):
    """A VM's report to its relay, as `measurements.codec` encodes it."""

    report: Report


class ZoneMeasured(Struct, array_like=True, frozen=True, tag=9):
    """A zone's report, from its relay to followers and the relays of other zones."""

    report: Report


Frame = (
    TransactAsked
    | TransactAnswered
    | ReadAsked
    | ReadAnswered
    | Beat
    | TableTold
    | TableChanged
    | VmMeasured
    | ZoneMeasured
)
