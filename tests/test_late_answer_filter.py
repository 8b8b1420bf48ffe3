"""Late second answers ahead of the awaited one, without sockets."""

import h11
import pytest

from godwitmast.backends.late_answers import (
    MAX_DROPPED_BYTES,
    AnswerId,
    LateAnswerFilter,
    LateAnswerUnusable,
)

EXPECTED = AnswerId(b"attempt-id", b"own")
SENT = {b"other"}
"""Ids of the requests that the connection carried before."""


def answer(attempt: str, body: bytes = b"body", chunked: bool = False) -> bytes:
    framing = (
        "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
    )
    head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n{framing}\r\n\r\n".encode()
    if not chunked:
        return head + body
    return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


OWN = answer("own")
LATE = [answer("other"), answer("other", chunked=True), answer("other", b"")]


def pass_through(data: bytes, size: int) -> bytes:
    """Return what a filter passes on of data received in pieces of a size."""
    late_answers = LateAnswerFilter(EXPECTED, SENT.__contains__)
    pieces = (data[start : start + size] for start in range(0, len(data), size))
    return b"".join(late_answers.feed(piece) for piece in pieces)


@pytest.mark.parametrize("size", [1, 7, 64, 4096])
@pytest.mark.parametrize("late", LATE, ids=["length", "chunked", "empty"])
def test_whole_late_answers_are_dropped(late: bytes, size: int) -> None:
    """Guards against a request that fails by the late answer to another one."""
    assert pass_through(OWN, size) == OWN
    assert pass_through(late + OWN, size) == OWN
    assert pass_through(late + late + OWN, size) == OWN


@pytest.mark.parametrize("size", [1, 4096])
@pytest.mark.parametrize("late", LATE, ids=["length", "chunked", "empty"])
def test_late_answer_that_is_broken_off_gives_no_answer(late: bytes, size: int) -> None:
    """Guards against an answer put together from two, at each byte of the first one."""
    for end in range(1, len(late)):
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
        parser.send(h11.EndOfMessage())
        try:
            parser.receive_data(pass_through(late[:end] + OWN, size))
            head = parser.next_event()
        except (LateAnswerUnusable, h11.RemoteProtocolError):
            continue
        if isinstance(head, h11.Response):
            # Two heads that were joined: the transport refuses these.
            joined = [value for _, value in head.headers if b"HTTP/1.1 200" in value]
            ids = [value for name, value in head.headers if name == b"attempt-id"]
            assert joined or b"HTTP/1.1 200" in head.reason or ids != [b"own"]


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + OWN,
        b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
        answer("never-sent"),
        b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\nuntil the end",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nAttempt-Id: own\r\n"
        b"Content-Length: 0\r\n\r\n",
        b"\x00\xffnot an answer",
        b"\r\n" + OWN,
    ],
    ids=[
        "interim",
        "no id",
        "unknown id",
        "no length",
        "two ids",
        "no HTTP",
        "empty line",
    ],
)
def test_other_bytes_are_passed_on(data: bytes) -> None:
    """Guards against bytes that are held back though they decide about the request."""
    for size in (1, 4096):
        assert pass_through(data, size) == data


def test_incomplete_head_is_passed_on_at_the_end() -> None:
    """Guards against an answer that is taken for none, as its head was held back."""
    late_answers = LateAnswerFilter(EXPECTED, SENT.__contains__)
    assert late_answers.feed(OWN[:20]) == b""
    assert late_answers.pass_on() == OWN[:20]


def test_late_answer_without_end_fails_the_request() -> None:
    """Guards against a request that waits for the end of an answer to another one."""
    late_answers = LateAnswerFilter(EXPECTED, SENT.__contains__)
    endless = answer("other", bytes(10 * MAX_DROPPED_BYTES))
    with pytest.raises(LateAnswerUnusable):
        for start in range(0, len(endless), 4096):
            late_answers.feed(endless[start : start + 4096])


@pytest.mark.parametrize("size", [1, 3, 64])
def test_awaited_answer_within_a_late_body_fails_the_request_at_once(size: int) -> None:
    """Guards against a request that waits for the rest of a late answer till its end."""
    late = answer("other", bytes(4096))
    with pytest.raises(LateAnswerUnusable):
        pass_through(late[:-4000] + OWN, size)
