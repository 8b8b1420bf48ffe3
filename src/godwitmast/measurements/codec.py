"""The bytes of reports, of which each part is checked by itself.

A value out of range drops what it is part of, such as one server's report; the rest of a
report counts, and the link on which it came stays open.
"""

import struct
from typing import Any, TypeVar

import cbor2
import msgspec

from godwitmast.errors import PeerError
from godwitmast.measurements.messages import (
    MAX_MEMBERS,
    MAX_POOLS,
    MAX_SERVERS,
    Digest,
    PoolRoom,
    ServerReport,
    ServerSummary,
    VmReport,
    ZoneReport,
)

T = TypeVar("T")

MAX_REPORT_BYTES = 256 * 1024
"""A zone's report on 850 servers has about 100 KB."""

MAX_SUMMARIES = 1024

SMALLEST_HALF, LARGEST_HALF = 1e-4, 65_000.0
"""Range of the normal numbers of half precision."""


def encode_report(report: VmReport | ZoneReport) -> bytes:
    """Return a report's bytes; numbers keep three digits, which halves its size."""
    return cbor2.dumps(shorten(msgspec.to_builtins(report)), canonical=True)


def shorten(value: Any) -> Any:
    """Return a report with half-precision numbers, where those can hold them."""
    if isinstance(value, float) and SMALLEST_HALF < value < LARGEST_HALF:
        return struct.unpack("<e", struct.pack("<e", value))[0]
    if isinstance(value, list | tuple):
        return [shorten(item) for item in value]
    return value


def decode_vm_report(data: bytes) -> VmReport:
    """Return the valid parts of a report; raise PeerError if its head is not valid."""
    fields = decode_fields(data, 6)
    servers = valid_items(fields[3], ServerReport)[:MAX_SERVERS]
    pools = valid_items(fields[4], PoolRoom)[:MAX_POOLS]
    return convert([*fields[:3], (), (), fields[5]], VmReport)._replace(
        servers=tuple(servers), pools=tuple(pools)
    )


def decode_zone_report(data: bytes) -> ZoneReport:
    """Return the valid parts of a report; raise PeerError if its head is not valid."""
    fields = decode_fields(data, 9)
    servers = valid_items(fields[6], ServerSummary)[:MAX_SUMMARIES]
    pools = valid_items(fields[7], PoolRoom)[:MAX_POOLS]
    members = valid_items(fields[8], Digest)[:MAX_MEMBERS]
    return convert(fields[:6], ZoneReport)._replace(
        servers=tuple(servers), pools=tuple(pools), members=tuple(members)
    )


def decode_fields(data: bytes, least: int) -> list[Any]:
    """Return the fields of a report; a later version may have more."""
    if len(data) > MAX_REPORT_BYTES:
        raise PeerError(f"report too large: {len(data)} bytes")
    try:
        fields = cbor2.loads(data)
    except Exception as error:
        # Hostile input makes the codec raise a dozen kinds of errors.
        raise PeerError(f"malformed report: {error!r:.200}") from None
    if not isinstance(fields, list) or len(fields) < least:
        raise PeerError("malformed report: fields are missing")
    return fields[:least]


def convert(value: Any, kind: type[T]) -> T:
    try:
        return msgspec.convert(value, kind)
    except (msgspec.ValidationError, ValueError, TypeError) as error:
        raise PeerError(f"malformed report: {error!r:.200}") from None


def valid_items(values: Any, kind: Any) -> list[Any]:
    """Return the items of an array that are valid."""
    if not isinstance(values, list):
        return []
    found = []
    for value in values:
        try:
            found.append(msgspec.convert(value, kind))
        except (msgspec.ValidationError, ValueError, TypeError):
            continue
    return found
