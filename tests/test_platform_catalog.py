"""Platform configuration and server rows, converted to the router's types."""

import pytest
from msgspec import json

from fleet import config_of, route
from godwitmast.config.document import FleetPolicy
from godwitmast.dispatch.messages import LoadReport
from godwitmast.entry.events import EventIdReader
from godwitmast.errors import ConfigInvalid
from godwitmast.platform.catalog import (
    ColdBounds,
    Ranks,
    fleet_policy,
    read_config,
    read_servers,
)
from godwitmast.platform.frontend import (
    read_deadline,
    read_load,
    read_parts,
    read_tokens,
)
from godwitmast.platform.store import count_requests
from godwitmast.types import PoolName
from godwitmast.usage.rows import FrozenWindow


def test_routes_rank_within_equal_teams_and_teams_before_routes() -> None:
    ranks = Ranks({0, 1, 2}, {1})
    assert [ranks.of(r, 1) for r in (0, 1, 2)] == sorted(
        ranks.of(r, 1) for r in (0, 1, 2)
    )
    assert ranks.of(0, 1) < ranks.of(1, 1) < ranks.of(2, 1)
    assert ranks.of(0, None) < ranks.of(0, 1) < ranks.of(2, None)


def test_ranks_stay_within_the_tiers_that_there_are() -> None:
    ranks = Ranks(set(range(10)), set(range(20)))
    order = [ranks.of(r, t) for t in range(20) for r in range(10)]
    assert order == sorted(order)
    assert (order[0], order[-1]) == (0, 98)


def test_classes_are_as_many_as_kinds_and_not_as_routes() -> None:
    routes = [route(f"r{n}", f"/r{n}/", "idempotent", "app") for n in range(350)]
    catalog = read_config(json.encode(config_of(3, routes=routes)))
    assert len(catalog.config.document.classes) == 2
    assert catalog.routes.match("gifts.example", "/r349/x")


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"[]",
        b'{"version": "seven"}',
        b'{"version": 1, "routes": [{"name": "x"}]}',
        json.encode(config_of(1, routes=[route("r", "/r/", "idempotent", None)])),  # type: ignore[arg-type]
        json.encode(config_of(1, tenants=[{"name": 7}])),
    ],
)
def test_configuration_that_cannot_be_read_is_an_error(content: bytes) -> None:
    with pytest.raises(ConfigInvalid):
        read_config(content)


def test_configuration_without_tenants_requires_no_key() -> None:
    config = config_of(1)
    del config["tenants"]
    found = read_config(json.encode(config)).routes.match("gifts.example", "/pay/1")
    assert found and found.public


@pytest.mark.parametrize(
    ("text", "seconds"),
    [(None, float("inf")), ("1500", 1.5), ("0.5", 0.0005), ("0", None), ("-1", None)],
)
def test_deadline_is_milliseconds(text: str | None, seconds: float | None) -> None:
    assert read_deadline(text) == seconds


@pytest.mark.parametrize("text", ["x", "nan", ""])
def test_deadline_that_is_no_number_is_none(text: str) -> None:
    assert read_deadline(text) is None


def test_prompt_parts_are_read_whole_or_not_at_all() -> None:
    assert [tuple(p) for p in read_parts("a:1, b:2")] == [("a", 1), ("b", 2)]
    for bad in ("", "a", "a:x", ":3", "a:1,,b:2"):
        assert read_parts(bad) == ()
    assert read_tokens("1460,80") == (1460, 80)
    assert read_tokens("1460") == read_tokens("a,b") == (0, 0)


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_reader_keeps_the_last_complete_event_id_however_bytes_are_split(
    line_end: bytes,
) -> None:
    event = b"id: %d\ndata: x\n\n".replace(b"\n", line_end)
    stream = b"".join(event % n for n in range(1, 4))
    for size in range(1, len(stream)):
        reader = EventIdReader()
        pieces = [stream[i : i + size] for i in range(0, len(stream), size)]
        assert b"".join(map(reader.feed, pieces)) + reader.end() == stream
        assert (reader.delivered, reader.last_id) == (3, "3")
        assert reader.done


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_stream_is_complete_only_after_a_complete_event(line_end: bytes) -> None:
    """Guards against half an event that is passed on as the end of a stream."""
    event = b"id: 1\ndata: x\n\n".replace(b"\n", line_end)
    # Of an empty line's CRLF the CR alone ends the event.
    complete_from = 2 * len(event) - (line_end == b"\r\n")
    for size in range(len(event), 2 * len(event) + 1):
        sent = (event * 2)[:size]
        reader = EventIdReader()
        forwarded = reader.feed(sent) + reader.end()
        is_whole = size == len(event) or size >= complete_from
        assert reader.done == is_whole
        assert forwarded == (sent if is_whole else event)


