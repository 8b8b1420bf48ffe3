"""Evacuation: backend servers of an evacuated zone get no new requests."""

from collections.abc import AsyncIterator

import httpx
import pytest

from fleet import Fleet, config_of
from godwitmast.platform.wire import OPERATOR_TABLE, READY
from godwitmast.platform_api import feed
from godwitmast.standins.replica import ReplicaStandin
from running import running

pytestmark = pytest.mark.anyio


@pytest.fixture(autouse=True)
def short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(feed, "MAX_WAIT_S", 0.3)


class ZonedFleet(Fleet):
    """A fleet whose second engine and second plain server are in zone `z2`."""

    async def assign_zones(self) -> None:
        for replica in self.in_z2:
            replica.publish_row(READY, zone="z2")
        await self.wait_until(
            lambda: (
                sum(item.zone == "z2" for item in self.node.driver.backends.values())
                == 2
            )
        )

    @property
    def in_z2(self) -> list[ReplicaStandin]:
        return [self.engines[1], self.plain[1]]

    async def evacuate(self, zone: str = "z2", content: bytes = b"{}") -> None:
        self.store.put(OPERATOR_TABLE, f"evacuate/{zone}", content)
        await self.wait_until(lambda: zone in self.node.driver.evacuated)

    async def restore(self, zone: str = "z2") -> None:
        self.store.remove(OPERATOR_TABLE, f"evacuate/{zone}")
        await self.wait_until(lambda: zone not in self.node.driver.evacuated)

    async def request_repeatedly(self, http: httpx.AsyncClient) -> list[int]:
        answers = [
            await self.request(http, path, method, **{"Attempt-Id": f"{path}{n}"})
            for n in range(6)
            for path, method in (("/peek/1", "GET"), ("/digest/1", "POST"))
        ]
        return [answer.status_code for answer in answers]


@pytest.fixture
async def fleet() -> AsyncIterator[ZonedFleet]:
    async with running(ZonedFleet()) as started:
        await started.assign_zones()
        yield started


async def test_servers_of_an_evacuated_zone_get_no_request(
    fleet: ZonedFleet, http: httpx.AsyncClient
) -> None:
    """An evacuation row that is ignored would let requests go there."""
    await fleet.evacuate()
    assert set(await fleet.request_repeatedly(http)) == {200}
    assert not any(replica.served for replica in fleet.in_z2)


async def test_retry_goes_to_no_server_of_an_evacuated_zone(
    fleet: ZonedFleet, http: httpx.AsyncClient
) -> None:
    """The only other server for a failed request is in the evacuated zone."""
    await fleet.evacuate()
    fleet.plain[0].faults.status = 500
    answer = await fleet.request(http, "/peek/1")
    assert answer.status_code == 500
    assert not any(replica.served for replica in fleet.in_z2)


async def test_restored_zone_is_used_again(
    fleet: ZonedFleet, http: httpx.AsyncClient
) -> None:
    await fleet.evacuate()
    await fleet.restore()
    fleet.plain[0].faults.sheds = True
    answer = await fleet.request(http, "/peek/1")
    assert answer.status_code == 200
    assert fleet.plain[1].served


async def test_request_without_a_server_outside_is_refused_as_not_run(
    fleet: ZonedFleet, http: httpx.AsyncClient
) -> None:
    """All zones that have the service are evacuated at once."""
    await fleet.evacuate("z1")
    await fleet.evacuate("z2")
    answer = await fleet.request(http, "/pay/1", "POST")
    assert answer.status_code == 503
    assert float(answer.headers["retry-after"]) > 0


async def test_row_that_cannot_be_read_still_evacuates_its_zone(
    fleet: ZonedFleet, http: httpx.AsyncClient
) -> None:
    """Only the row's key counts; if skipped, its zone would get requests."""
    await fleet.evacuate(content=b"\xff")
    await fleet.request_repeatedly(http)
    assert not any(replica.served for replica in fleet.in_z2)


async def test_unknown_zone_changes_nothing(
    fleet: ZonedFleet, http: httpx.AsyncClient
) -> None:
    await fleet.evacuate("nowhere")
    fleet.plain[0].faults.sheds = True
    assert (await fleet.request(http, "/peek/1")).status_code == 200
    assert fleet.plain[1].served


async def test_metrics_show_evacuated_zones_and_cold_servers(
    fleet: ZonedFleet, http: httpx.AsyncClient
) -> None:
    cold = {"coldStartS": 30.0, "coldPerS": 7.0}
    services = [{"name": "lm", "engine": {"batchSlots": 8}, **cold}, {"name": "app"}]
    await fleet.configure(2, services=services)
    await fleet.evacuate()
    fleet.engines[0].publish_row(READY, coldLeftMs=30_000)
    await fleet.wait_until(lambda: fleet.node.driver.count_cold_servers() == 1)
    page = (await http.get(f"{fleet.node.metrics_server.url}/metrics")).text
    assert "godwit_zone_evacuated 1.0" in page
    assert "godwit_cold_servers 1.0" in page


class EvacuatedFleet(ZonedFleet):
    """A fleet whose VM starts while zone `z1` is evacuated."""

    async def start(self, tasks) -> None:  # type: ignore[no-untyped-def]
        self.configured = False
        await super().start(tasks)
        self.store.put(OPERATOR_TABLE, "evacuate/z1", b"{}")


async def test_starting_vm_applies_an_evacuation_before_it_is_ready(
    http: httpx.AsyncClient,
) -> None:
    """A VM starts during an evacuation, and serves as soon as it is ready."""
    async with running(EvacuatedFleet()) as fleet:
        fleet.store.put_config(config_of(1))
        await fleet.wait_until(lambda: fleet.node.app.ready)
        answer = await fleet.request(http, "/peek/1")
        assert answer.status_code == 503
        assert not any(replica.served for replica in fleet.replicas)
