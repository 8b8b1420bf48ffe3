"""Frames to CBOR and back, with everything that comes checked."""

import cbor2
import msgspec

from godwitmast.errors import PeerError
from godwitmast.relay.messages import Frame, TransactAsked

MAX_FRAME_BYTES = 8 * 1024 * 1024
"""A whole configuration of 6,300 teams with their keys is about 2 MB."""


def encode_frame(frame: Frame) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(frame, builtin_types=(bytes,)))


def decode_frame(data: bytes | str) -> Frame:
    """Return the checked frame, or raise PeerError whatever `data` holds."""
    if isinstance(data, str) or len(data) > MAX_FRAME_BYTES:
        raise PeerError(f"a frame of {len(data)} bytes")
    try:
        frame: Frame = msgspec.convert(cbor2.loads(data), Frame)
        if isinstance(frame, TransactAsked):
            # CBOR has values that the platform's JSON has not.
            msgspec.json.encode(frame.writes)
        return frame
    except Exception as error:
        # The codec raises a dozen kinds for what a stranger can send.
        raise PeerError(f"a malformed frame: {error!r:.200}") from None
