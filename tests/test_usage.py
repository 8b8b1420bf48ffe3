"""Usage from callers' answers to the platform's intake, over real sockets."""

import anyio
import httpx
import pytest

from fakes import FakePlatform
from godwitmast.dev.document import MODEL, dev_key
from godwitmast.dev.system import DevSystem
from godwitmast.platform_api.steps import Failure
from godwitmast.usage.journal import MAX_SEGMENTS, Flushed, Journal
from godwitmast.usage.meter import UsageKey, UsageSum
from godwitmast.usage.rows import load_node
from running import running

pytestmark = pytest.mark.anyio

BEARER = {"Authorization": f"Bearer {dev_key('arima')}"}
KEY = UsageKey("arima", "question", MODEL)


async def test_clean_stop_leaves_all_usage_in_the_table(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    async with running(system):
        entry = system.entries[0]
        url = f"{entry.server.url}/v1/chat/completions"
        body = {"model": MODEL, "messages": [{"role": "user", "content": "length=5"}]}
        for _ in range(4):
            answer = await http.post(url, headers=BEARER, json=body)
            assert answer.status_code == 200
        system.entries.clear()
        await entry.close()
        row = system.platform.table.read([entry.journal.key])[entry.journal.key]
        written = load_node(row.value)
        assert written.ended
        sums = [sums[KEY] for sums in written.segments.values()]
        assert sum(s.requests for s in sums) == 4
        assert sum(s.output_tokens for s in sums) == 20


async def test_node_row_tells_the_configuration_and_takes_one_write(
    system: DevSystem,
) -> None:
    async with running(system):
        entry = system.entries[0]
        with anyio.fail_after(10):
            while entry.journal.last is None or entry.journal.last.config != 1:
                await anyio.sleep(0.02)


def test_long_outage_is_bounded_in_memory_and_loses_nothing() -> None:
    """The table is away for a day of one-minute windows, while work goes on.

    Only unsent windows are added up, so that what was perhaps taken is never billed
    under another window's name; the sum is whole when the table is back.
    """
    platform = FakePlatform()
    journal = Journal("entry-1", "a", 60)
    assert platform.run(journal.flush(0.0)) is Flushed.WRITTEN
    platform.away = True
    for minute in range(24 * 60):
        journal.add(KEY, UsageSum(1, 2, 3), minute * 60.0)
        platform.run(journal.flush(minute * 60.0))
        if minute % 100 == 0:
            steps = journal.flush(minute * 60.0)
            next(steps)
            steps.send(Failure.UNKNOWN)
            steps.close()
    assert len(journal.segments) <= MAX_SEGMENTS + 1
    platform.away = False
    while not (journal.last and journal.last.ended and journal.holds_all):
        platform.run(journal.flush(90_000.0, ended=True))
    row = load_node(platform.table.read([journal.key])[journal.key].value)
    assert sum(sums[KEY].requests for sums in row.segments.values()) == 24 * 60
