"""The platform's names: headers, calls, tables, and the shapes of its JSON.

They stand here and nowhere else. Each shape says what a field holds where its name
does not; unknown fields are ignored, since the platform may add some.
"""

from typing import Final

import msgspec

ATTEMPT_ID = "attempt-id"
"""The caller's id of this request; a server repeats it with its answer."""
DEADLINE_MS = "deadline-ms"
EXPECT_INSTANCE = "expect-instance"
KV_FETCH = "kv-fetch"
"""The address of a server that the prompt's parts are copied from."""
LAST_EVENT_ID = "last-event-id"
NOT_EXECUTED = "not-executed"
PROMPT_PREFIX = "prompt-prefix"
REQUEST_PRIORITY = "request-priority"
SERVER_LOAD = "server-load"
TENANT = "tenant"
TOKEN_USAGE = "token-usage"
"""Prompt tokens and the most output tokens, before the request is run."""
DUTY_HOLDER = "Duty-Holder"
FENCING_TOKEN = "Fencing-Token"

SET_BY_ROUTER: Final = frozenset(
    [
        DEADLINE_MS,
        EXPECT_INSTANCE,
        REQUEST_PRIORITY,
        TENANT,
        "expect-version",
        "hold",
        "kv-backup",
        KV_FETCH,
        "kv-from",
        "pin-ms",
    ]
)
"""Headers that only the router sets, whatever the caller sent."""

READY_PATH = "/api/ready"
TRANSACT = "/api/rows-tx"
READ_ROWS = "/api/rows-get"
FOLLOW_ROWS = "/api/rows-feed"
PUT_OBJECT = "/api/blob-put/"
GET_OBJECT = "/api/blob-get/"
REPORT_USAGE = "/usage"
ORDER_SERVERS = "/scale"

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
"""A row of this name and a zone says that the zone is evacuated while it exists."""
SERVERS_TABLE = "servers"

READY = "ready"
DRAINING = "draining"

STREAMING = "streaming"
IDEMPOTENT = "idempotent"


class Shape(msgspec.Struct, rename="camel"):
    """JSON of the platform's."""


class StoredRow(Shape):
    """A row of the store; `value` is base64, and `ver` counts all rows' writes."""

    key: str
    table: str = ""
    part: str = ""
    value: str = ""
    ver: int = 0
    removed: bool = False


class RowsAnswer(Shape):
    """The answer of every call about rows; `ver` is the newest version of the store."""

    rows: list[StoredRow] = []
    truncated: bool = False
    ver: int = 0
    now_ms: float | None = None
    """The store's own clock, which never jumps and counts from some moment."""


class ServiceShare(Shape):
    """A part of a route's traffic."""

    service: str
    weight: float = 1.0


class WireRoute(Shape):
    """A route; `slo_ms` is the time to the first event, or to a plain answer."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    slo_ms: float
    priority: int = 5
    service: str | None = None
    split: list[ServiceShare] = []
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float | None = None


class WireScale(Shape):
    """How many servers of a service may be ordered; both bounds are per zone."""

    min: int
    max: int
    boot_time_s: float = msgspec.field(name="bootTimeS")
    spot_price: float = 1.0
    """A part of the price of a server that cannot be reclaimed."""
    zone_prices: dict[str, float] = {}


class WireEngine(Shape):
    """The engines of a service; `link_mbps` is what one copies memory at."""

    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0


class WireService(Shape):
    """A service; one with an `engine` runs models."""

    name: str
    engine: WireEngine | None = None
    cold_start_s: float = msgspec.field(name="coldStartS", default=0.0)
    cold_per_s: float = msgspec.field(name="coldPerS", default=0.0)
    """The requests a second that a server bears in the seconds after its start."""
    scale_limits: WireScale | None = None


class WireTenant(Shape):
    """A tenant is a team of the product's."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class WireLimits(Shape):
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class WireConfig(Shape):
    """The newest configuration, in full."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] | None = None


class WireServer(Shape):
    """What a backend server says of itself; its id is the row's key."""

    service: str
    address: str
    zone: str
    state: str
    batch_slots: int
    spot: bool = False
    cold_left_ms: float = 0.0
    born: int = 0
    """When it started; a restart may keep the id."""
