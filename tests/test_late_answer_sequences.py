"""Drawn sequences of whole and cut answers on one connection, without sockets."""

from typing import NamedTuple

import h11
import httpcore
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from godwitmast.backends.late_answers import (
    AnswerId,
    LateAnswerFilter,
    LateAnswerUnusable,
)
from godwitmast.backends.transport import holds_status_line

EARLIER = [b"a1", b"a2"]
OWN = b"b1"
ID = b"attempt-id"


class Drawn(NamedTuple):
    """An answer: to which request, and its bytes."""

    answer_id: bytes
    data: bytes


class Read(NamedTuple):
    """An answer as the client takes it."""

    status: int
    body: bytes


BODIES = st.one_of(
    st.binary(max_size=40),
    st.sampled_from(
        [b"", b"HTTP/1.1 200 OK\r\n", b"\r\n\r\n", b"0\r\n\r\n", b"HTTP/1."]
    ),
)
REASONS = st.sampled_from([b"OK", b"", b"Server Error", b"a: b"])
FIELDS = [b"Server: x", b"Content-Type: text/event-stream", b"X: "]


@st.composite
def answers(draw: st.DrawFn, ids: st.SearchStrategy[bytes]) -> Drawn:
    answer_id, body = draw(ids), draw(BODIES)
    status = draw(st.sampled_from([200, 500, 503, 204]))
    framing = b"Transfer-Encoding: chunked"
    if status == 204:
        framing, content = b"Content-Length: 0", b""
    elif draw(st.booleans()):
        framing, content = b"Content-Length: %d" % len(body), body
    else:
        chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        content = chunk + b"0\r\n\r\n"
    lines = draw(st.permutations([ID + b": " + answer_id, framing, *FIELDS]))
    start = b"HTTP/1.1 %d %s" % (status, draw(REASONS))
    head = b"\r\n".join([start, *lines])
    return Drawn(answer_id, head + b"\r\n\r\n" + content)


@st.composite
def sequences(draw: st.DrawFn) -> tuple[bytes, bytes]:
    """Return received bytes, and the awaited answer that they contain.

    Whole or cut answers to earlier requests come before it, and any after it.
    """
    own = draw(answers(st.just(OWN)))
    before = draw(st.lists(answers(st.sampled_from(EARLIER)), max_size=3))
    after = draw(st.lists(answers(st.sampled_from([*EARLIER, OWN])), max_size=2))
    parts = [draw(cut(answer.data)) for answer in before]
    rest = [draw(cut(answer.data)) for answer in after]
    return b"".join([*parts, own.data, *rest]), own.data


@st.composite
def cut(draw: st.DrawFn, data: bytes) -> bytes:
    if draw(st.booleans()):
        return data
    return data[: draw(st.integers(0, len(data)))]


def read_answer(pieces: list[bytes]) -> Read | None:
    """Return what a client takes for the answer to its request, None if it fails."""
    late = LateAnswerFilter(AnswerId(ID, OWN), EARLIER.__contains__)
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
    parser.send(h11.EndOfMessage())
    head: h11.Response | None = None
    body = b""
    waiting = iter(pieces)
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            piece = next(waiting, None)
            if piece is None:
                return None
            passed_on = late.feed(piece) if head is None else piece
            if passed_on:
                parser.receive_data(passed_on)
        elif isinstance(event, h11.Response):
            head = event
            answer = httpcore.Response(
                event.status_code,
                headers=event.headers.raw_items(),
                extensions={"reason_phrase": event.reason},
            )
            ids = [value for name, value in event.headers if name == ID]
            if holds_status_line(answer) or b", ".join(ids) != OWN:
                return None
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            return Read(head.status_code, body)


def whole(data: bytes) -> Read:
    """Return an answer that is alone on its connection."""
    found = read_answer([data])
    assert found is not None
    return found


@settings(
    max_examples=500,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(sequences(), st.integers(1, 200))
def test_answer_behind_others_is_whole_or_none(
    sequence: tuple[bytes, bytes], size: int
) -> None:
    """Guards against an answer that is put together from several."""
    data, own = sequence
    pieces = [data[start : start + size] for start in range(0, len(data), size)]
    try:
        found = read_answer(pieces)
    except (LateAnswerUnusable, h11.RemoteProtocolError):
        return
    assert found in (None, whole(own))
