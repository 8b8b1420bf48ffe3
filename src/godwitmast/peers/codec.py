"""CBOR codec of the peers' frames, which validates everything that it decodes."""

from typing import Any

import cbor2
import msgspec

from godwitmast.errors import PeerError
from godwitmast.peers.messages import (
    Frame,
    LoadEntry,
    NonNegativeFloat,
    NonNegativeInt,
    Place,
    Record,
    Topic,
)

MAX_FRAME_BYTES = 8 * 1024 * 1024
"""A configuration snapshot of 6,300 teams with their keys is about 2 MB."""

MAX_VALUE_BYTES = 1024
"""Of one record, so that a frame of 256 of them stays under 300 KB."""

VALUE_TYPES: dict[Topic, Any] = {
    Topic.MEMBER: Place,
    Topic.WITHDRAWN_KEY: None,
    Topic.LEAVING_BACKEND: bool,
    Topic.QUARANTINE: dict[str, Any],
    Topic.CRASH_SUSPICION: dict[str, Any],
    Topic.LOAD: tuple[LoadEntry, ...],
    Topic.SERVICE: dict[str, tuple[NonNegativeInt, NonNegativeFloat]],
}

FRAME_LENGTH = len(Frame._fields)
DEFAULTS = Frame._field_defaults


def encode_frame(frame: Frame) -> bytes:
    """Return the frame as CBOR, without trailing fields that have their defaults."""
    parts = list(frame)
    while len(parts) > 1 and parts[-1] == DEFAULTS[Frame._fields[len(parts) - 1]]:
        parts.pop()
    return cbor2.dumps(parts)


def decode_frame(data: bytes) -> Frame:
    """Return the validated frame; raise PeerError for any other data."""
    if len(data) > MAX_FRAME_BYTES:
        raise PeerError(f"frame too large: {len(data)} bytes")
    try:
        frame = msgspec.convert(cbor2.loads(data), Frame)
        records = tuple(check_value(record) for record in frame.records)
    except PeerError:
        raise
    except Exception as error:
        # Hostile input makes the codec raise a dozen kinds of errors, from
        # RecursionError to OverflowError. None may end the driver's other links.
        raise PeerError(f"malformed frame: {error!r:.200}") from None
    return frame._replace(records=records)


def check_value(record: Record) -> Record:
    """Return the record with its value converted to the type of its topic."""
    value = msgspec.convert(record.value, VALUE_TYPES[record.topic])
    if len(cbor2.dumps(value)) > MAX_VALUE_BYTES:
        raise PeerError(f"value of a {record.topic.name} record is too large")
    return record._replace(value=value)
