"""Frames and reports between VMs with values drawn from their types."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import cbor2
import msgspec
import pytest

from godwitmast.errors import PeerError
from godwitmast.measurements.codec import decode_vm_report, decode_zone_report
from godwitmast.measurements.merge import ZoneMerge
from godwitmast.measurements.messages import VmReport, ZoneReport
from godwitmast.measurements.picture import FleetPicture
from godwitmast.peers import codec as peers_codec
from godwitmast.peers.messages import Frame as PeerFrame
from godwitmast.relay import codec as relay_codec
from godwitmast.relay.messages import (
    Beat,
    ReadAnswered,
    ReadAsked,
    TableChanged,
    TableTold,
    TransactAnswered,
    TransactAsked,
    VmMeasured,
)
from odd_values import ODD_CBOR, Shape

RELAY_FRAMES = (
    TransactAsked,
    TransactAnswered,
    ReadAsked,
    ReadAnswered,
    Beat,
    TableTold,
    TableChanged,
    VmMeasured,
)


def odd_frames(kind: Any, tag: int | None = None) -> Iterator[bytes]:
    """Yield frames with an odd value in one place each, and truncated ones."""
    for value in Shape(kind).single_changes(ODD_CBOR):
        frame = [tag, *value] if tag is not None and isinstance(value, list) else value
        content = cbor2.dumps(frame)
        yield content
        yield content[: len(content) // 2]


def use_vm_report(content: bytes) -> None:
    merge = ZoneMerge("z1", "relay", 1)
    merge.apply(decode_vm_report(content), 10.0)
    merge.due_report(11.0)
    merge.full_report(1000.0)


def use_zone_report(content: bytes) -> None:
    picture = FleetPicture()
    report = decode_zone_report(content)
    picture.apply(report, 10.0)
    for now in (10.0, 11.0, 1000.0):
        picture.derive(now)
        picture.members(now)
        picture.failing(now)
        picture.reports(now)


def use_relay_frame(content: bytes) -> None:
    frame = relay_codec.decode_frame(content)
    relay_codec.decode_frame(relay_codec.encode_frame(frame))


def use_peer_frame(content: bytes) -> None:
    frame = peers_codec.decode_frame(content)
    peers_codec.decode_frame(peers_codec.encode_frame(frame))


class Message(NamedTuple):
    """A type on the wire with its tag, and what is done with its bytes."""

    kind: Any
    use: Callable[[bytes], None]
    tag: int | None = None


MESSAGES = {
    "vm report": Message(VmReport, use_vm_report),
    "zone report": Message(ZoneReport, use_zone_report),
    "peer": Message(PeerFrame, use_peer_frame),
    **{
        kind.__name__: Message(kind, use_relay_frame, kind.__struct_config__.tag)
        for kind in RELAY_FRAMES
    },
}


@pytest.mark.parametrize("message", MESSAGES.values(), ids=MESSAGES.keys())
def test_odd_message_of_a_vm_is_used_or_refused(message: Message) -> None:
    """Guards against values of another VM that end the one that reads them."""
    accepted = 0
    for content in odd_frames(message.kind, message.tag):
        try:
            message.use(content)
            accepted += 1
        except PeerError:
            continue
    assert accepted


def test_write_through_a_relay_holds_only_json() -> None:
    """Guards against values of CBOR that a relay cannot pass on to the store."""
    for value in (b"\xff", float("nan"), cbor2.undefined, {1: 2}, 10**400):
        content = cbor2.dumps([1, 5, {}, {"key": value}])
        try:
            frame = relay_codec.decode_frame(content)
        except PeerError:
            continue
        assert isinstance(frame, TransactAsked)
        msgspec.json.decode(msgspec.json.encode(frame.writes))
