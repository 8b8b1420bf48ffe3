"""The platform's store, objects and usage intake, as the product's ports."""

import base64
from collections import Counter
from collections.abc import Callable
from urllib.parse import quote

import httpx
import msgspec

from godwitmast.capacity.messages import OrderOutcome
from godwitmast.capacity.zonal import DesiredServers
from godwitmast.errors import PlatformOutcomeUnknown
from godwitmast.platform.settings import PlatformFile
from godwitmast.platform.wire import (
    DUTY_HOLDER,
    FENCING_TOKEN,
    FOLLOW_ROWS,
    GET_OBJECT,
    ORDER_SERVERS,
    PUT_OBJECT,
    READ_ROWS,
    REPORT_USAGE,
    TRANSACT,
    RowsAnswer,
    StoredRow,
)
from godwitmast.platform_api.http import PlatformHttp
from godwitmast.platform_api.limits import CircuitBreaker, RateBudget
from godwitmast.platform_api.messages import Conflict, Row, TransactOutcome, Written
from godwitmast.platform_api.port import Changes, FeedRow, HistoryLost, Snapshot
from godwitmast.settings import Listen, PlatformSettings
from godwitmast.sockets import DEAD_PEER_OPTIONS
from godwitmast.tls import tls_without_authorities
from godwitmast.types import Json, PoolName
from godwitmast.usage.rows import FrozenWindow

OWN_TABLE = "godwit"
"""The one table for everything of the product's own, in one part."""

PAGE_ROWS = 500
"""The most rows that the store gives in one answer."""

CALL_TIMEOUT_S = 1.5
"""A call takes 4 to 25 ms. At sixty times that, the slowest the store was promised to
be, it still ends in time; an answer that has not come by then is taken as lost."""

FOLLOW_MARGIN_S = 1.0
"""What a call that waits for changes may take beyond its wait. Tables are read in 4 ms."""

RETRY_MAX_S = 1.0
"""The longest that nothing is asked of a store that gave no answer: half of the time in
which a configuration has to be in force."""

CONNECTIONS = 6
"""Two calls that wait for changes, and four more."""


CALL_NAMES = {
    TRANSACT: "transact",
    READ_ROWS: "read",
    FOLLOW_ROWS: "follow",
    GET_OBJECT: "get_object",
    PUT_OBJECT: "put_object",
    REPORT_USAGE: "report_usage",
    ORDER_SERVERS: "order_servers",
}


def name_call(path: str) -> str:
    """Return the product's name of a call; objects' paths end with the object's name."""
    found = (name for start, name in CALL_NAMES.items() if path.startswith(start))
    return next(found, "other")


def url_of(address: Listen) -> str:
    return f"http://{address.host}:{address.port}"


def make_http(address: Listen, timeout_s: float) -> httpx.AsyncClient:
    limits = httpx.Limits(max_connections=CONNECTIONS, keepalive_expiry=60)
    transport = httpx.AsyncHTTPTransport(
        verify=tls_without_authorities(),
        limits=limits,
        trust_env=False,
        socket_options=DEAD_PEER_OPTIONS,
    )
    return httpx.AsyncClient(
        base_url=url_of(address),
        timeout=timeout_s,
        transport=transport,
        trust_env=False,
    )


