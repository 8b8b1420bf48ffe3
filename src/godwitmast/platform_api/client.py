"""The HTTP client of the platform."""

import copy
from types import TracebackType
from typing import NotRequired, Self, TypedDict, TypeVar

import httpx

from godwitmast.backends.transport import BoundedTransport
from godwitmast.decoding import decode_json
from godwitmast.errors import PlatformOutcomeUnknown, Undecodable
from godwitmast.platform_api.group_commit import GroupCommit
from godwitmast.platform_api.http import HEAD_BYTES, PlatformHttp
from godwitmast.platform_api.limits import Priority, RateBudget
from godwitmast.platform_api.messages import (
    Conflict,
    FleetServer,
    Row,
    TransactOutcome,
    Vm,
    Written,
)
from godwitmast.platform_api.port import WriteHook
from godwitmast.settings import PlatformSettings
from godwitmast.types import Json

T = TypeVar("T")

WRITE_PATHS = frozenset(["/table/transact", "/orders", "/usage"])


class RowFields(TypedDict):
    """A row in an answer."""

    value: Json
    version: int


class RowsPage(TypedDict):
    """The rows among the keys that were asked for."""

    rows: dict[str, RowFields]


class ScanPage(TypedDict):
    """Some rows of a range, and whether there are more."""

    rows: dict[str, RowFields]
    more: bool


class Versions(TypedDict):
    """The versions of rows after a transaction."""

    versions: dict[str, int]


class ServerFields(TypedDict):
    """An ordered backend server; see `FleetServer`."""

    backend_id: str
    url: str
    zone: str
    kind: str
    pools: list[str]
    order_id: str
    state: str
    leaves_in_s: NotRequired[float | None]


class FleetPage(TypedDict):
    """The backend servers that were ordered."""

    servers: list[ServerFields]


class VmFields(TypedDict):
    """A VM on the platform's list; see `Vm`."""

    node: str
    zone: str
    address: str
    state: str


class VmsPage(TypedDict):
    """The platform's list of VMs."""

    vms: list[VmFields]


def read_answer(answer: httpx.Response, shape: type[T]) -> T:
    """Return the decoded answer; raise PlatformOutcomeUnknown if malformed."""
    try:
        return decode_json(answer.content, shape)
    except Undecodable as error:
        path = answer.request.url.path
        raise PlatformOutcomeUnknown(f"{path}: {error}") from None


def make_rows(rows: dict[str, RowFields]) -> dict[str, Row]:
    return {key: Row(row["value"], row["version"]) for key, row in rows.items()}


class PlatformClient(PlatformHttp):
    """The platform's table, objects, orders, VM list and usage intake."""

    def __init__(self, settings: PlatformSettings, node: str) -> None:
        transport = BoundedTransport(
            HEAD_BYTES,
            httpx.Limits(max_connections=None),
            httpx.create_ssl_context(trust_env=False),
        )
        http = httpx.AsyncClient(
            base_url=settings.url,
            timeout=settings.timeout_s,
            headers={"Godwit-Node": node},
            transport=transport,
            trust_env=False,
        )
        super().__init__(settings, http)
        self.group: GroupCommit | None = None

    def with_bulk_priority(self) -> "PlatformClient":
        """Return a client with bulk priority that batches transactions in group commits.

        It shares connections, budgets and circuit breaker with this one. Start its
        `group` before use.
        """
        bulk = copy.copy(self)
        bulk.priority = Priority.BULK
        bulk.group = GroupCommit(bulk.transact_directly)
        return bulk

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    def budget_for(self, method: str, path: str) -> RateBudget:
        return self.writes if method == "PUT" or path in WRITE_PATHS else self.reads

    async def read(self, keys: list[str]) -> dict[str, Row]:
        """Return the rows among `keys` that exist, in one consistent read."""
        answer = await self.post("/table/read", {"keys": keys}, rows=len(keys))
        return make_rows(read_answer(answer, RowsPage)["rows"])

    async def scan(self, prefix: str, after: str = "") -> dict[str, Row]:
        """Return every row whose key starts with `prefix` and sorts after `after`.

        Reads page by page.
        """
        rows: dict[str, Row] = {}
        while True:
            answer = await self.post("/table/scan", {"prefix": prefix, "after": after})
            page = read_answer(answer, ScanPage)
            rows |= make_rows(page["rows"])
            if not page["more"] or not page["rows"]:
                return rows
            after = max(page["rows"])

    async def transact(
        self, checks: dict[str, int], writes: dict[str, Json]
    ) -> TransactOutcome:
        """Write `writes` if every row of `checks` still has its version."""
        if self.group is not None:
            return await self.group.transact(checks, writes)
        return await self.transact_directly(checks, writes)

    async def transact_directly(
        self, checks: dict[str, int], writes: dict[str, Json]
    ) -> TransactOutcome:
        """Write in a transaction of its own, without group commit."""
        body = {"checks": checks, "writes": writes}
        answer = await self.post(
            "/table/transact", body, good=(200, 409), rows=len(writes)
        )
        versions = read_answer(answer, Versions)["versions"]
        return Written(versions) if answer.status_code == 200 else Conflict(versions)

    async def fleet(self) -> list[FleetServer]:
        """Return the backend servers that were ordered from the platform."""
        answer = await self.send("GET", "/fleet")
        return [
            FleetServer(**item) for item in read_answer(answer, FleetPage)["servers"]
        ]

    async def order(
        self, body: Json, timeout_s: float, before_write: WriteHook
    ) -> httpx.Response:
        """Send an order for backend servers; the body of a 409 gives the reason for a refusal."""
        return await self.send(
            "POST",
            "/orders",
            (200, 409),
            before_write=before_write,
            json=body,
            timeout=timeout_s,
        )

    async def vms(self) -> list[Vm]:
        """Return the platform's list of VMs, which is updated with a delay."""
        answer = await self.send("GET", "/vms")
        return [Vm(**item) for item in read_answer(answer, VmsPage)["vms"]]

    async def report_usage(self, report: Json, before_write: WriteHook) -> None:
        """Send a usage report to the intake; an identical one may be sent again."""
        await self.send("POST", "/usage", before_write=before_write, json=report)

    async def get_object(self, name: str) -> bytes | None:
        answer = await self.send("GET", f"/objects/{name}", good=(200, 404))
        return answer.content if answer.status_code == 200 else None

    async def put_object(self, name: str, content: bytes) -> None:
        await self.send("PUT", f"/objects/{name}", content=content)

    async def post(
        self, path: str, body: Json, good: tuple[int, ...] = (200,), rows: int = 1
    ) -> httpx.Response:
        return await self.send("POST", path, good, rows, json=body)
