"""Answers on their way to callers, read ahead of slow ones within the memory budget.

Without a limit of memory an exchange sends to its caller directly, and a slow caller slows
its server down. With one, what the caller doesn't take waits here, so that the server is
done; once memory is short, the server waits again, and the slowest callers yield.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from godwitmast.clock import Clock, SystemClock
from godwitmast.dispatch.messages import RequestSpec
from godwitmast.http_server import SEND_BUFFER_BYTES, Send
from godwitmast.logs import log_event
from godwitmast.loop_time import LoopClock
from godwitmast.memory.budget import Holder, MemoryBudget
from godwitmast.memory.callers import CallerFlow, choose_yielding

INLINE_BYTES = SEND_BUFFER_BYTES
"""Bytes of an answer that are sent without a queue: the connection's buffer takes them
without waiting, and a queue costs a task switch for each event."""

WINDOW_BYTES = 64 * 1024
"""Bytes that may wait for a caller however short memory is, so that a fast caller isn't
delayed by slow ones: one piece as it is read from a server."""

SEND_BYTES = 32 * 1024
"""Largest piece given to a connection at a time. It is in memory twice while it waits."""

CHECK_INTERVAL_S = 0.05
"""Interval at which a server that waits for memory looks for callers that became slow."""

Message = dict[str, Any]


class EntryMemory:
    """The memory budget of an entry, and the answers that wait for their callers."""

    def __init__(
        self, budget: MemoryBudget | None = None, clock: Clock | None = None
    ) -> None:
        self.budget = budget or MemoryBudget()
        # A pause of this VM makes no caller slow.
        self.clock = LoopClock(clock or SystemClock())
        self.waiting: dict[int, Outgoing] = {}
        """Answers of which bytes wait for their callers."""
        self.ended_callers = 0
        self.released: anyio.Event | None = None
        """Set when bytes are released; None while nothing waits for that."""
        self.was_short = False
        self.refused_requests = 0

    @property
    def is_bounded(self) -> bool:
        return self.budget.limit is not None

    def has_waiting(self) -> bool:
        return bool(self.waiting)

    def charge(self, holder: Holder, count: int) -> None:
        """Count bytes that are held already."""
        self.budget.charge(holder, count)
        self.log_change()

    def acquire(self, holder: Holder, count: int) -> bool:
        """Hold bytes if they are free; slow callers yield for them."""
        while not (acquired := self.budget.acquire(holder, count)):
            if not self.end_slowest():
                break
        self.log_change()
        return acquired

    def release(self, holder: Holder, count: int) -> None:
        self.budget.release(holder, count)
        self.log_change()
        if self.released is not None:
            self.released.set()
            self.released = None

    def admits(self, request: RequestSpec, size: int, tier: int) -> bool:
        """Return whether a request with a body of this size is taken now."""
        if self.budget.admits(size, tier):
            return True
        self.refused_requests += 1
        log_event(
            "memory_refusal",
            request=request.request_id,
            team=request.team,
            class_name=request.class_name,
            body_bytes=size,
            held_bytes=self.budget.total,
            limit_bytes=self.budget.limit,
        )
        return False

    async def wait_for_release(self) -> None:
        """Wait until bytes are released, or until a caller may have become slow."""
        if self.released is None:
            self.released = anyio.Event()
        with anyio.move_on_after(CHECK_INTERVAL_S):
            await self.released.wait()

    def end_slowest(self) -> bool:
        """End the caller that yields first; return False if none is slow."""
        now = self.clock.now()
        by_flow = {id(item.flow): item for item in self.waiting.values()}
        flow = choose_yielding((item.flow for item in self.waiting.values()), now)
        if flow is None:
            return False
        outgoing = by_flow[id(flow)]
        log_event(
            "slow_caller_ended",
            level="WARNING",
            request=outgoing.name,
            waiting_bytes=flow.waiting,
            waited_s=now - flow.waits_since,
            left_s=flow.left_s(now),
            held_bytes=self.budget.total,
            limit_bytes=self.budget.limit,
        )
        self.ended_callers += 1
        outgoing.end()
        return True

    def log_change(self) -> None:
        """Log when memory becomes short, and when that is over."""
        budget = self.budget
        if budget.is_short == self.was_short:
            return
        self.was_short = budget.is_short
        log_event(
            "memory_short" if budget.is_short else "memory_free",
            level="WARNING" if budget.is_short else "INFO",
            held_bytes=budget.total,
            limit_bytes=budget.limit,
            callers=len(self.waiting),
            **{f"{holder.value}_bytes": budget.held[holder] for holder in Holder},
        )


class HeldBytes:
    """Bytes that one request holds for one purpose, until it is closed."""

    def __init__(self, memory: EntryMemory, holder: Holder) -> None:
        self.memory = memory
        self.holder = holder
        self.count = 0

    def acquire(self, count: int) -> bool:
        acquired = self.memory.acquire(self.holder, count)
        if acquired:
            self.count += count
        return acquired

    def charge(self, count: int) -> None:
        self.memory.charge(self.holder, count)
        self.count += count

    def close(self) -> None:
        count, self.count = self.count, 0
        if count:
            self.memory.release(self.holder, count)


class Outgoing:
    """The messages of one answer on their way to its caller."""

    def __init__(
        self, name: str, send: Send, memory: EntryMemory, on_end: Callable[[], None]
    ) -> None:
        self.name = name
        self.direct = send
        self.memory = memory
        self.on_end = on_end
        self.abort_connection: Callable[[], None] = lambda: None
        """Closes the caller's connection at once, with what is buffered for it."""
        self.flow = CallerFlow()
        self.queue: deque[Message] = deque()
        self.inline_bytes = 0
        self.read_bytes = 0
        """Bytes read from a server of which the caller has got nothing yet."""
        self.tasks: TaskGroup | None = None
        self.is_queueing = False
        self.is_busy = False
        """Something is queued, or is being written from the queue."""
        self.is_cut = False
        """Part of the answer was dropped, so that nothing may follow."""
        self.arrived = anyio.Event()
        self.drained = anyio.Event()

    def start(self, tasks: TaskGroup) -> None:
        """Use a queue from now on, with a writer in this task group."""
        self.tasks = tasks

    async def send(self, message: Message) -> None:
        """Send a message, or queue it for a caller that may be slow.

        Return once the server may send more; after the last message, at once.
        """
        if self.is_cut:
            return
        size = len(message.get("body", b""))
        if not self.is_queueing and self.inline_bytes + size <= INLINE_BYTES:
            self.inline_bytes += size
            await self.direct(message)
            return
        if self.tasks is None:
            await self.direct(message)
            return
        self.enqueue(message, size)
        if message.get("more_body", False):
            await self.wait_for_room()

    def enqueue(self, message: Message, size: int) -> None:
        if not self.is_queueing:
            assert self.tasks is not None
            self.is_queueing = True
            self.tasks.start_soon(self.write)
        self.memory.charge(Holder.ANSWER, size)
        self.flow.record_arrival(size, self.memory.clock.now())
        self.memory.waiting[id(self)] = self
        self.memory.clock.follow(self.memory.has_waiting)
        self.queue.append(message)
        self.is_busy = True
        self.arrived.set()

    async def wait_for_room(self) -> None:
        """Wait while more than a window waits for the caller and memory is short."""
        while (
            not self.is_cut
            and self.flow.waiting > WINDOW_BYTES
            and not self.memory.budget.has_room(Holder.ANSWER)
        ):
            if not self.memory.end_slowest():
                await self.memory.wait_for_release()

    def hold(self, count: int) -> bool:
        """Hold bytes that were read, and are sent later; return whether more may be."""
        self.read_bytes += count
        if self.memory.acquire(Holder.ANSWER, count):
            return True
        self.memory.charge(Holder.ANSWER, count)
        return False

    async def wait_to_hold(self) -> None:
        """Wait until more may be read of an answer that is only sent when it is whole."""
        while not self.memory.budget.has_room(Holder.ANSWER):
            if not self.memory.end_slowest():
                await self.memory.wait_for_release()

    def release_read(self) -> None:
        """Release what was read, as it is about to be sent or is dropped."""
        count, self.read_bytes = self.read_bytes, 0
        if count:
            self.memory.release(Holder.ANSWER, count)

    async def write(self) -> None:
        """Send what is queued, as fast as the caller takes it."""
        while True:
            while self.queue:
                await self.write_message(self.queue.popleft())
            self.memory.waiting.pop(id(self), None)
            self.is_busy = False
            self.drained.set()
            self.drained, self.arrived = anyio.Event(), anyio.Event()
            await self.arrived.wait()

    async def write_message(self, message: Message) -> None:
        body = message.get("body", b"")
        start = 0
        while len(body) - start > SEND_BYTES:
            part = body[start : start + SEND_BYTES]
            start += SEND_BYTES
            await self.direct({**message, "body": part, "more_body": True})
            self.record_taken(len(part))
        await self.direct({**message, "body": body[start:]} if start else message)
        self.record_taken(len(body) - start)

    def record_taken(self, count: int) -> None:
        if not self.is_cut:
            self.flow.record_taken(count, self.memory.clock.now())
            self.memory.release(Holder.ANSWER, count)

    async def flush(self) -> None:
        """Wait until the caller has taken everything."""
        while self.is_busy and not self.is_cut:
            await self.drained.wait()

    def end(self) -> None:
        """End a caller that is too slow: its answer breaks off."""
        self.drop()
        self.abort_connection()
        self.on_end()

    def drop(self) -> None:
        """Drop what waits for the caller, which must not get any more then."""
        self.is_cut = True
        self.queue.clear()
        self.memory.waiting.pop(id(self), None)
        count, self.flow.waiting = self.flow.waiting, 0
        self.memory.release(Holder.ANSWER, count)
        self.drained.set()

    def close(self) -> None:
        """Release everything; break off an answer of which something still waits."""
        self.tasks = None
        self.release_read()
        if self.is_busy and not self.is_cut:
            self.drop()
            self.abort_connection()
