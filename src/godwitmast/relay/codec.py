"""CBOR codec of the relay's frames, which validates everything that it decodes."""

import zlib

import cbor2
import msgspec

from godwitmast.errors import PeerError
from godwitmast.relay.messages import Frame, ReadAnswered, TransactAsked

MAX_FRAME_BYTES = 8 * 1024 * 1024
"""A configuration snapshot of 6,300 teams with their keys is about 2 MB."""


COMPRESSED_FROM_BYTES = 8 * 1024
"""Larger frames are compressed: a relay sends the same one to every VM of its zone over
one slow link."""

ZLIB_START = b"\x78"
"""First byte of zlib's output; an uncompressed frame starts as a CBOR array instead."""


def encode_frame(frame: Frame) -> bytes:
    data = cbor2.dumps(msgspec.to_builtins(frame, builtin_types=(bytes,)))
    return zlib.compress(data, 1) if len(data) >= COMPRESSED_FROM_BYTES else data


def decompress(data: bytes) -> bytes:
    """Return a decompressed frame; raise PeerError if it is too large or truncated."""
    reader = zlib.decompressobj()
    frame = reader.decompress(data, MAX_FRAME_BYTES)
    if reader.unconsumed_tail or not reader.eof:
        raise PeerError(
            f"compressed frame is over {MAX_FRAME_BYTES} bytes or truncated"
        )
    return frame


def decode_frame(data: bytes | str) -> Frame:
    """Return the validated frame; raise PeerError for any other data."""
    if isinstance(data, str) or len(data) > MAX_FRAME_BYTES:
        raise PeerError(f"text frame or frame too large: {len(data)} bytes")
    try:
        if data.startswith(ZLIB_START):
            data = decompress(data)
        frame: Frame = msgspec.convert(cbor2.loads(data), Frame)
        match frame:
            # CBOR has values that the platform's JSON cannot hold.
            case TransactAsked(writes=values) | ReadAnswered(rows=values):
                msgspec.json.encode(values)
        return frame
    except Exception as error:
        # Hostile input makes the codec raise a dozen kinds of errors.
        raise PeerError(f"malformed frame: {error!r:.200}") from None
