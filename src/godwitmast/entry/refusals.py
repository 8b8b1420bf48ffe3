"""Error answers: the status, code and message of every refusal, and how they are sent."""

import math
from typing import Any, NamedTuple

import msgspec

from godwitmast.dispatch.messages import NotRun, RefusalCode, Refuse
from godwitmast.http_server import Send
from godwitmast.keys.authorizer import Denial


class ErrorAnswer(NamedTuple):
    """An error answer; its body has the format of OpenAI's API."""

    status: int
    code: str
    message: str
    not_run: NotRun = NotRun.TRUE
    retry_after_s: float | None = None


STATUS_OF_REFUSAL = {
    RefusalCode.TEAM_LIMIT: 429,
    RefusalCode.SHED: 503,
    RefusalCode.NO_BACKEND: 503,
    RefusalCode.DEADLINE: 504,
    RefusalCode.QUARANTINED: 422,
    RefusalCode.BACKEND_FAILED: 503,
    RefusalCode.STOPPING: 503,
    RefusalCode.INTERNAL: 500,
}

MESSAGE_OF_REFUSAL = {
    RefusalCode.TEAM_LIMIT: "The team is over its own limit.",
    RefusalCode.SHED: "There is more work than capacity, and this was let go.",
    RefusalCode.NO_BACKEND: "No backend server serves this now.",
    RefusalCode.DEADLINE: "The answer cannot be given in time any more.",
    RefusalCode.QUARANTINED: "This request crashed backend servers and is held off.",
    RefusalCode.BACKEND_FAILED: "The backend server failed.",
    RefusalCode.STOPPING: "This entry is stopping.",
    RefusalCode.INTERNAL: "This entry failed to handle the request.",
}

NOT_RUN_HEADER = b"godwit-not-run"
"""Says whether a refused request certainly reached no backend server."""

MISDIRECTED = 421
"""Status of a VM that does not take a forwarded request, which has not run."""

NOT_TAKEN = ErrorAnswer(
    MISDIRECTED, "not_taken", "This VM cannot serve requests of other VMs now."
)

MEMORY_RETRY_AFTER_S = 1.0
"""By then slow callers have yielded, which takes a fifth of a second at most times."""

MEMORY_SHORT = ErrorAnswer(
    503,
    "memory_short",
    "This VM is short of memory.",
    retry_after_s=MEMORY_RETRY_AFTER_S,
)

OFFLINE_RETRY_AFTER_S = 10.0

STATUS_OF_DENIAL = {
    Denial.MISSING: 401,
    Denial.UNKNOWN: 401,
    Denial.EXPIRED: 401,
    Denial.OFFLINE: 503,
    Denial.CLASS: 403,
    Denial.MODEL: 403,
}

MESSAGE_OF_DENIAL = {
    Denial.MISSING: "No key was given.",
    Denial.UNKNOWN: "The key is not known, or was withdrawn.",
    Denial.EXPIRED: "The key has expired.",
    Denial.OFFLINE: "This zone is cut off, and the team allows no keys unchecked.",
    Denial.CLASS: "This class does not exist, or the key does not allow it.",
    Denial.MODEL: "The key does not allow this model or service.",
}


def answer_refusal(refusal: Refuse) -> ErrorAnswer:
    """Return the error answer for a refusal by the router."""
    return ErrorAnswer(
        STATUS_OF_REFUSAL[refusal.code],
        refusal.code.value,
        MESSAGE_OF_REFUSAL[refusal.code],
        refusal.not_run,
        refusal.retry_after_s,
    )


def answer_denial(denial: Denial) -> ErrorAnswer:
    """Return the error answer for a key that was denied."""
    return ErrorAnswer(
        STATUS_OF_DENIAL[denial],
        denial.value,
        MESSAGE_OF_DENIAL[denial],
        retry_after_s=OFFLINE_RETRY_AFTER_S if denial is Denial.OFFLINE else None,
    )


def error_body(answer: ErrorAnswer) -> bytes:
    """Return the JSON body of an error."""
    return msgspec.json.encode(
        {
            "error": {
                "code": answer.code,
                "message": answer.message,
                "type": error_type(answer.status),
                "param": None,
                "not_run": True if answer.not_run is NotRun.TRUE else "unknown",
            }
        }
    )


def error_type(status: int) -> str:
    if status == 429:
        return "rate_limit_error"
    return "invalid_request_error" if status < 500 else "server_error"


def error_headers(answer: ErrorAnswer) -> list[tuple[bytes, bytes]]:
    headers = [
        (b"content-type", b"application/json"),
        (NOT_RUN_HEADER, answer.not_run.value.encode()),
    ]
    if answer.retry_after_s is not None:
        seconds = max(1, math.ceil(answer.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    return headers


async def send_error(send: Send, answer: ErrorAnswer) -> None:
    """Send an error as a complete answer."""
    await send_response(send, answer.status, error_headers(answer), error_body(answer))


async def send_json(send: Send, status: int, body: Any) -> None:
    headers = [(b"content-type", b"application/json")]
    await send_response(send, status, headers, msgspec.json.encode(body))


async def send_response(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Send a complete answer, with its content-length."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {"type": "http.response.start", "status": status, "headers": [*headers, length]}
    )
    await send({"type": "http.response.body", "body": body})


def with_header(send: Send, header: tuple[bytes, bytes]) -> Send:
    """Return a `send` that adds a header to the answer."""

    async def send_with_header(message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            message = {**message, "headers": [*message["headers"], header]}
        await send(message)

    return send_with_header
