"""Messages between peers, and the outputs of the state machine to its driver.

On the wire a frame is one CBOR array, in the order of the fields below, without
trailing defaults. Times on the wire are remaining seconds, never clock readings,
because no two nodes share a clock.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated, NamedTuple

from msgspec import Meta

from godwitmast.types import Json

MAX_RECORDS = 256
"""Records per frame, so that a frame with urgent records stays small."""

MAX_HAVES = 8192
MAX_PRUNES = 1024

Text = Annotated[str, Meta(max_length=128)]
NonNegativeInt = Annotated[int, Meta(ge=0, le=2**62)]
NonNegativeFloat = Annotated[float, Meta(ge=0, le=1e18)]
Digest = Annotated[int, Meta(ge=0, lt=2**32)]
TimeLeft = Annotated[float, Meta(ge=0, le=86_400)]


class Topic(IntEnum):
    """Subject of a record; `records.RULES` says how each topic is spread."""

    MEMBER = 0
    WITHDRAWN_KEY = 1
    LEAVING_BACKEND = 2
    QUARANTINE = 3
    CRASH_SUSPICION = 4
    LOAD = 5
    SERVICE = 6


class MemberState(IntEnum):
    """States of a member; within an incarnation a later one overrides the earlier."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Place(NamedTuple):
    """Address, zone and region of a node; the value of a MEMBER record."""

    address: Text
    zone: Text
    region: Text


class LoadEntry(NamedTuple):
    """Load of the backend server whose name has the 32-bit hash `backend_hash`."""

    backend_hash: Digest
    running: Annotated[int, Meta(ge=0, le=65_535)]
    waiting: Annotated[int, Meta(ge=0, le=65_535)]
    tokens_per_s: Annotated[int, Meta(ge=0, le=10_000_000)]
    age_tenths: Annotated[int, Meta(ge=0, le=6_000)]


class Record(NamedTuple):
    """A gossiped value; of two with the same topic and key the higher version wins."""

    topic: Topic
    key: Text
    version: NonNegativeInt
    left_s: TimeLeft
    value: Json


class Have(NamedTuple):
    """Version of a member or record that the sender has, for a full comparison."""

    topic: Topic
    key: Text
    version: NonNegativeInt


class Beat(NamedTuple):
    """Heartbeat, which is part of every frame.

    The digests are equal on two nodes that have the same members and the same records
    that are not periodic; `wanted` says that the sender wants to keep the link.
    """

    config_version: NonNegativeInt
    member_digest: Digest
    shared_digest: Digest
    wanted: bool = True


class Hello(NamedTuple):
    """Identity of the sender, in the first frame of a link."""

    node: Text
    incarnation: NonNegativeInt
    place: Place


class ConfigKind(IntEnum):
    """Kind of a `ConfigPart`: a request, deltas, or a whole snapshot."""

    WANT = 0
    DELTAS = 1
    SNAPSHOT = 2


class ConfigPart(NamedTuple):
    """A request for what changed after version `after`, or that change itself."""

    kind: ConfigKind
    after: NonNegativeInt
    number: NonNegativeInt = 0
    payload: Json = None


class Frame(NamedTuple):
    """One message on a link."""

    beat: Beat
    records: Annotated[tuple[Record, ...], Meta(max_length=MAX_RECORDS)] = ()
    hello: Hello | None = None
    config: ConfigPart | None = None
    haves: Annotated[tuple[Have, ...], Meta(max_length=MAX_HAVES)] | None = None
    answer_haves: bool = False
    pruned: Annotated[tuple[Text, ...], Meta(max_length=MAX_PRUNES)] = ()
    grafted: Annotated[tuple[Text, ...], Meta(max_length=MAX_PRUNES)] = ()
    bye: bool = False


class KnownVm(NamedTuple):
    """A possible peer's address, from the settings or the platform's list."""

    address: str
    node: str | None = None


@dataclass(frozen=True, slots=True)
class Send:
    """Asks the driver to write a frame to a link, then call `sent`."""

    link_id: int
    frame: Frame


@dataclass(frozen=True, slots=True)
class Dial:
    """Asks the driver to connect, then call `link_opened` or `dial_failed`."""

    address: str


@dataclass(frozen=True, slots=True)
class HangUp:
    """Asks the driver to close a link; it need not call `link_closed` for it."""

    link_id: int
    reason: str


@dataclass(frozen=True, slots=True)
class RecordCame:
    """Passes a record that is newer than the stored one to the application."""

    record: Record


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Reports a member that joined, was suspected, died, left, or refuted."""

    node: str
    state: MemberState


Output = Send | Dial | HangUp | RecordCame | MembersChanged
