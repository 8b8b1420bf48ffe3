"""The platform's names: headers, calls, tables and JSON structures.

They are defined only here. Fields are described where their names do not say enough;
unknown fields are ignored, since the platform may add some.
"""

from contextlib import suppress
from typing import Annotated, Final

import msgspec

from godwitmast.bounds import (
    ClockSeconds,
    Count,
    Millis,
    Rank,
    Ratio,
    Seconds,
    WholeNumber,
)
from godwitmast.decoding import convert, decode_json, parse_any_json
from godwitmast.errors import Undecodable
from godwitmast.logs import log_event
from godwitmast.platform_api.epoch import NUMBER_BITS

ATTEMPT_ID = "attempt-id"
"""The caller's id of a request; a server repeats it in its answer."""
DEADLINE_MS = "deadline-ms"
EXPECT_INSTANCE = "expect-instance"
KV_FETCH = "kv-fetch"
"""Address of a server from which cached parts of the prompt can be copied."""
LAST_EVENT_ID = "last-event-id"
NOT_EXECUTED = "not-executed"
PROMPT_PREFIX = "prompt-prefix"
REQUEST_PRIORITY = "request-priority"
RESUMES = "resumes"
"""The caller's id of the attempt that brought the first event of a stream that it takes up
again."""
SERVER_BRITTLE = "server-brittle"
"""Rejections a second that a server bears; with more it falls over. In each of its
answers while that is so."""
SERVER_LEAVING = "server-leaving"
"""`1` in each answer of a server that is leaving, whatever its row says."""
SERVER_LIMIT = "server-limit"
"""Requests a second that a server takes from all callers together, while it says so."""
SERVER_LOAD = "server-load"
STORE_ERA = "store-era"
"""In each answer of the store: rises by one whenever the store has come back from a copy
that lacks its latest transactions."""
TENANT = "tenant"
TOKEN_USAGE = "token-usage"
"""Number of prompt tokens and limit on output tokens, sent with the request."""
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
"""While a row exists whose key is this prefix and a zone, that zone is evacuated."""
SERVERS_TABLE = "servers"

READY = "ready"
DRAINING = "draining"

STREAMING = "streaming"
IDEMPOTENT = "idempotent"


class PlatformJson(msgspec.Struct, rename="camel"):
    """A JSON structure of the platform, with names in camel case."""


StoreVersion = Annotated[int, msgspec.Meta(ge=0, le=2**NUMBER_BITS - 1)]
StoreMillis = Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)]


class StoredRow(PlatformJson):
    """A row of the store; `value` is base64, and `ver` counts the writes of all rows."""

    key: str
    table: str = ""
    part: str = ""
    value: str = ""
    ver: StoreVersion = 0
    removed: bool = False


class RowsAnswer(PlatformJson):
    """The answer of every call about rows; `ver` is the newest version of the store."""

    rows: list[StoredRow] = []
    truncated: bool = False
    ver: StoreVersion = 0
    now_ms: StoreMillis | None = None
    """The store's own clock, which never jumps and counts from an unknown origin."""


def decode_rows(content: bytes) -> RowsAnswer:
    """Return the answer of a call about rows, without those that cannot be decoded.

    A key may be a text that is not Unicode, for which the decoder refuses the whole
    answer. Raise Undecodable if the rest is not valid either.
    """
    try:
        return decode_json(content, RowsAnswer)
    except Undecodable as error:
        fields = parse_any_json(content)
        if not isinstance(fields, dict) or not isinstance(fields.get("rows"), list):
            raise
        first_error = error
    rows = fields.pop("rows")
    answer = convert(fields, RowsAnswer)
    for row in rows:
        with suppress(Undecodable, UnicodeEncodeError):
            stored = convert(row, StoredRow)
            stored.key.encode()
            answer.rows.append(stored)
    log_event(
        "store_rows_left_out",
        level="WARNING",
        rows=len(rows) - len(answer.rows),
        read=len(answer.rows),
        error=str(first_error),
    )
    if not answer.rows and answer.truncated:
        # The next page follows the last key.
        raise first_error
    return answer


class ServiceShare(PlatformJson):
    """A part of a route's traffic."""

    service: str
    weight: Ratio = 1.0


class WireRoute(PlatformJson):
    """A route; `slo_ms` is the time to the first event, or to a plain answer."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: Millis
    slo_ms: Millis
    priority: Rank = 5
    service: str | None = None
    split: list[ServiceShare] = []
    attempts: Count = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: Millis | None = None


class WireScale(PlatformJson):
    """Number of servers of a service that may be ordered; both bounds are per zone."""

    min: Count
    max: Count
    boot_time_s: Seconds = msgspec.field(name="bootTimeS")
    spot_price: Ratio = 1.0
    """As a fraction of the price of a server that cannot be reclaimed."""
    zone_prices: dict[str, Ratio] = {}


class WireEngine(PlatformJson):
    """Engines of a service; `link_mbps` is the rate of copying cached prompts."""

    kv_token_bytes: Ratio = 0.0
    link_mbps: Ratio = 0.0


ColdRate = Annotated[float, msgspec.Meta(ge=-10_000, le=10_000)]
"""Higher rates take the router too long to calculate with."""


class WireService(PlatformJson):
    """A service; with an `engine`, its servers run models."""

    name: str
    engine: WireEngine | None = None
    cold_start_s: ClockSeconds = msgspec.field(name="coldStartS", default=0.0)
    cold_per_s: ColdRate = msgspec.field(name="coldPerS", default=0.0)
    """Requests a second that a server can handle while it is cold."""
    scale_limits: WireScale | None = None


class WireTenant(PlatformJson):
    """A tenant, which the router calls a team."""

    name: str
    api_keys: list[str] = []
    priority: Rank | None = None


class WireLimits(PlatformJson):
    """Limits on the size and duration of a caller's request."""

    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 4_194_304
    header_timeout_ms: Millis = 3_000
    idle_timeout_ms: Millis = 15_000


class WireConfig(PlatformJson):
    """The newest configuration, in full."""

    version: WholeNumber
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] | None = None


class WireRowAge(PlatformJson):
    """What orders the contents of a row: the number of a configuration, or the start of a
    server and its count of writes since."""

    version: WholeNumber | str | None = None
    born: WholeNumber = 0
    sequence: WholeNumber | None = None


MAX_BATCH_SLOTS = 1_000_000

BatchSlots = Annotated[int, msgspec.Meta(ge=1, le=MAX_BATCH_SLOTS)]


class WireServer(PlatformJson):
    """Row by which a backend server registers itself; its id is the row's key.

    A row without one of the fields that have no default names no server.
    """

    service: str
    address: str
    zone: str
    version: str
    """Version of its software, not of the weights of its models."""
    state: str
    batch_slots: BatchSlots
    cold_left_ms: Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]
    sequence: WholeNumber
    spot: bool = False
    born: WholeNumber = 0
    """When the server started; its id may stay the same across a restart."""
