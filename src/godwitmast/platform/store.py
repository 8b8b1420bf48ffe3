"""Clients for the platform's store, objects, usage reports and server orders."""

import base64
from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import anyio
import httpx
import msgspec

from godwitmast.backends.transport import BoundedTransport
from godwitmast.capacity.messages import OrderOutcome
from godwitmast.capacity.zonal import DesiredServers
from godwitmast.clock import Clock, SystemClock
from godwitmast.decoding import parse_whole_number
from godwitmast.entry.crash_reports import CRASH_PREFIX
from godwitmast.errors import PlatformOutcomeUnknown, Undecodable
from godwitmast.logs import RowLog, log_event
from godwitmast.platform.own_rows import decode_own_row
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
    STORE_ERA,
    TRANSACT,
    RowsAnswer,
    StoredRow,
    decode_rows,
)
from godwitmast.platform_api.epoch import (
    MAX_EPOCH,
    TableEpoch,
    epoch_of,
    make_version,
    number_of,
)
from godwitmast.platform_api.feed import ANSWER_MARGIN_S
from godwitmast.platform_api.http import HEAD_BYTES, PlatformHttp
from godwitmast.platform_api.limits import CircuitBreaker, RateBudget
from godwitmast.platform_api.messages import Conflict, Row, TransactOutcome, Written
from godwitmast.platform_api.port import (
    Changes,
    FeedRow,
    HistoryLost,
    Snapshot,
    WriteHook,
)
from godwitmast.settings import Listen, PlatformSettings
from godwitmast.sockets import DEAD_PEER_OPTIONS
from godwitmast.tls import tls_without_authorities
from godwitmast.types import Json, PoolName
from godwitmast.usage.rows import FrozenWindow

OWN_TABLE = "godwit"
"""The table that holds all of the router's own rows but those that VMs follow."""

CRASHES_TABLE = "godwit-crashes"
"""The table of crash reports. VMs follow it, and writes of other rows must not wake
them."""

RESTORE_PREFIX = "restored/"
"""One row for each epoch that began with a restore. The first write in an epoch adds it."""

LATE_EPOCHS = 3
"""Epochs whose transactions may still arrive late; as many rows are written at a restore."""

PAGE_ROWS = 500
"""Largest number of rows that the store returns in one answer."""

CALL_TIMEOUT_S = 1.5
"""A call takes 4 to 25 ms, and still ends in time if it takes sixty times that, which is
the store's specified worst case; a later answer counts as lost."""

BREAKER_OPEN_MAX_S = 1.0
"""Longest time for which the circuit breaker stays open: half of the time in which a
configuration has to be in force."""

CALL_NAMES = {
    TRANSACT: "transact",
    READ_ROWS: "read",
    FOLLOW_ROWS: "follow",
    GET_OBJECT: "get_object",
    PUT_OBJECT: "put_object",
    REPORT_USAGE: "report_usage",
    ORDER_SERVERS: "order_servers",
}


def call_label(path: str) -> str:
    """Return the metric label of a call; an object's path ends with its name."""
    found = (name for start, name in CALL_NAMES.items() if path.startswith(start))
    return next(found, "other")


def url_of(address: Listen) -> str:
    return f"http://{address.host}:{address.port}"


def make_http(
    address: Listen, timeout_s: float, kept: int | None = None
) -> httpx.AsyncClient:
    """Return an HTTP client that keeps so many idle connections, or all of them."""
    limits = httpx.Limits(
        max_connections=None, max_keepalive_connections=kept, keepalive_expiry=60
    )
    transport = BoundedTransport(
        HEAD_BYTES, limits, tls_without_authorities(), DEAD_PEER_OPTIONS
    )
    return httpx.AsyncClient(
        base_url=url_of(address),
        timeout=timeout_s,
        transport=transport,
        trust_env=False,
    )


