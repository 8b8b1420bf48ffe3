"""Frames from a peer are validated before anything acts on them."""

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitmast.errors import PeerError
from godwitmast.peers.codec import (
    MAX_FRAME_BYTES,
    MAX_VALUE_BYTES,
    decode_frame,
    encode_frame,
)
from godwitmast.peers.messages import (
    Beat,
    ConfigKind,
    ConfigPart,
    Frame,
    Have,
    Hello,
    LoadEntry,
    Place,
    Record,
    Topic,
)

BEAT = Beat(3, 1, 2)
PLACE = Place("10.0.0.1:9000", "z1", "r1")
FULL = Frame(
    BEAT,
    (
        Record(Topic.MEMBER, "n1", 4, 600.0, PLACE),
        Record(Topic.LOAD, "n1", 9, 5.0, (LoadEntry(1, 2, 3, 4, 5),)),
        Record(Topic.WITHDRAWN_KEY, "hash", 3, 60.0, None),
        Record(Topic.LEAVING_BACKEND, "b1", 3, 60.0, True),
        Record(Topic.SERVICE, "n1", 3, 60.0, {"arima": (2, 12.0)}),
    ),
    Hello("n1", 1, PLACE),
    ConfigPart(ConfigKind.DELTAS, 2, 3, {"any": ["thing"]}),
    (Have(Topic.MEMBER, "n1", 4),),
    True,
    ("n2",),
    ("n3",),
    True,
)

JUNK = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: (
        st.lists(inner, max_size=12) | st.dictionaries(st.text(), inner, max_size=4)
    ),
    max_leaves=40,
)


@pytest.mark.parametrize("frame", [Frame(BEAT), FULL])
def test_frame_survives_encoding_and_decoding(frame: Frame) -> None:
    assert decode_frame(encode_frame(frame)) == frame


def test_heartbeat_is_at_most_16_bytes() -> None:
    assert len(encode_frame(Frame(Beat(1300, 2**32 - 1, 2**32 - 1)))) <= 16


def decode_or_refuse(data: bytes) -> None:
    """Decode data that may be invalid; a decoded frame must encode again."""
    try:
        frame = decode_frame(data)
    except PeerError:
        return
    assert decode_frame(encode_frame(frame)) == frame


FUZZ = settings(derandomize=True, deadline=None, max_examples=300)


@FUZZ
@given(st.binary(max_size=200))
def test_random_bytes_are_a_frame_or_a_peer_error(data: bytes) -> None:
    decode_or_refuse(data)


@FUZZ
@given(JUNK)
def test_random_values_are_a_frame_or_a_peer_error(value: object) -> None:
    decode_or_refuse(cbor2.dumps(value))


@FUZZ
@given(st.integers(0, 8), JUNK)
def test_a_frame_with_one_wrong_field_is_a_frame_or_a_peer_error(
    place: int, value: object
) -> None:
    parts = cbor2.loads(encode_frame(FULL))
    parts[place] = value
    decode_or_refuse(cbor2.dumps(parts))


@FUZZ
@given(st.data())
def test_a_damaged_frame_is_a_frame_or_a_peer_error(data: st.DataObject) -> None:
    good = bytearray(encode_frame(FULL))
    for _ in range(data.draw(st.integers(1, 4))):
        good[data.draw(st.integers(0, len(good) - 1))] = data.draw(st.integers(0, 255))
    decode_or_refuse(bytes(good[: data.draw(st.integers(0, len(good)))]))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x81" * 100_000 + b"\x00",
        b"\x00" * (MAX_FRAME_BYTES + 1),
        cbor2.dumps([list(BEAT), [[1, "h", 1, 60.0, None]] * 257]),
        cbor2.dumps(
            [list(BEAT), [[6, "n", 1, 60.0, {"t" * MAX_VALUE_BYTES: [1, 1.0]}]]]
        ),
        cbor2.dumps([list(BEAT), [[1, "h" * 129, 1, 60.0, None]]]),
        cbor2.dumps([list(BEAT), [[1, "h", -1, 60.0, None]]]),
        cbor2.dumps([list(BEAT), [[1, "h", 1, float("nan"), None]]]),
        cbor2.dumps([list(BEAT), [[99, "h", 1, 1.0, None]]]),
    ],
)
def test_frame_beyond_a_bound_is_a_peer_error(data: bytes) -> None:
    with pytest.raises(PeerError):
        decode_frame(data)
