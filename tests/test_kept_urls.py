"""URLs of servers and of calls to the platform are parsed once, with the same results."""

import httpx
import pytest

from fleet import PROMPT, Fleet
from godwitmast.backends.client import parse_url
from godwitmast.platform_api.http import merge_url
from running import running

SERVERS = (
    "http://127.0.0.1:8000",
    "http://127.0.0.1:8000/base/",
    "http://Engine-1.Example:80",
    "http://[::1]:8000/a%2fb?c=d",
)
PATHS = ("/v1/rows", "rows", "/objects/a%2Fb", "/objects/ä b", "/x?y=1&z=%20", "")
PARAMS: tuple[dict[str, str] | None, ...] = (None, {"table": "t", "from": "a/b c"})
REQUESTS = 20


@pytest.mark.parametrize("server", SERVERS)
def test_request_with_a_kept_url_is_the_same(server: str) -> None:
    """Guards against another target or host because of a URL that was parsed before."""
    for _ in range(2):
        kept = httpx.Request("GET", parse_url(server))
        plain = httpx.Request("GET", server)
        assert (kept.url, kept.headers) == (plain.url, plain.headers)
        assert parse_url(server).raw_path == httpx.URL(server).raw_path


@pytest.mark.parametrize("server", SERVERS)
@pytest.mark.parametrize("path", PATHS)
def test_call_with_a_kept_url_is_the_same(server: str, path: str) -> None:
    """Guards against another path of a call than the HTTP client would merge."""
    http = httpx.AsyncClient(base_url=server)
    for params in PARAMS:
        url = merge_url(http.base_url, path)
        kept = http.build_request("GET", url, params=params)
        plain = http.build_request("GET", path, params=params)
        assert (str(kept.url), kept.url.raw_path) == (
            str(plain.url),
            plain.url.raw_path,
        )
        assert kept.headers == plain.headers


@pytest.mark.anyio
async def test_requests_to_the_same_servers_parse_no_url_anew() -> None:
    """Guards against a URL that is parsed twice for each request and for each call."""
    async with running(Fleet()) as fleet, httpx.AsyncClient() as http:
        for number in range(REQUESTS):
            answer = await fleet.request(
                http, f"/chat/{number}", "POST", attempt_id=f"a{number}", **PROMPT
            )
            assert answer.status_code == 200
            if number == REQUESTS // 2:
                before = parse_url.cache_info(), merge_url.cache_info()
        after = parse_url.cache_info(), merge_url.cache_info()
    servers, calls = (
        (new.hits - old.hits, new.misses - old.misses)
        for new, old in zip(after, before, strict=True)
    )
    assert servers[0] >= REQUESTS // 2 - 1 and servers[1] == 0
    # Some calls, such as those of a usage window, have a path of their own.
    assert calls[0] > calls[1]
