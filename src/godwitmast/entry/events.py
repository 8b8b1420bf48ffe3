"""Readers of server-sent events, which meter an answer and let an attempt resume it."""

import re

import msgspec

from godwitmast.decoding import decode_json
from godwitmast.errors import Undecodable
from godwitmast.logs import RowLog
from godwitmast.types import TokenCount

LINE_ENDS = b"\r\n"
EVENT_END = re.compile(rb"(?:\r\n|\r(?!\n)|\n){2}")
"""An empty line, after a line that ends in any of the ways that the format allows."""

EVENT_END_BYTES = 4
"""The longest end of an event, of two CRLF."""

DATA_PREFIX = b"data:"
ID_PREFIX = b"id:"
DONE_DATA = b"[DONE]"

MAX_STATED_TOKENS = 100_000_000
"""Far more than any engine reads or generates for one request."""

STATED_USAGE_LOG = RowLog("stated_usage_ignored")


class Delta(msgspec.Struct):
    """A choice's delta; `content` counts as output."""

    content: str | None = None


class Choice(msgspec.Struct):
    """A choice of a chunk, of a chat completion or a text completion."""

    delta: Delta | None = None
    text: str | None = None


class Usage(msgspec.Struct):
    """Token counts reported by the engine."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class Chunk(msgspec.Struct):
    """One event of a streamed answer, or a whole answer."""

    choices: list[Choice] = []
    usage: Usage | None = None


def split_events(joined: bytes) -> tuple[list[bytes], bytes]:
    """Return the complete events at the start of `joined`, and the rest."""
    events = []
    start = 0
    for match in EVENT_END.finditer(joined):
        events.append(joined[start : match.end()])
        start = match.end()
    return events, joined[start:]


class EventSplitter:
    """Splits a stream into events, in time that is linear in its bytes."""

    def __init__(self) -> None:
        self.partial = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the events that they complete."""
        partial = self.partial
        if not partial:
            events, rest = split_events(data)
            partial += rest
            return events
        held = len(partial)
        partial += data
        # An end of an event may begin in the bytes that were searched before.
        end = EVENT_END.search(partial, max(0, held - EVENT_END_BYTES + 1))
        if end is None:
            return []
        first = bytes(partial[: end.end()])
        events, rest = split_events(data[end.end() - held :])
        partial.clear()
        partial += rest
        return [first, *events]


class CompletionReader:
    """Splits a completion's stream into events, and collects the tokens in them.

    Chunks of a response can split or join events. Only complete events are forwarded:
    when a stream breaks off inside an event and another server resumes it, the caller
    must not receive half an event before the next one.
    """

    def __init__(self) -> None:
        self.splitter = EventSplitter()
        self.token_texts: list[str] = []
        self.usage: TokenCount | None = None
        self.done = False

    @property
    def partial_event(self) -> bytearray:
        """Return the bytes after the last complete event."""
        return self.splitter.partial

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the events that they complete."""
        events = self.splitter.feed(data)
        for event in events:
            self.read_event(event.lstrip(LINE_ENDS))
        return b"".join(events)

    def read_event(self, event: bytes) -> None:
        if not event.startswith(DATA_PREFIX):
            return
        data = event[len(DATA_PREFIX) :].strip()
        if data == DONE_DATA:
            self.done = True
            return
        try:
            chunk = decode_json(data, Chunk)
        except Undecodable:
            return
        for choice in chunk.choices:
            text = choice.delta.content if choice.delta else choice.text
            if text:
                self.token_texts.append(text)
        if chunk.usage:
            self.usage = token_count(chunk.usage)

    @property
    def delivered(self) -> int:
        """Return the number of tokens sent to the caller."""
        return len(self.token_texts)

    def end(self) -> bytes:
        """Return no bytes: `done` depends on the last event of such a stream."""
        return b""

    def discard_partial_event(self) -> None:
        """Drop an incomplete event, before another attempt resumes the stream."""
        self.partial_event.clear()


class EventIdReader:
    """Splits a stream into events, and keeps the id of the last one.

    Such a stream has no closing event: it is complete when the answer ends after a
    complete event. The end of the answer's HTTP framing is not enough: an answer without
    a length or chunks ends with its connection, however that came about.
    """

    def __init__(self) -> None:
        self.splitter = EventSplitter()
        self.delivered = 0
        self.last_id: str | None = None
        self.usage: TokenCount | None = None
        self.done = False

    @property
    def partial_event(self) -> bytearray:
        """Return the bytes after the last complete event."""
        return self.splitter.partial

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the events that they complete."""
        events = self.splitter.feed(data)
        self.delivered += len(events)
        whole = b"".join(events)
        for line in whole.splitlines():
            if line.startswith(ID_PREFIX):
                self.last_id = line[len(ID_PREFIX) :].strip().decode("latin-1")
        return whole

    def end(self) -> bytes:
        """Mark the stream as complete unless it ended inside an event.

        Return the bytes after its last event, which can only be ends of lines.
        """
        if self.partial_event.strip(LINE_ENDS):
            return b""
        self.done = True
        rest = bytes(self.partial_event)
        self.discard_partial_event()
        return rest

    def discard_partial_event(self) -> None:
        """Drop an incomplete event, before another attempt resumes the stream."""
        self.partial_event.clear()


def token_count(usage: Usage) -> TokenCount | None:
    """Return the counts, None if they are no numbers of tokens.

    JSON allows numbers below 0, and some that no float can hold.
    """
    counts = TokenCount(usage.prompt_tokens, usage.completion_tokens)
    if all(0 <= count <= MAX_STATED_TOKENS for count in counts):
        return counts
    text = f"{counts!r:.100}"
    STATED_USAGE_LOG.record("usage", text, text)
    return None


def read_usage(body: bytes) -> TokenCount | None:
    """Return the usage in the body of a whole answer, or None."""
    try:
        chunk = decode_json(body, Chunk)
    except Undecodable:
        return None
    return token_count(chunk.usage) if chunk.usage else None
