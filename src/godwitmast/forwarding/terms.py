"""What a VM states about a request that it forwards to another VM."""

import base64
import secrets
from typing import NamedTuple

from godwitmast.decoding import parse_whole_number
from godwitmast.types import PoolName

Headers = list[tuple[str, str]]
RawHeaders = list[tuple[bytes, bytes]]

CONFIG_HEADER = b"godwit-forward-config"
ATTEMPTS_HEADER = b"godwit-forward-attempts"
METERED_HEADER = b"godwit-forward-metered"
POOL_HEADER = b"godwit-forward-pool"
QUESTION_HEADER = b"godwit-forward-question"
NONCE_HEADER = b"godwit-forward-nonce"
"""Names one send of a request; each answer to it repeats the value."""
SERVED_BY_HEADER = b"godwit-served-by"
"""Names the backend server of an answer that one VM sends to another."""
ATTEMPTS_MADE_HEADER = b"godwit-attempts-made"
"""On the refusal of a request that another VM may serve, though it may have run: how
many servers it was sent to."""

MAX_CONFIG_DIGITS = 19
"""Digits of the largest number of a configuration, which has 64 bits."""

NONCE_BYTES = 8

HEADERS = frozenset(
    [
        CONFIG_HEADER,
        POOL_HEADER,
        ATTEMPTS_HEADER,
        METERED_HEADER,
        QUESTION_HEADER,
        NONCE_HEADER,
    ]
)


class ForwardTerms(NamedTuple):
    """Terms of a forwarded request.

    `config` is the configuration by which it was accepted, and the oldest that may
    serve it. `pool` is the one whose servers could not be reached. `attempts` is how many servers may still run it, if that is bounded.
    `metered` says that its start has been counted as usage. If `is_question`, there is
    no request yet: the VM is asked whether it would take one. `nonce` is of one send.
    """

    config: int
    pool: PoolName
    attempts: int | None = None
    metered: bool = False
    is_question: bool = False
    nonce: str = ""

    def add_to(self, headers: Headers) -> Headers:
        """Return a caller's headers with the terms, in place of any that it sent."""
        others = [pair for pair in headers if pair[0].encode("latin-1") not in HEADERS]
        return [*others, *self.encode()]

    def encode(self) -> Headers:
        """Return the terms as headers."""
        pairs = {
            CONFIG_HEADER: str(self.config),
            POOL_HEADER: base64.urlsafe_b64encode(self.pool.encode()).decode(),
        }
        if self.attempts is not None:
            pairs[ATTEMPTS_HEADER] = str(self.attempts)
        if self.metered:
            pairs[METERED_HEADER] = "1"
        if self.is_question:
            pairs[QUESTION_HEADER] = "1"
        if self.nonce:
            pairs[NONCE_HEADER] = self.nonce
        return [(name.decode(), value) for name, value in pairs.items()]


def split_terms(headers: RawHeaders) -> tuple[ForwardTerms | None, RawHeaders]:
    """Return the terms, None if they are missing or malformed, and the other headers."""
    found = {name.lower(): value.decode("latin-1") for name, value in headers}
    rest = [pair for pair in headers if pair[0].lower() not in HEADERS]
    config = parse_whole_number(found.get(CONFIG_HEADER, ""), MAX_CONFIG_DIGITS)
    attempts = found.get(ATTEMPTS_HEADER)
    pool = decode_pool(found.get(POOL_HEADER, ""))
    if pool is None or config is None:
        return None, rest
    allowed = None if attempts is None else parse_whole_number(attempts)
    if attempts is not None and allowed is None:
        return None, rest
    flags = METERED_HEADER in found, QUESTION_HEADER in found
    nonce = found.get(NONCE_HEADER, "")
    return ForwardTerms(config, pool, allowed, *flags, nonce), rest


def make_nonce() -> str:
    return secrets.token_hex(NONCE_BYTES)


def decode_pool(text: str) -> PoolName | None:
    """Return a pool's name, which may have characters that a header may not."""
    try:
        return PoolName(base64.urlsafe_b64decode(text).decode()) or None
    except ValueError:
        return None