class StoreClient(PlatformHttp):
    """Client of the store that implements the router's `Table` and `Feed`."""

    def __init__(
        self,
        settings: PlatformFile,
        on_store_time: Callable[[float], None] | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.on_store_time = on_store_time
        self.epoch = TableEpoch(clock or SystemClock())
        self.recorded_epoch = 0
        self.row_log = RowLog("own_row_bad")
        self.record_lock = anyio.Lock()
        address = settings.platform.address
        limits = PlatformSettings(url_of(address), CALL_TIMEOUT_S)
        super().__init__(limits, make_http(address, CALL_TIMEOUT_S))
        self.breaker = CircuitBreaker(open_max_s=BREAKER_OPEN_MAX_S)
        self.duties = DutyClient(settings)
        self.duties.calls = self.calls

    def call_name(self, path: str) -> str:
        return call_label(path)

    async def request(self, method: str, path: str, **content: Any) -> httpx.Response:
        response = await super().request(method, path, **content)
        epoch = read_epoch(response)
        if epoch is not None:
            if epoch < self.epoch.current:
                raise PlatformOutcomeUnknown(f"{path}: answered before a restore")
            self.epoch.observe(epoch)
        return response

    def budget_for(self, method: str, path: str) -> RateBudget:
        return self.reads if method == "GET" else self.writes

    async def close(self) -> None:
        await super().close()
        await self.duties.close()

    async def read(self, keys: list[str]) -> dict[str, Row]:
        """Return the rows among `keys` that exist, as of one moment.

        One call reads the range that spans them all, since the router reads rows whose
        keys are adjacent. A row that cannot be read is not one that is missing: raise
        PlatformOutcomeUnknown.
        """
        found, unreadable = await self.read_range(min(keys), max(keys) + "\0")
        if unreadable.intersection(keys):
            raise PlatformOutcomeUnknown(f"{READ_ROWS}: unreadable rows {keys}")
        return {key: row for key, row in found.items() if key in set(keys)}

    async def scan(self, prefix: str, after: str = "") -> dict[str, Row]:
        """Return every row whose key starts with `prefix` and is past `after`, without
        those that cannot be read."""
        start = after + "\0" if after else prefix
        found, _ = await self.read_range(start, prefix + "\x7f")
        return found

    async def read_range(self, start: str, end: str) -> tuple[dict[str, Row], set[str]]:
        """Return the rows of a range of keys, and the keys of those that are unreadable."""
        rows: dict[str, Row] = {}
        unreadable: set[str] = set()
        epoch: int | None = None
        while True:
            answer = await self.get_rows(OWN_TABLE, start, end)
            epoch = same_epoch(epoch, answer)
            for row in answer.rows:
                try:
                    value = decode_own_row(row.key, decode_or_empty(row))
                except Undecodable as error:
                    self.row_log.record(row.key, row.ver, error)
                    unreadable.add(row.key)
                else:
                    rows[row.key] = Row(value, row.ver)
            if not answer.truncated:
                return rows, unreadable
            start = answer.rows[-1].key + "\0"

    async def get_rows(
        self, table: str, start: str = "", end: str = "", bypass_breaker: bool = False
    ) -> RowsAnswer:
        params = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
        if start:
            params["from"] = start
        if end:
            params["to"] = end
        response = await self.send(
            "GET", READ_ROWS, bypass_breaker=bypass_breaker, params=params
        )
        return self.parse(response)

    async def transact(
        self, checks: dict[str, int], writes: dict[str, Json]
    ) -> TransactOutcome:
        """Write `writes` if every row of `checks` still has its version.

        A version of an earlier epoch is in conflict, whatever the table holds. Each
        transaction checks that no restore was recorded after it was prepared: rows of a
        restored table may get the versions that it expects.
        """
        # Another VM, whose transaction this is, may know of a restore first.
        latest = max(map(epoch_of, checks.values()), default=0)
        if latest > 0:
            self.epoch.observe(latest)
        await self.record_restore()
        known, epoch = self.epoch.known, self.epoch.current
        outdated = [
            key for key, ver in checks.items() if ver and not self.epoch.is_current(ver)
        ]
        if outdated:
            return Conflict(dict.fromkeys(outdated, 0))
        expected = {key: number_of(ver) for key, ver in checks.items()}
        if known:
            expected[restore_key(epoch + 1)] = 0
        body = {
            "expected": [
                {**row_address(key), "ver": ver} for key, ver in expected.items()
            ],
            "puts": [
                {**row_address(key), "value": encode_value(value)}
                for key, value in writes.items()
                if value is not None
            ],
            "remove": [
                row_address(key) for key, value in writes.items() if value is None
            ],
        }
        response = await self.send("POST", TRANSACT, (200, 412), json=body)
        answer = self.parse(response)
        if response.status_code == 200:
            if known and self.epoch.current != epoch:
                raise PlatformOutcomeUnknown(f"{TRANSACT}: restored meanwhile")
            # All rows of one transaction get the same version.
            return Written(dict.fromkeys(writes, answer.ver))
        # The answer holds every checked row, also those without a conflict.
        current = {row.key: row.ver for row in answer.rows}
        found = {key: current.get(key, 0) for key in checks}
        return Conflict({key: ver for key, ver in found.items() if ver != checks[key]})

    async def record_restore(self) -> None:
        """Record the present epoch if it began with a restore that this process saw.

        Transactions that were prepared before, and arrive later, then fail. Those of
        the epochs before too, whose row may be lost.
        """
        while self.epoch.restored and self.recorded_epoch != self.epoch.current:
            async with self.record_lock:
                if self.recorded_epoch != self.epoch.current:
                    await self.write_restore_rows(self.epoch.current)

    async def write_restore_rows(self, epoch: int) -> None:
        """Write the row of an epoch and of those just before, unless they exist."""
        keys = {restore_key(max(0, epoch - back)) for back in range(LATE_EPOCHS)}
        puts = [{**row_address(key), "value": encode_value({})} for key in sorted(keys)]
        expected = [
            {**row_address(restore_key(number)), "ver": 0}
            for number in (epoch, epoch + 1)
        ]
        body = {"expected": expected, "puts": puts, "remove": []}
        response = await self.send("POST", TRANSACT, (200, 412), json=body)
        if self.epoch.current != epoch:
            return
        self.recorded_epoch = epoch
        if response.status_code == 200:
            log_event("restore_recorded", epoch=epoch)

    async def get_object(self, name: str) -> bytes | None:
        response = await self.send("GET", GET_OBJECT + quote(name, safe=""), (200, 404))
        return response.content if response.status_code == 200 else None

    async def put_object(self, name: str, content: bytes) -> None:
        path = PUT_OBJECT + quote(name, safe="")
        await self.send("PUT", path, content=content)

    async def snapshot(self, table: str) -> Snapshot:
        """Return all rows of one of the platform's tables."""
        answer = await self.get_rows(table, bypass_breaker=True)
        # The first of several pages is the oldest. The version of the last one would
        # skip changes made to the first in the meantime.
        version = answer.ver
        rows = answer.rows
        while answer.truncated:
            answer = await self.get_rows(
                table, rows[-1].key + "\0", bypass_breaker=True
            )
            same_epoch(epoch_of(version), answer)
            rows += answer.rows
        return Snapshot([feed_row(row) for row in rows], version)

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryLost:
        """Return the changes after a version; wait up to `wait_s` if there are none.

        There is no history across a restore.
        """
        if not self.epoch.is_current(after):
            return HistoryLost()
        params = {
            "table": table,
            "afterRevision": str(number_of(after)),
            "waitMs": str(int(wait_s * 1000)),
        }
        response = await self.send(
            "GET",
            FOLLOW_ROWS,
            (200, 410),
            bypass_breaker=True,
            params=params,
            timeout=wait_s + ANSWER_MARGIN_S,
        )
        if response.status_code == 410:
            return HistoryLost()
        answer = self.parse(response)
        if not self.epoch.is_current(after):
            return HistoryLost()
        return Changes([feed_row(row) for row in answer.rows], answer.ver)

    def parse(self, response: httpx.Response) -> RowsAnswer:
        """Return the decoded answer; raise PlatformOutcomeUnknown if malformed."""
        try:
            answer = decode_rows(response.content)
        except Undecodable as error:
            raise PlatformOutcomeUnknown(f"{response.url.path}: {error}") from None
        if self.on_store_time is not None and answer.now_ms is not None:
            self.on_store_time(answer.now_ms / 1000)
        epoch = read_epoch(response)
        if epoch is None:
            epoch = self.epoch.current
        answer.ver = make_version(epoch, answer.ver)
        for row in answer.rows:
            row.ver = make_version(epoch, row.ver)
        return answer

    async def report_usage(self, report: Json, before_write: WriteHook) -> None:
        await self.duties.report_usage(report, before_write)


class DutyClient(PlatformHttp):
    """Client for the calls that only the holder of a duty makes.

    Nothing in an answer names its call, and nothing can be read back. So each call has a
    connection of its own, on which no late answer to another one arrives.
    """

    def call_name(self, path: str) -> str:
        return call_label(path)

    def __init__(self, settings: PlatformFile) -> None:
        address = settings.cloud_api.address
        limits = PlatformSettings(url_of(address), CALL_TIMEOUT_S)
        super().__init__(limits, make_http(address, CALL_TIMEOUT_S, kept=0))
        self.node = settings.node

    def duty_headers(self, fence: int) -> dict[str, str]:
        """Return the headers with the holder's name and its fencing token."""
        return {DUTY_HOLDER: self.node, FENCING_TOKEN: str(fence)}

    async def report_usage(self, report: Json, before_write: WriteHook) -> None:
        """Report a frozen window: how many requests of each team began in it."""
        window = FrozenWindow(
            report["start"], report["end"], report["figures"], report["late"]
        )
        width = window.end - window.start
        body = {"window": window.start // width, "counts": count_requests(window)}
        headers = self.duty_headers(report["fence"])
        await self.send(
            "POST", REPORT_USAGE, before_write=before_write, json=body, headers=headers
        )

    async def order_servers(
        self,
        pool: PoolName,
        wanted: DesiredServers,
        fence: int,
        before_write: WriteHook,
    ) -> OrderOutcome:
        """Order a number of servers; at status 409 none of the kind is available."""
        body: Json = {"service": pool, "zone": wanted.zone, "desired": wanted.number}
        if wanted.kind == "cheap":
            body["spot"] = True
        headers = self.duty_headers(fence)
        response = await self.send(
            "POST",
            ORDER_SERVERS,
            (200, 409),
            before_write=before_write,
            json=body,
            headers=headers,
        )
        refused = response.status_code == 409
        return OrderOutcome.UNAVAILABLE if refused else OrderOutcome.DONE


def count_requests(window: FrozenWindow) -> dict[str, int]:
    """Return the requests of each team that began in the window itself.

    Late usage belongs to windows that were already reported, and must not be counted as
    this window's.
    """
    counts: Counter[str] = Counter()
    for team, _, _, requests, *_ in window.figures:
        counts[team] += requests
    for team, _, _, requests, *_ in window.late:
        counts[team] -= requests
    return {team: count for team, count in counts.items() if team and count > 0}


def read_epoch(response: httpx.Response) -> int | None:
    """Return the epoch in an answer's header, None if it is missing or invalid."""
    text = response.headers.get(STORE_ERA, "")
    epoch = parse_whole_number(text, len(str(MAX_EPOCH)))
    return epoch if epoch is not None and epoch <= MAX_EPOCH else None


def same_epoch(epoch: int | None, answer: RowsAnswer) -> int:
    """Return the epoch of a page; raise PlatformOutcomeUnknown if not the first one's."""
    found = epoch_of(answer.ver)
    if epoch is not None and found != epoch:
        raise PlatformOutcomeUnknown(f"{READ_ROWS}: restored between two pages")
    return found


def restore_key(epoch: int) -> str:
    return f"{RESTORE_PREFIX}{epoch}"


def row_address(key: str) -> dict[str, str]:
    table = CRASHES_TABLE if key.startswith(CRASH_PREFIX) else OWN_TABLE
    return {"table": table, "part": "", "key": key}


def encode_value(value: Json) -> str:
    return base64.b64encode(msgspec.json.encode(value)).decode()


def decode_value(row: StoredRow) -> bytes:
    return base64.b64decode(row.value)


def feed_row(row: StoredRow) -> FeedRow:
    return FeedRow(row.key, None if row.removed else decode_or_empty(row))


def decode_or_empty(row: StoredRow) -> bytes:
    """Return a row's bytes, or none if it is invalid, as its value is not base64."""
    try:
        return decode_value(row)
    except ValueError:
        return b""
