"""What a connection has carried, and why it is not used again."""

from enum import Enum
from typing import NamedTuple


class ConnectionUse(NamedTuple):
    """An exchange on a connection."""

    connection: int
    """Number of the connection in its pool, in the order of opening."""
    exchange: int
    """Number of the request on its connection, from 1."""
    age_s: float
    """Age of the connection."""


class DropReason(Enum):
    """What was found on a connection between two requests."""

    PARSER = "parser"
    """Bytes that arrived together with the last answer."""
    SOCKET = "socket"
    """Bytes that arrived after the last answer; with TLS they may only announce the
    end."""
    TLS = "tls"
    """Decrypted bytes that arrived together with the last answer."""
    ENDED = "ended"
    """Its end, which is usual."""
    RETIRED = "retired"
    """Nothing: it had carried the next request before, or as many as it may."""


class DroppedConnection(NamedTuple):
    """A connection that is closed instead of being used again."""

    server: str
    last_use: ConnectionUse
    reason: DropReason
