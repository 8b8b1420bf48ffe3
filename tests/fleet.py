"""One entry VM on a stand-in of the users' platform, with its backend servers."""

from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup

from godwitmast.platform.daemon import Node
from godwitmast.platform.settings import PlatformFile
from godwitmast.settings import check_settings
from godwitmast.standins.endless import EndlessFront
from godwitmast.standins.replica import ReplicaStandin
from godwitmast.standins.store import StoreStandin

HOST = "gifts.example"
KEY = "key-of-arima"
OTHER_KEY = "key-of-couva"
READY_WITHIN_S = 10


def settings_of(store_port: int, **bounds: Any) -> dict[str, Any]:
    """Return the content of a settings file in the platform's format."""
    store = f"127.0.0.1:{store_port}"
    return {
        "node": "front-1",
        "role": "node",
        "ip": "127.0.0.1",
        "portRange": [0, 0],
        "zone": "z1",
        "region": "r1",
        "unheardOf": {"in": "these tests"},
        "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"},
        "bounds": {
            "drainMs": 2000,
            "graceS": 6,
            "configDeadlineMs": 2000,
            "leaseMs": 300,
            "windowS": 1,
            "usageLateS": 2,
            **bounds,
        },
        "platform": {"address": store, "writesPerS": 400},
        "cloudApi": {"address": store, "duties": ["usage"]},
    }


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict:
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 3000,
        "sloMs": 500,
        "priority": 1,
        "service": service,
        "attempts": 2,
        **more,
    }


def config_of(version: int, **more: Any) -> dict[str, Any]:
    """Return a configuration in the operators' format."""
    return {
        "version": version,
        "routes": [
            route("chat", "/chat/", "streaming", "lm", gapAimMs=250, resumable=True),
            route("digest", "/digest/", "streaming", "lm", gapAimMs=600, attempts=1),
            route("pay", "/pay/", "non_idempotent", "app", attempts=1),
            route("peek", "/peek/", "idempotent", "app"),
            route("deep", "/peek/deep/", "idempotent", "lm"),
            route("open", "/open/", "idempotent", "app", public=True),
            route("brief", "/brief/", "idempotent", "app", timeoutMs=300),
        ],
        "services": [{"name": "lm", "engine": {"batchSlots": 8}}, {"name": "app"}],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 10_000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [
            {"name": "arima", "apiKeys": [KEY], "priority": 3},
            {"name": "couva", "apiKeys": [OTHER_KEY]},
        ],
        **more,
    }


def request_headers(attempt_id: str = "a1", **more: str) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {
        "Host": HOST,
        "Attempt-Id": attempt_id,
        "Deadline-Ms": "5000",
        "Authorization": f"Bearer {KEY}",
        **more,
    }


PROMPT = {
    "Model": "m",
    "Token-Usage": "1460,80",
    "Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
}


@dataclass
class Fleet:
    """The store, two engines, two replicas of a plain service, and a node."""

    bounds: dict[str, Any] = field(default_factory=dict)
    configured: bool = True
    settings: dict[str, Any] = field(default_factory=dict)
    """Fields of the settings of all VMs that differ from the usual ones."""
    added: list[Node] = field(default_factory=list)
    fronted: bool = False
    """Whether the first VM reaches the store through `front`, which can flood it."""
    epoch: int | None = None
    """The epoch that the store tells from its first answer on, if any."""

    async def start(self, tasks: TaskGroup) -> None:
        self.tasks = tasks
        self.store = StoreStandin(epoch=self.epoch)
        await self.store.start(tasks)
        self.front = EndlessFront(self.store.server.port)
        await self.front.start(tasks)
        self.engines = [
            ReplicaStandin(self.store, f"e{n}", "lm", streams=True) for n in (1, 2)
        ]
        self.plain = [ReplicaStandin(self.store, f"p{n}", "app") for n in (1, 2)]
        for replica in self.replicas:
            await replica.start(tasks)
        if self.configured:
            self.store.put_config(config_of(1))
        port = self.front.port if self.fronted else self.store.server.port
        raw = settings_of(port, **self.bounds) | self.settings
        settings = check_settings(raw, PlatformFile, "settings")
        self.node = Node(settings, metrics_port=0)
        await self.node.start(tasks)
        if self.configured:
            await self.wait_until(lambda: self.node.app.ready)

    async def add_vm(self, name: str, **changes: Any) -> Node:
        """Start one more VM; `changes` replace fields of its settings."""
        raw = settings_of(self.store.server.port, **self.bounds) | self.settings
        raw["node"] = name
        settings = check_settings({**raw, **changes}, PlatformFile, "settings")
        node = Node(settings, metrics_port=0)
        await node.start(self.tasks)
        await self.wait_until(lambda: node.app.ready)
        self.added.append(node)
        return node

    async def close(self) -> None:
        async with anyio.create_task_group() as closing_tasks:
            for node in self.nodes:
                closing_tasks.start_soon(node.close)
        for replica in self.replicas:
            await replica.close()
        await self.store.close()

    @property
    def replicas(self) -> list[ReplicaStandin]:
        return [*self.engines, *self.plain]

    @property
    def nodes(self) -> list[Node]:
        return [self.node, *self.added]

    def rows_of_vms(self) -> set[str]:
        return {key for _, key in self.store.rows if key.startswith("node/")}

    @property
    def url(self) -> str:
        return self.node.caller_server.url

    async def wait_until(self, holds: Any) -> None:
        with anyio.fail_after(READY_WITHIN_S):
            while not holds():
                await anyio.sleep(0.01)

    async def request(
        self,
        http: httpx.AsyncClient,
        path: str,
        method: str = "GET",
        content: bytes = b"",
        node: Node | None = None,
        **headers: str,
    ) -> httpx.Response:
        return await http.request(
            method,
            (node or self.node).caller_server.url + path,
            headers=request_headers(
                **{k.replace("_", "-"): v for k, v in headers.items()}
            ),
            content=content,
        )

    async def configure(self, version: int, **more: Any) -> None:
        """Store a configuration, and wait until it is in force on the node."""
        self.store.put_config(config_of(version, **more))
        await self.wait_until(lambda: self.node.config_version() == version)
