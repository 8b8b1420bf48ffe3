"""How the end of an answer's body is told on its connection."""

from enum import Enum

import httpx


class Framing(Enum):
    """How the end of an answer's body is told on its connection."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"
    """The body ends with the connection, and so does one that was broken off."""
    NO_BODY = "no_body"


def framing_of(answer: httpx.Response) -> Framing:
    """Return how the end of an answer's body is told."""
    if answer.request.method == "HEAD" or answer.status_code in (204, 304):
        return Framing.NO_BODY
    if "transfer-encoding" in answer.headers:
        return Framing.CHUNKED
    return Framing.LENGTH if "content-length" in answer.headers else Framing.CLOSE
