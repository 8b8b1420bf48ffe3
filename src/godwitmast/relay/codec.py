"""Frames to CBOR and back, with everything that comes checked."""

import zlib

import cbor2
import msgspec

from godwitmast.errors import PeerError
from godwitmast.relay.messages import Frame, TransactAsked

MAX_FRAME_BYTES = 8 * 1024 * 1024
"""A whole configuration of 6,300 teams with their keys is about 2 MB."""


COMPRESSED_FROM_BYTES = 8 * 1024
"""A relay sends the same large frame to every VM of its zone over one small link."""

ZLIB_START = b"\x78"
"""The first byte of what zlib makes; a frame in CBOR is an array and begins otherwise."""


def encode_frame(frame: Frame) -> bytes:
    data = cbor2.dumps(msgspec.to_builtins(frame, builtin_types=(bytes,)))
    return zlib.compress(data, 1) if len(data) >= COMPRESSED_FROM_BYTES else data


def decompress(data: bytes) -> bytes:
    """Return a frame as it was before compression, if that is of a size that may be."""
    reader = zlib.decompressobj()
    frame = reader.decompress(data, MAX_FRAME_BYTES)
    if reader.unconsumed_tail or not reader.eof:
        raise PeerError(f"a compressed frame of over {MAX_FRAME_BYTES} bytes, or cut")
    return frame


def decode_frame(data: bytes | str) -> Frame:
    """Return the checked frame, or raise PeerError whatever `data` holds."""
    if isinstance(data, str) or len(data) > MAX_FRAME_BYTES:
        raise PeerError(f"a frame of {len(data)} bytes")
    try:
        if data.startswith(ZLIB_START):
            data = decompress(data)
        frame: Frame = msgspec.convert(cbor2.loads(data), Frame)
        if isinstance(frame, TransactAsked):
            # CBOR has values that the platform's JSON has not.
            msgspec.json.encode(frame.writes)
        return frame
    except Exception as error:
        # The codec raises a dozen kinds for what a stranger can send.
        raise PeerError(f"a malformed frame: {error!r:.200}") from None
