"""Frames to CBOR and back, with everything that comes checked."""

from typing import Any

import cbor2
import msgspec

from godwitmast.errors import PeerError
from godwitmast.peers.messages import (
    Frame,
    LoadEntry,
    NotNegative,
    Place,
    Record,
    Topic,
    Whole,
)

MAX_FRAME_BYTES = 8 * 1024 * 1024
"""A whole configuration of 6,300 teams with their keys is about 2 MB."""

MAX_VALUE_BYTES = 1024
"""Of one record, so that a frame of 256 of them stays under 300 KB."""

VALUE_TYPES: dict[Topic, Any] = {
    Topic.MEMBER: Place,
    Topic.WITHDRAWN_KEY: None,
    Topic.LEAVING_BACKEND: bool,
    Topic.QUARANTINE: dict[str, Any],
    Topic.CRASH_SUSPICION: dict[str, Any],
    Topic.LOAD: tuple[LoadEntry, ...],
    Topic.SERVICE: dict[str, tuple[Whole, NotNegative]],
}

FRAME_LENGTH = len(Frame._fields)
DEFAULTS = Frame._field_defaults


def encode_frame(frame: Frame) -> bytes:
    """Return the frame as CBOR, without the defaults at its end."""
    parts = list(frame)
    while len(parts) > 1 and parts[-1] == DEFAULTS[Frame._fields[len(parts) - 1]]:
        parts.pop()
    return cbor2.dumps(parts)


def decode_frame(data: bytes) -> Frame:
    """Return the checked frame, or raise PeerError whatever `data` holds."""
    if len(data) > MAX_FRAME_BYTES:
        raise PeerError(f"a frame of {len(data)} bytes")
    try:
        frame = msgspec.convert(cbor2.loads(data), Frame)
        records = tuple(check_value(record) for record in frame.records)
    except PeerError:
        raise
    except Exception as error:
        # The codec raises a dozen kinds for what a stranger can send, from
        # RecursionError to OverflowError. None may reach the driver's other links.
        raise PeerError(f"a malformed frame: {error!r:.200}") from None
    return frame._replace(records=records)


def check_value(record: Record) -> Record:
    """Return the record with its value checked for its topic."""
    value = msgspec.convert(record.value, VALUE_TYPES[record.topic])
    if len(cbor2.dumps(value)) > MAX_VALUE_BYTES:
        raise PeerError(f"a value of {record.topic.name} is too large")
    return record._replace(value=value)
