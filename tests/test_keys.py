"""Callers' keys: expiry, withdrawal during a stream, and disconnected zones."""

import time

import anyio
import httpx
import pytest

from godwitmast.dev.document import MODEL, SERVICE, dev_document, dev_key
from godwitmast.dev.system import DevSystem
from godwitmast.keys.hashing import hash_key
from running import running

pytestmark = pytest.mark.anyio

BEARER = {"Authorization": f"Bearer {dev_key('arima')}"}
LONG = {
    "model": MODEL,
    "stream": True,
    "max_tokens": 1024,
    "messages": [{"role": "user", "content": "length=1000"}],
}


async def put(system: DevSystem, team: dict | None = None, **grant: object) -> None:
    """Publish a configuration with a changed team and key of arima; await it."""
    urls = [engine.server.url for engine in system.engines]
    document = dev_document(urls, system.service.server.url)
    document["teams"]["arima"] = team or {}
    document["keys"][hash_key(dev_key("arima"))] |= grant
    number = system.platform.put_config(document)
    with anyio.fail_after(10):
        while system.entries[0].follower.version < number:
            await anyio.sleep(0.02)


async def test_stream_of_a_key_that_expires_is_ended(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    """A caller's key expires while it receives a long answer.

    The stream ends with an error event at the next check of open streams, which runs
    every second, rather than at the end of the answer.
    """
    async with running(system):
        await put(system, expires_at=time.time() + 4.0)
        url = f"{system.entries[0].server.url}/v1/chat/completions"
        answer = await http.post(url, headers=BEARER, json=LONG)
        assert answer.status_code == 200
        assert '"code":"invalid_key"' in answer.text
        assert 0 < answer.text.count('"content"') < 1000
        refused = await http.post(url, headers=BEARER, json=LONG)
        assert refused.status_code == 401
        assert refused.json()["error"]["code"] == "expired_key"


async def test_disconnected_zone_refuses_only_teams_with_an_offline_grace(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    """The entry has had no contact with the platform for a minute, and has no peers.

    A withdrawal could not have arrived. The team with an offline grace of 30 s is
    refused, with "not run"; other teams are served.
    """
    async with running(system):
        await put(system, team={"offline_grace_s": 30.0})
        url = f"{system.entries[0].server.url}/services/{SERVICE}/gifts"
        assert (await http.get(url, headers=BEARER)).status_code == 200
        system.entries[0].app.seconds_since_contact = lambda: 60.0
        refused = await http.get(url, headers=BEARER)
        assert refused.status_code == 503
        assert refused.json()["error"]["code"] == "key_not_checkable"
        assert refused.headers["godwit-not-run"] == "true"
        other = {"Authorization": f"Bearer {dev_key('couva')}"}
        assert (await http.get(url, headers=other)).status_code == 200


async def test_follower_reports_how_long_it_was_disconnected(system: DevSystem) -> None:
    async with running(system):
        follower = system.entries[0].follower
        assert follower.seconds_since_contact() < 5.0
        system.platform.faults.outage = True
        follower.last_contact = anyio.current_time() - 60.0
        await follower.pull()
        assert follower.seconds_since_contact() >= 60.0
        system.platform.faults.outage = False
        follower.record_contact()
        assert follower.seconds_since_contact() < 5.0
