"""Rows of the configuration and of claims that another program wrote."""

from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from godwitmast.claims.machine import (
    Answer,
    Call,
    ClaimGranted,
    InDoubt,
    Unclaimed,
    claim,
    look_up,
    release,
)
from godwitmast.config.change import Patch, propose, read_history
from godwitmast.config.machine import ConfigState, catch_up
from godwitmast.config.rows import Snapshot, delta_key, first_rows
from godwitmast.dev.document import dev_document
from godwitmast.errors import ConfigInvalid
from odd_tables import PlainTable
from odd_values import ODD_JSON, change, render, sites_of

CALL = Call("arima", "key-1", "hash", "vm/1/1", 5.0)
DONE = {
    "body": "hash",
    "attempt": "other",
    "at": 1.0,
    "state": "done",
    "answer": {"status": 200, "headers": [["a", "b"]], "text": "x", "object": None},
}
CLAIMED = {**DONE, "state": "claimed", "answer": None}


def odd_contents(example: Any) -> Iterator[bytes]:
    """Yield JSON documents with an odd value in one place each."""
    for path in sites_of(example):
        for value in ODD_JSON:
            yield render(change(example, path, value))


@pytest.mark.parametrize("example", [DONE, CLAIMED], ids=["done", "claimed"])
def test_odd_row_of_a_claim_runs_no_call(example: dict[str, Any]) -> None:
    """Guards against a row of a claim that ends an entry, or lets a call run twice."""
    for content in odd_contents(example):
        table = PlainTable(rows={CALL.row_key: content}, content=b"x")
        outcome = table.run(look_up(CALL))
        assert not isinstance(outcome, ClaimGranted)
        assert not isinstance(outcome, Unclaimed) or b'"released"' in content
        if outcome is not None and hasattr(outcome, "answer"):
            answer = outcome.answer
            assert answer is None or isinstance(Answer(*answer).body, bytes)
        table.run(claim(CALL, Unclaimed(0)))
        table.run(release(CALL))


@pytest.mark.parametrize("value", [None, [], "x", {}, {"state": "done"}])
def test_outcome_of_a_claim_that_cannot_be_read_is_unknown(value: Any) -> None:
    """Guards against a call that runs although another program replaced its claim."""
    table = PlainTable(rows={CALL.row_key: msgspec.json.encode(value)})
    assert table.run(look_up(CALL)) == InDoubt(False, 0.0)


def config_table() -> PlainTable:
    rows = first_rows(dev_document(["http://e"], "http://s"))
    contents = {key: msgspec.json.encode(value) for key, value in rows.items()}
    content = msgspec.json.encode(Snapshot(1, dev_document(["http://e"], "http://s")))
    return PlainTable(rows=contents, content=content)


HEAD = {"number": 3, "snapshot": "s", "snapshot_number": 1}
DELTA = {
    "number": 2,
    "patch": {},
    "patch_id": "p",
    "author": "",
    "at": 1.0,
    "reason": "",
}


@pytest.mark.parametrize(
    ("key", "example"),
    [("config/head", HEAD), (delta_key(2), DELTA), ("config/patch/p", {"number": 2})],
)
def test_odd_row_of_the_configuration_changes_nothing(
    key: str, example: dict[str, Any]
) -> None:
    """Guards against a row of the configuration that ends the entry that follows it."""
    for content in odd_contents(example):
        table = config_table()
        state = ConfigState()
        table.run(catch_up(state))
        assert state.version == 1
        table.rows["config/head"] = msgspec.json.encode(HEAD)
        table.rows[key] = content
        table.run(catch_up(state))
        assert state.version in (1, 2)
        try:
            table.run(propose(state, Patch("p", 1, {}, "", 0.0, "")))
            table.run(read_history())
        except ConfigInvalid as error:
            assert "row is not a valid" in str(error)


def test_odd_snapshot_changes_nothing() -> None:
    """Guards against an object of another writer that ends an entry."""
    for content in odd_contents([1, {}]):
        table = config_table()
        table.content = content
        state = ConfigState()
        table.run(catch_up(state))
        assert state.version in (0, 1)
