"""The configuration document: validation, patches, and application of changes."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitmast.config.machine import ConfigState, Offered
from godwitmast.config.parsing import parse_change, parse_document
from godwitmast.config.patch import changed_paths, merge_patch, overlapping_paths
from godwitmast.config.rows import Delta
from godwitmast.dev.document import dev_document
from godwitmast.errors import ConfigInvalid

RAW = dev_document(["http://127.0.0.1:1"], "http://127.0.0.1:2")
LIMITS = st.sampled_from([None, 1.5, -1, "many"])
TEAMS = st.dictionaries(
    st.sampled_from(["arima", "couva", "new"]),
    st.one_of(st.none(), st.fixed_dictionaries({"weight": LIMITS}), st.just(7)),
)
PATCHES = st.fixed_dictionaries(
    {},
    optional={
        "teams": st.one_of(st.none(), TEAMS),
        "models": st.sampled_from([{"small": {}}, {"godwit-lm": None}, {}]),
        "unheard": st.just({}),
    },
)


def outcome_of(check) -> object:
    try:
        return check()
    except ConfigInvalid as error:
        return str(error)


@given(patch=PATCHES)
@settings(derandomize=True, max_examples=300, database=None, deadline=None)
def test_checking_a_change_is_the_same_as_checking_the_whole(patch: dict) -> None:
    raw = merge_patch(RAW, patch)
    before = parse_document(RAW)
    assert outcome_of(lambda: parse_change(before, raw, patch)) == outcome_of(
        lambda: parse_document(raw)
    )


def test_patch_of_rfc_7386_removes_with_null_and_replaces_lists() -> None:
    assert merge_patch({"a": {"b": 1, "c": [1]}}, {"a": {"b": None, "c": [2]}}) == {
        "a": {"c": [2]}
    }
    assert merge_patch([1], {"a": {"b": None}}) == {"a": {}}
    assert overlapping_paths(changed_paths({"a": {"b": 1}}), {"a.b.c"}) == ["a.b"]
    assert overlapping_paths(changed_paths({"a": {"b": 1}}), {"a.bc"}) == []


def test_peer_that_missed_too_many_changes_needs_a_snapshot() -> None:
    state = ConfigState()
    assert state.adopt(10, RAW) is Offered.ADOPTED
    assert state.adopt(9, {}) is Offered.OLD
    assert state.offer_delta(Delta(12, {})) is Offered.GAP
    for number in (11, 12):
        patch = {"teams": {"arima": {"weight": float(number)}}}
        assert state.offer_delta(Delta(number, patch)) is Offered.ADOPTED
    assert [delta.number for delta in state.deltas_after(10)] == [11, 12]
    assert state.deltas_after(12) == []
    assert state.deltas_after(9) is None
    assert state.snapshot().document["teams"]["arima"] == {"weight": 12.0}


def test_invalid_document_leaves_the_old_one_in_force() -> None:
    state = ConfigState()
    state.adopt(1, RAW)
    assert state.offer_delta(Delta(2, {"teams": None})) is Offered.REJECTED
    assert state.version == 1
    with pytest.raises(ConfigInvalid):
        parse_document({})
