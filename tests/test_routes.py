"""Look-up of routes by host and prefix."""

import pytest

from godwitmast.routes.table import Route, RouteTable, Split
from godwitmast.types import ClassName, PoolName


def route(name: str, host: str, prefix: str, *splits: Split) -> Route:
    pools = splits or (Split(PoolName("p"), 1.0),)
    return Route(name, host, prefix, ClassName("c"), 0, pools, 1.0)


TABLE = RouteTable(
    [
        route("all", "a.example", "/"),
        route("one", "a.example", "/one/"),
        route("deep", "a.example", "/one/two/"),
        route("other", "b.example", "/one/"),
    ]
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/", "all"),
        ("a.example", "/one", "all"),
        ("a.example", "/one/", "one"),
        ("A.Example", "/one/x", "one"),
        ("a.example", "/one/two/x/y", "deep"),
        ("a.example", "/onetwo/", "all"),
        ("b.example", "/one/two/x", "other"),
        ("b.example", "/", None),
        ("c.example", "/one/", None),
        ("a.example", "no-slash", None),
    ],
)
def test_longest_prefix_that_begins_the_path_wins(
    host: str, path: str, name: str | None
) -> None:
    found = TABLE.match(host, path)
    assert (found.name if found else None) == name


def test_pools_are_drawn_by_weight() -> None:
    splits = [
        Split(PoolName("a"), 90),
        Split(PoolName("b"), 0),
        Split(PoolName("c"), 10),
    ]
    drawn = [route("r", "h", "/", *splits).choose_pool(n / 100) for n in range(100)]
    assert (drawn.count("a"), drawn.count("b"), drawn.count("c")) == (90, 0, 10)