def test_partial_event_is_discarded_before_another_server_resumes() -> None:
    reader = EventIdReader()
    assert reader.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    reader.discard_partial_event()
    assert reader.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert reader.last_id == "2"


def test_report_counts_what_began_in_its_window_only() -> None:
    figures = [
        ["t", "c", "p", 5, 0, 0],
        ["t", "d", "p", 2, 0, 0],
        ["u", "c", "p", 1, 0, 0],
    ]
    late = [["t", "c", "p", 3, 0, 0], ["u", "c", "p", 1, 0, 0]]
    assert count_requests(FrozenWindow(10, 15, figures, late)) == {"t": 4}


@pytest.mark.parametrize(
    ("engine", "fetches"),
    [
        ({"kvTokenBytes": 163_840, "linkMbps": 550_000.0}, True),
        ({"kvTokenBytes": 163_840, "linkMbps": 25_000.0}, False),
        ({"kvTokenBytes": 0, "linkMbps": 550_000.0}, False),
        ({"batchSlots": 8}, False),
    ],
)
def test_engines_copy_parts_only_over_links_faster_than_prefill(
    engine: dict[str, float], fetches: bool
) -> None:
    config = config_of(1)
    config["services"][0]["engine"] = engine
    models = read_config(json.encode(config)).config.document.models
    assert models[PoolName("lm")].fetches is fetches


def test_cold_servers_of_a_service_are_bounded_over_all_vms() -> None:
    config = config_of(1)
    config["services"][0] |= {"coldStartS": 3.0, "coldPerS": 7.0}
    catalog = read_config(json.encode(config), ColdBounds(1.5, 5.0))
    [model] = catalog.config.document.models.values()
    assert model.cold_start == (7.0, 15.5, 3.0)
    [service] = catalog.config.document.services.values()
    assert service.cold_start is None


@pytest.mark.parametrize(
    "said", [{"coldStartS": 3.0}, {"coldPerS": 7.0}, {"coldStartS": 3, "coldPerS": -1}]
)
def test_service_without_a_complete_bound_for_cold_servers_has_none(
    said: dict[str, float],
) -> None:
    config = config_of(1)
    config["services"][0] |= said
    [model] = read_config(json.encode(config)).config.document.models.values()
    assert model.cold_start is None


ROW = {
    "service": "lm",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "state": "ready",
    "batchSlots": 8,
    "coldLeftMs": 0,
    "sequence": 3,
}


@pytest.mark.parametrize(
    ("said", "cold_s", "incarnation"),
    [
        ({"coldLeftMs": 2500, "born": 7}, 2.5, 7),
        ({}, 0.0, 0),
        ({"coldLeftMs": -80}, 0.0, 0),
    ],
)
def test_row_states_how_long_its_server_stays_cold(
    said: dict[str, float], cold_s: float, incarnation: int
) -> None:
    [server] = read_servers({"e1": json.encode(ROW | said)}).values()
    assert (server.cold_s, server.incarnation) == (cold_s, incarnation)


@pytest.mark.parametrize("said", [{"coldLeftMs": "long"}, {"born": [1]}])
def test_row_with_a_field_of_another_type_adds_no_server(
    said: dict[str, object],
) -> None:
    assert read_servers({"e1": json.encode(ROW | said)}) == {}


@pytest.mark.parametrize(
    ("invariants", "policy"),
    [
        ((), FleetPolicy("auto", "auto", "off")),
        (("base", "tenants"), FleetPolicy("auto", "auto", "off")),
        (("base", "pressure"), FleetPolicy("auto", "on", "on")),
    ],
)
def test_rules_of_a_deployment_decide_what_vms_decide_together(
    invariants: tuple[str, ...], policy: FleetPolicy
) -> None:
    catalog = read_config(
        json.encode(config_of(3)), ColdBounds(), fleet_policy(invariants)
    )
    assert catalog.config.document.fleet == policy


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,0,8", LoadReport(3, 0)),
        ("3,0,8,250", LoadReport(3, 0, percent=250)),
        ("3, 0, 8, 250", LoadReport(3, 0, percent=250)),
        ("3,0,8,250,1", LoadReport(3, 0)),
        ("3,0,8,fast", LoadReport(3, 0)),
        ("3,0,8,0", LoadReport(3, 0)),
        ("3,0,8,10001", LoadReport(3, 0)),
        ("3,0", LoadReport(3, 0)),
        ("3", None),
        ("", None),
        ("idle", None),
        ("9" * 5000 + ",0,8", None),
    ],
)
def test_load_header_of_any_form_is_read_or_ignored(
    text: str, load: LoadReport | None
) -> None:
    """Guards against an answer that fails as its server's header is malformed."""
    assert read_load(text) == load
