"""A fleet whose engines have two software versions."""

from dataclasses import dataclass

import httpx
from anyio.abc import TaskGroup

from fleet import Fleet, request_headers
from godwitmast.platform.daemon import Node
from godwitmast.platform.wire import DRAINING, READY
from godwitmast.standins.replica import ReplicaStandin


@dataclass
class MixedFleet(Fleet):
    """Two VMs, and two engines each of two versions."""

    async def start(self, tasks: TaskGroup) -> None:
        await super().start(tasks)
        for number, version in ((3, "v1"), (4, "v2")):
            engine = ReplicaStandin(self.store, f"e{number}", "lm", streams=True)
            engine.version = version
            self.engines.append(engine)
            await engine.start(tasks)
        self.engines[1].version = "v2"
        self.engines[1].publish_row(READY)
        await self.add_vm("front-2")
        await self.wait_until(lambda: all(self.knows_versions(n) for n in self.nodes))

    def knows_versions(self, node: Node) -> bool:
        rows = node.driver.listed_backends
        listed = {name: getattr(row, "version", "") for name, row in rows.items()}
        return listed.keys() >= {"e1", "e2", "e3", "e4"} and (
            listed["e2"] in ("v2", "")
        )

    def engines_of(self, version: str) -> list[ReplicaStandin]:
        return [engine for engine in self.engines if engine.version == version]

    def streams(self) -> list[ReplicaStandin]:
        """Return the engines that have run a stream, in the order of these runs."""
        return [engine for engine in self.engines if engine.served]

    async def leave(self, version: str) -> None:
        """Let all engines of a version leave."""
        for engine in self.engines_of(version):
            engine.publish_row(DRAINING)
        names = {engine.server_id for engine in self.engines_of(version)}
        await self.wait_until(
            lambda: all(
                node.driver.listed_backends[name].leaving
                for node in self.nodes
                for name in names
            )
        )

    async def break_stream(self, http: httpx.AsyncClient) -> tuple[str, str]:
        """Begin a stream that its client breaks off; return its version and last event."""
        for engine in self.engines:
            engine.event_s = 0.1
        received = b""
        stream = http.stream("GET", self.url + "/chat/1", headers=self.headers("a1"))
        async with stream as answer:
            async for data in answer.aiter_raw():
                received += data
                if b"event 2" in received:
                    break
        [begun] = self.streams()
        await self.wait_until(lambda: not any(e.running for e in self.engines))
        assert begun.version is not None
        return begun.version, received.decode().rpartition("id: ")[2].partition("\n")[0]

    def headers(self, attempt_id: str, **more: str) -> dict[str, str]:
        return request_headers(attempt_id, **more)

    async def resume(
        self, http: httpx.AsyncClient, node: Node, last_id: str, resumes: str = "a1"
    ) -> httpx.Response:
        """Take the stream up again as a client does."""
        for engine in self.engines:
            engine.served.clear()
        more = {"Last-Event-Id": last_id, "Resumes": resumes}
        return await http.get(
            node.caller_server.url + "/chat/1", headers=self.headers("a2", **more)
        )