class StoreClient(PlatformHttp):
    """The store; `Table` and `Feed` of the product, and its intake of usage."""

    def __init__(
        self, settings: PlatformFile, heard: Callable[[float], None] | None = None
    ) -> None:
        self.heard = heard
        address = settings.platform.address
        limits = PlatformSettings(url_of(address), CALL_TIMEOUT_S)
        super().__init__(limits, make_http(address, CALL_TIMEOUT_S))
        self.breaker = CircuitBreaker(open_max_s=RETRY_MAX_S)
        self.duties = DutyClient(settings)
        self.duties.calls = self.calls

    def call_name(self, path: str) -> str:
        return name_call(path)

    def budget_for(self, method: str, path: str) -> RateBudget:
        return self.reads if method == "GET" else self.writes

    async def close(self) -> None:
        await super().close()
        await self.duties.close()

    async def read(self, keys: list[str]) -> dict[str, Row]:
        """Return the rows among `keys` that exist, as of one moment.

        One call reads the range that holds them all; the product asks for rows that
        stand next to each other.
        """
        found = await self.read_range(min(keys), max(keys) + "\0")
        return {key: row for key, row in found.items() if key in set(keys)}

    async def scan(self, prefix: str, after: str = "") -> dict[str, Row]:
        """Return every row whose key starts with `prefix` and is past `after`."""
        start = after + "\0" if after else prefix
        return await self.read_range(start, prefix + "\x7f")

    async def read_range(self, start: str, end: str) -> dict[str, Row]:
        rows: dict[str, Row] = {}
        while True:
            answer = await self.get_rows(OWN_TABLE, start, end)
            for row in answer.rows:
                rows[row.key] = Row(msgspec.json.decode(decode(row)), row.ver)
            if not answer.truncated:
                return rows
            start = answer.rows[-1].key + "\0"

    async def get_rows(
        self, table: str, start: str = "", end: str = "", bypass_breaker: bool = False
    ) -> RowsAnswer:
        params = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
        if start:
            params["from"] = start
        if end:
            params["to"] = end
        got = await self.send(
            "GET", READ_ROWS, bypass_breaker=bypass_breaker, params=params
        )
        return self.parse(got)

    async def transact(
        self, checks: dict[str, int], writes: dict[str, Json]
    ) -> TransactOutcome:
        """Write `writes` if every row of `checks` still has its version."""
        body = {
            "expected": [{**place(key), "ver": ver} for key, ver in checks.items()],
            "puts": [
                {**place(key), "value": encode(value)}
                for key, value in writes.items()
                if value is not None
            ],
            "remove": [place(key) for key, value in writes.items() if value is None],
        }
        got = await self.send("POST", TRANSACT, (200, 412), json=body)
        answer = self.parse(got)
        if got.status_code == 200:
            # The rows of one transaction all take the same version.
            return Written(dict.fromkeys(writes, answer.ver))
        # The answer holds every row that was checked, also those in nobody's way.
        current = {row.key: row.ver for row in answer.rows}
        found = {key: current.get(key, 0) for key in checks}
        return Conflict({key: ver for key, ver in found.items() if ver != checks[key]})

    async def get_object(self, name: str) -> bytes | None:
        got = await self.send("GET", GET_OBJECT + quote(name, safe=""), (200, 404))
        return got.content if got.status_code == 200 else None

    async def put_object(self, name: str, content: bytes) -> None:
        path = PUT_OBJECT + quote(name, safe="")
        await self.send("PUT", path, content=content)

    async def snapshot(self, table: str) -> Snapshot:
        """Return all rows of a table of the platform's."""
        answer = await self.get_rows(table, bypass_breaker=True)
        # Of several pages the first is the oldest. The version of the last one would
        # skip what changed on the first in the meantime.
        version = answer.ver
        rows = answer.rows
        while answer.truncated:
            answer = await self.get_rows(
                table, rows[-1].key + "\0", bypass_breaker=True
            )
            rows += answer.rows
        return Snapshot([feed_row(row) for row in rows], version)

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryLost:
        """Return what changed after a version, waiting until something has."""
        params = {
            "table": table,
            "afterRevision": str(after),
            "waitMs": str(int(wait_s * 1000)),
        }
        got = await self.send(
            "GET",
            FOLLOW_ROWS,
            (200, 410),
            bypass_breaker=True,
            params=params,
            timeout=wait_s + FOLLOW_MARGIN_S,
        )
        if got.status_code == 410:
            return HistoryLost()
        answer = self.parse(got)
        return Changes([feed_row(row) for row in answer.rows], answer.ver)

    def parse(self, got: httpx.Response) -> RowsAnswer:
        """Return the decoded answer; one that cannot be read settles nothing."""
        try:
            answer = msgspec.json.decode(got.content, type=RowsAnswer)
        except msgspec.DecodeError as error:
            raise PlatformOutcomeUnknown(f"{got.url.path}: {error}") from None
        if self.heard is not None and answer.now_ms is not None:
            self.heard(answer.now_ms / 1000)
        return answer

    async def report_usage(self, report: Json) -> None:
        await self.duties.report_usage(report)


class DutyClient(PlatformHttp):
    """Calls that one holder of a duty makes at a time."""

    def call_name(self, path: str) -> str:
        return name_call(path)

    def __init__(self, settings: PlatformFile) -> None:
        address = settings.cloud_api.address
        limits = PlatformSettings(url_of(address), CALL_TIMEOUT_S)
        super().__init__(limits, make_http(address, CALL_TIMEOUT_S))
        self.node = settings.node

    def duty_headers(self, fence: int) -> dict[str, str]:
        """Return what tells the platform who calls, and under which tenure."""
        return {DUTY_HOLDER: self.node, FENCING_TOKEN: str(fence)}

    async def report_usage(self, report: Json) -> None:
        """Hand in a frozen window: how many requests of each team began in it."""
        window = FrozenWindow(
            report["start"], report["end"], report["figures"], report["late"]
        )
        width = window.end - window.start
        body = {"window": window.start // width, "counts": count_requests(window)}
        headers = self.duty_headers(report["fence"])
        await self.send("POST", REPORT_USAGE, json=body, headers=headers)

    async def order_servers(
        self, pool: PoolName, wanted: DesiredServers, fence: int
    ) -> OrderOutcome:
        """Order a number of servers; the platform has none of the kind at a 409."""
        body: Json = {"service": pool, "zone": wanted.zone, "desired": wanted.number}
        if wanted.kind == "cheap":
            body["spot"] = True
        headers = self.duty_headers(fence)
        got = await self.send(
            "POST", ORDER_SERVERS, (200, 409), json=body, headers=headers
        )
        refused = got.status_code == 409
        return OrderOutcome.UNAVAILABLE if refused else OrderOutcome.DONE


def count_requests(window: FrozenWindow) -> dict[str, int]:
    """Return the requests of each team that began in the window itself.

    What came late belongs to windows that were reported, and would be taken as of this
    one here.
    """
    counts: Counter[str] = Counter()
    for team, _, _, requests, *_ in window.figures:
        counts[team] += requests
    for team, _, _, requests, *_ in window.late:
        counts[team] -= requests
    return {team: count for team, count in counts.items() if team and count > 0}


def place(key: str) -> dict[str, str]:
    return {"table": OWN_TABLE, "part": "", "key": key}


def encode(value: Json) -> str:
    return base64.b64encode(msgspec.json.encode(value)).decode()


def decode(row: StoredRow) -> bytes:
    return base64.b64decode(row.value)


def feed_row(row: StoredRow) -> FeedRow:
    return FeedRow(row.key, None if row.removed else decode_or_empty(row))


def decode_or_empty(row: StoredRow) -> bytes:
    """Return a row's bytes; none for a value that is not base64, which names nothing."""
    try:
        return decode(row)
    except ValueError:
        return b""
