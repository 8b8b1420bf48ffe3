"""The platform over HTTP."""

from types import TracebackType
from typing import Any, Self

import httpx

from godwitmast.errors import (
    PlatformOutcomeUnknown,
    PlatformThrottled,
    PlatformUnavailable,
)
from godwitmast.platform_api.messages import (
    Conflict,
    FleetServer,
    Row,
    TransactOutcome,
    Vm,
    Written,
)
from godwitmast.settings import PlatformSettings
from godwitmast.types import Json

CONNECTIONS = 8


class PlatformClient:
    """Calls to the platform; each either answers or raises a PlatformError.

    PlatformUnavailable says that nothing took effect; PlatformOutcomeUnknown says
    that a write may have, and its caller settles that by reading again.
    """

    def __init__(self, settings: PlatformSettings, node: str) -> None:
        self.http = httpx.AsyncClient(
            base_url=settings.url,
            timeout=settings.timeout_s,
            headers={"Godwit-Node": node},
            limits=httpx.Limits(max_connections=CONNECTIONS),
            trust_env=False,
        )

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        await self.http.aclose()

    async def read(self, keys: list[str]) -> dict[str, Row]:
        """Return the rows among `keys` that exist, as of one moment."""
        answer = await self.post("/table/read", {"keys": keys})
        return {key: Row(**row) for key, row in answer.json()["rows"].items()}

    async def scan(self, prefix: str, after: str = "") -> dict[str, Row]:
        """Return every row whose key starts with `prefix`, page by page.

        With `after`, only those whose keys are past it.
        """
        rows: dict[str, Row] = {}
        while True:
            answer = await self.post("/table/scan", {"prefix": prefix, "after": after})
            page = answer.json()
            rows |= {key: Row(**row) for key, row in page["rows"].items()}
            if not page["more"]:
                return rows
            after = max(page["rows"])

    async def transact(
        self, checks: dict[str, int], writes: dict[str, Json]
    ) -> TransactOutcome:
        """Write `writes` if every row of `checks` still has its version."""
        body = {"checks": checks, "writes": writes}
        answer = await self.post("/table/transact", body, good=(200, 409))
        versions = answer.json()["versions"]
        return Written(versions) if answer.status_code == 200 else Conflict(versions)

    async def fleet(self) -> list[FleetServer]:
        """Return the backend servers that were ordered."""
        answer = await self.send("GET", "/fleet")
        return [FleetServer(**item) for item in answer.json()["servers"]]

    async def order(self, body: Json, timeout_s: float) -> httpx.Response:
        """Give a backend server order; 409 says why it was not taken."""
        good = (200, 409)
        return await self.send("POST", "/orders", good, json=body, timeout=timeout_s)

    async def vms(self) -> list[Vm]:
        """Return the platform's list of VMs, which lags."""
        answer = await self.send("GET", "/vms")
        return [Vm(**item) for item in answer.json()["vms"]]

    async def report_usage(self, report: Json) -> None:
        """Hand a usage report to the intake; it may be sent again, alike."""
        await self.post("/usage", report)

    async def get_object(self, name: str) -> bytes | None:
        answer = await self.send("GET", f"/objects/{name}", good=(200, 404))
        return answer.content if answer.status_code == 200 else None

    async def put_object(self, name: str, content: bytes) -> None:
        await self.send("PUT", f"/objects/{name}", content=content)

    async def post(
        self, path: str, body: Json, good: tuple[int, ...] = (200,)
    ) -> httpx.Response:
        return await self.send("POST", path, good, json=body)

    async def send(
        self, method: str, path: str, good: tuple[int, ...] = (200,), **content: Any
    ) -> httpx.Response:
        """Return an answer with a status in `good`, or raise a PlatformError."""
        if self.http.is_closed:
            raise PlatformUnavailable(f"{path}: closed")
        try:
            answer = await self.http.request(method, path, **content)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise PlatformUnavailable(f"{path}: {error!r}") from None
        except httpx.HTTPError as error:
            raise PlatformOutcomeUnknown(f"{path}: {error!r}") from None
        if answer.status_code in good:
            return answer
        if answer.status_code == 429:
            raise PlatformThrottled(path)
        if answer.status_code == 503:
            raise PlatformUnavailable(f"{path}: 503")
        raise PlatformOutcomeUnknown(f"{path}: {answer.status_code}")
