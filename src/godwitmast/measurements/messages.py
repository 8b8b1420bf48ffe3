"""What entry VMs tell one another of backend servers and of their own requests.

Servers, pools and teams are named by 32-bit hashes. A server's hash includes its
incarnation, so that nothing is said of a server that started again under its id. Times
are ages, since VMs have no common clock.
"""

from functools import lru_cache
from typing import Annotated, NamedTuple

from msgspec import Meta

from godwitmast.peers.rendezvous import short_hash
from godwitmast.types import BackendId

MAX_SERVERS = 64
MAX_POOLS = 32
MAX_TIERS = 16
MAX_TEAMS = 16
MAX_MEMBERS = 1024
MAX_AGE_S = 600.0
"""Age that stands for "never"."""

Digest = Annotated[int, Meta(ge=0, lt=2**32)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Tokens = Annotated[int, Meta(ge=0, le=1_000_000_000)]
Seconds = Annotated[float, Meta(ge=0, le=600)]
Rate = Annotated[float, Meta(gt=0, le=100_000)]
Millis = Annotated[float, Meta(gt=0, le=600_000)]
Percent = Annotated[int, Meta(ge=1, le=10_000)]
Weight = Annotated[float, Meta(ge=0, le=1_000_000)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(max_length=200)]


class SpeedSample(NamedTuple):
    """The measured speed of one server; None where nothing was measured.

    `weight` is the number of measurements, older ones counting less. `stated_percent` is
    how long work takes there at the moment by the server's own word, 100 being as
    usual, `stated_age_s` the age of that statement.
    """

    prompt_tokens_per_ms: Rate | None = None
    step_ms: Millis | None = None
    service_ms: Millis | None = None
    weight: Weight = 0.0
    stated_percent: Percent | None = None
    stated_age_s: Seconds = 0.0


class Outcomes(NamedTuple):
    """Requests on one server that completed and failed in the last seconds.

    A request counts as completed once its answer has begun. `failed_soon` are the failed
    ones whose error came far sooner than an answer usually begins. The two ages are of
    the starts of the latest completed and the latest failed request; `failing_s` is the
    age of the first of several VMs' failures that `vms_failing` counts. `failed_request` is
    the hash of the latest request that failed; 0 if it is unknown, or not the same on all
    VMs.
    """

    completed: Count = 0
    failed: Count = 0
    failed_soon: Count = 0
    success_age_s: Seconds = MAX_AGE_S
    failure_age_s: Seconds = MAX_AGE_S
    failing_s: Seconds = 0.0
    last_failed_soon: bool = False
    failed_request: Digest = 0


class ServerReport(NamedTuple):
    """What one VM measured of one server, `age_s` before the message was sent."""

    server: Digest
    age_s: Seconds = 0.0
    speed: SpeedSample | None = None
    outcomes: Outcomes | None = None


class TierRoom(NamedTuple):
    """Requests of one tier at a pool, and their prompt tokens."""

    tier: Annotated[int, Meta(ge=1, le=99)]
    running: Count = 0
    running_tokens: Tokens = 0
    waiting: Count = 0
    waiting_tokens: Tokens = 0
    oldest_wait_s: Seconds = 0.0


class TeamUse(NamedTuple):
    """Requests of one team at a pool."""

    team: Digest
    running: Count = 0
    waiting: Count = 0


class PoolRoom(NamedTuple):
    """Requests at one pool, by tier, and of the teams that have the most."""

    pool: Digest
    tiers: Annotated[tuple[TierRoom, ...], Meta(max_length=MAX_TIERS)] = ()
    teams: Annotated[tuple[TeamUse, ...], Meta(max_length=MAX_TEAMS)] = ()


class VmReport(NamedTuple):
    """Report of one VM to the relay of its zone.

    `start` identifies the start of its process and rises with each, `number` rises with
    each report. `memory_left` is the share of its memory budget that is free.
    """

    vm: Name
    start: Annotated[int, Meta(ge=0, le=2**62)]
    number: Annotated[int, Meta(ge=0, le=2**62)]
    servers: Annotated[tuple[ServerReport, ...], Meta(max_length=MAX_SERVERS)] = ()
    pools: Annotated[tuple[PoolRoom, ...], Meta(max_length=MAX_POOLS)] = ()
    memory_left: Share = 1.0


class ServerSummary(NamedTuple):
    """What the VMs of a zone measured of one server.

    `vms_failing` counts the VMs whose latest request there failed, if no VM's later one
    succeeded; `vms_failing_soon` those of them whose error came far too soon, `vms` those
    that sent it any in the last seconds.
    """

    server: Digest
    age_s: Seconds = 0.0
    speed: SpeedSample | None = None
    outcomes: Outcomes = Outcomes()
    vms: Count = 0
    vms_failing: Count = 0
    vms_failing_soon: Count = 0


class ZoneReport(NamedTuple):
    """Report of a zone's relay: what its VMs measured, and sums of their requests.

    `relay` and `start` identify the relay's process, `number` rises with each report.
    `servers` holds those that changed since the last one, `pools` all. `members` are the
    hashes of the names of its VMs, where they are told.
    """

    zone: Name
    relay: Name
    start: Annotated[int, Meta(ge=0, le=2**62)]
    number: Annotated[int, Meta(ge=0, le=2**62)]
    age_s: Seconds = 0.0
    vms: Count = 0
    servers: Annotated[tuple[ServerSummary, ...], Meta(max_length=1024)] = ()
    pools: Annotated[tuple[PoolRoom, ...], Meta(max_length=MAX_POOLS)] = ()
    members: Annotated[tuple[Digest, ...], Meta(max_length=MAX_MEMBERS)] = ()


class FleetSpeed(NamedTuple):
    """Speed of a server by all VMs together; `trust` falls from 1 to 0 with its age."""

    sample: SpeedSample
    age_s: float
    trust: float


class FleetOutcomes(NamedTuple):
    """Outcomes on a server by all VMs together."""

    outcomes: Outcomes
    vms: int
    vms_failing: int
    age_s: float
    vms_failing_soon: int = 0


class FleetRoom(NamedTuple):
    """Requests at a pool by all other VMs together, and by how many VMs.

    `trust` is the share of the VMs of which something is known.
    """

    room: PoolRoom
    vms: int
    age_s: float
    trust: float


@lru_cache(maxsize=4096)
def server_digest(backend_id: BackendId, incarnation: int) -> int:
    """Return the hash that names one start of a server."""
    return short_hash(f"{backend_id}/{incarnation}")
