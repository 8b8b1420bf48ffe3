"""Engines that state impossible numbers of tokens in their answers."""

import httpx
import pytest

from godwitmast.dev.document import MODEL, dev_document, dev_key
from godwitmast.dev.system import DevSystem
from godwitmast.entry.events import MAX_STATED_TOKENS, read_usage
from godwitmast.types import TokenCount
from raw_server import RawServer, answer_of
from running import running
from test_claims import version_in_force

BEARER = {"Authorization": f"Bearer {dev_key('arima')}"}
ODD_COUNTS = [-1, -(2**63), MAX_STATED_TOKENS + 1, 2**64, 10**400]
MANY = 1000


def body_of(count: int, streams: bool) -> bytes:
    """Return an answer of an engine that states `count` output tokens."""
    usage = f'{{"prompt_tokens": 5, "completion_tokens": {count}}}'
    data = f'{{"choices": [{{"text": "hi"}}], "usage": {usage}}}'
    text = f"data: {data}\n\ndata: [DONE]\n\n" if streams else data
    return text.encode()


@pytest.mark.anyio
@pytest.mark.parametrize("streams", [False, True])
@pytest.mark.parametrize("count", ODD_COUNTS)
async def test_answer_with_impossible_usage_is_passed_on_and_billed_by_estimate(
    system: DevSystem, http: httpx.AsyncClient, count: int, streams: bool
) -> None:
    """Guards against answers that are replaced by an error, or billed with any number,
    as their engine states an impossible usage."""
    body = body_of(count, streams)
    kind = b"Content-Type: " + (
        b"text/event-stream" if streams else b"application/json"
    )
    engine = RawServer(answer_of(body, kind))
    async with running(system), running(engine):
        system.put_config(dev_document([engine.url], system.service.server.url))
        await version_in_force(system, 2)
        [entry] = system.entries
        answer = await http.post(
            f"{entry.server.url}/v1/completions",
            headers=BEARER,
            json={"model": MODEL, "prompt": "hello", "stream": streams},
        )
        assert (answer.status_code, answer.content) == (200, body)
        [billed] = entry.meter.sums.values()
        assert billed.requests == 1
        assert 0 <= billed.output_tokens <= MANY
        assert 0 <= billed.prompt_tokens <= MANY


@pytest.mark.parametrize("count", [0, 1, MAX_STATED_TOKENS])
def test_possible_usage_is_taken_as_stated(count: int) -> None:
    """Guards against bills by an estimate where the engine's own count is there."""
    assert read_usage(body_of(count, False)) == TokenCount(5, count)
