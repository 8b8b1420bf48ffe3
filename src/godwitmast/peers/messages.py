"""What peers tell each other, and what the machine asks of its driver.

On the wire a frame is one CBOR array, in the order of the fields below with trailing
defaults left off. Times on the wire are seconds that are left, never clock readings,
because no two nodes share a clock.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated, NamedTuple

from msgspec import Meta

from godwitmast.types import Json

MAX_RECORDS = 256
"""Records in one frame, so that a frame with urgent news stays small."""

MAX_HAVES = 8192
MAX_PRUNES = 1024

Text = Annotated[str, Meta(max_length=128)]
Whole = Annotated[int, Meta(ge=0, le=2**62)]
NotNegative = Annotated[float, Meta(ge=0, le=1e18)]
Digest = Annotated[int, Meta(ge=0, lt=2**32)]
TimeLeft = Annotated[float, Meta(ge=0, le=86_400)]


class Topic(IntEnum):
    """What a record is about; see `records.RULES` for how each is spread."""

    MEMBER = 0
    WITHDRAWN_KEY = 1
    LEAVING_BACKEND = 2
    QUARANTINE = 3
    CRASH_SUSPICION = 4
    LOAD = 5
    SERVICE = 6


class MemberState(IntEnum):
    """States in the order in which they override each other in one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Place(NamedTuple):
    """Where a member is; the value of a MEMBER record."""

    address: Text
    zone: Text
    region: Text


class LoadEntry(NamedTuple):
    """The load of one backend server, which `backend_hash` names in four bytes."""

    backend_hash: Digest
    running: Annotated[int, Meta(ge=0, le=65_535)]
    waiting: Annotated[int, Meta(ge=0, le=65_535)]
    tokens_per_s: Annotated[int, Meta(ge=0, le=10_000_000)]
    age_tenths: Annotated[int, Meta(ge=0, le=6_000)]


class Record(NamedTuple):
    """One fact; of two with the same topic and key the higher version holds."""

    topic: Topic
    key: Text
    version: Whole
    left_s: TimeLeft
    value: Json


class Have(NamedTuple):
    """The version of a record that the sender has."""

    topic: Topic
    key: Text
    version: Whole


class Beat(NamedTuple):
    """What every frame opens with, so that each one is also a heartbeat.

    The digests are equal on two nodes that have the same members and the same shared
    records; `wanted` says that the sender wants to keep the link.
    """

    config_version: Whole
    member_digest: Digest
    shared_digest: Digest
    wanted: bool = True


class Hello(NamedTuple):
    """The first frame of a link says who sends it."""

    node: Text
    incarnation: Whole
    place: Place


class ConfigKind(IntEnum):
    """What a frame says of the configuration."""

    WANT = 0
    DELTAS = 1
    SNAPSHOT = 2


class ConfigPart(NamedTuple):
    """A request for what came after version `after`, or the answer to one."""

    kind: ConfigKind
    after: Whole
    number: Whole = 0
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
    """An address that may be a peer's, from settings or the platform's list."""

    address: str
    node: str | None = None


@dataclass(frozen=True, slots=True)
class Send:
    """Write a frame to a link, and then call `sent`."""

    link_id: int
    frame: Frame


@dataclass(frozen=True, slots=True)
class Dial:
    """Connect to an address, and then call `link_opened` or `dial_failed`."""

    address: str


@dataclass(frozen=True, slots=True)
class HangUp:
    """Close a link; `link_closed` need not be called for it."""

    link_id: int
    reason: str


@dataclass(frozen=True, slots=True)
class RecordCame:
    """A record that is newer than the one held; the application is to take it."""

    record: Record


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """A member came, was suspected, died, left, or refuted."""

    node: str
    state: MemberState


Output = Send | Dial | HangUp | RecordCame | MembersChanged
