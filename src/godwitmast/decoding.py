"""Decoding of bytes that other programs wrote, which may be any bytes."""

import json
import math
from collections.abc import Hashable
from functools import lru_cache
from ipaddress import IPv4Address
from typing import Any, TypeVar, cast

import msgspec

from godwitmast.errors import Undecodable

T = TypeVar("T")

MAX_DIGITS = 9
"""Longest number that is read from a header."""

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def decode_json(content: bytes | str, shape: type[T]) -> T:
    """Return the value; raise Undecodable for anything that is not a valid `shape`."""
    try:
        value: T = decoder_of(cast(Hashable, shape)).decode(content)
    except Exception as error:
        # The library raises RecursionError, among others, besides its own errors.
        raise Undecodable(f"{error!r:.200}") from None
    return value


def parse_any_json(content: bytes) -> Any:
    """Return JSON whose texts need not be valid Unicode; raise Undecodable otherwise."""
    try:
        text = content.decode("utf-8", "surrogateescape")
        return json.loads(text, parse_constant=reject_constant)
    except Exception as error:
        raise Undecodable(f"{error!r:.200}") from None


def reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def convert(value: Any, shape: type[T]) -> T:
    """Return a decoded value as `shape`; raise Undecodable if it is not valid."""
    try:
        return msgspec.convert(value, shape)
    except Exception as error:
        raise Undecodable(f"{error!r:.200}") from None


def parse_whole_number(text: str, max_digits: int = MAX_DIGITS) -> int | None:
    """Return a whole number that is not negative, or None.

    `int` alone takes digits of all scripts, and raises for thousands of them.
    """
    digits = text.strip()
    usable = digits.isascii() and digits.isdecimal() and len(digits) <= max_digits
    return int(digits) if usable else None


def parse_number(text: str | None, most: float) -> float | None:
    """Return a number that is not negative; None without one, or if it is unusable.

    A number above `most` counts as `most`: callers divide by it and add it to times.
    """
    if text is None or not text.isascii() or "_" in text:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return min(number, most) if math.isfinite(number) and number >= 0 else None


def is_socket_address(text: str) -> bool:
    """Return whether a text is an IPv4 address with a port."""
    host, _, port_text = text.rpartition(":")
    port = parse_whole_number(port_text, MAX_PORT_DIGITS)
    if port is None or str(port) != port_text or not 0 < port <= MAX_PORT:
        return False
    try:
        IPv4Address(host)
    except ValueError:
        return False
    return True


@lru_cache
def decoder_of(shape: Hashable) -> msgspec.json.Decoder[Any]:
    return msgspec.json.Decoder(cast(Any, shape))
