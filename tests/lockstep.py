"""Event loops of several processes in one virtual time, each of which can be suspended."""

import asyncio
import heapq
import itertools
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

from virtual_time import VirtualLoop

T = TypeVar("T")


class Process:
    """A process with an event loop of its own.

    What arrives while it is suspended is there when it runs on, together with the
    timers that are due by then.
    """

    def __init__(self, world: "World") -> None:
        self.world = world
        self.loop = VirtualLoop()
        self.suspended_until = 0.0
        self.arrived: list[Callable[[], None]] = []
        self.tasks: list[asyncio.Task[Any]] = []

    def run(self, work: Coroutine[Any, Any, Any]) -> None:
        self.tasks.append(self.loop.create_task(work))

    def create(self, make: Callable[[], T]) -> T:
        """Return what `make` creates inside the event loop."""

        async def work() -> T:
            return make()

        return self.loop.run_until_complete(work())

    def suspend(self, for_s: float) -> None:
        self.suspended_until = self.world.now + for_s

    def next_at(self) -> float:
        """Return when the process has something to do.

        The event loop tells only by private attributes.
        """
        if self.arrived or self.loop._ready:
            due = self.world.now
        else:
            timers = self.loop._scheduled
            due = timers[0].when() if timers else float("inf")
        return max(due, self.suspended_until)

    def step(self) -> None:
        """Run one turn of the event loop."""
        for callback in self.arrived:
            self.loop.call_soon(callback)
        self.arrived.clear()
        self.loop.jumping.now = self.world.now
        self.loop.stop()
        self.loop.run_forever()
        for task in self.tasks:
            if task.done():
                task.result()


class World:
    """Processes that run in turn, and what is on its way between them."""

    def __init__(self) -> None:
        self.now = 0.0
        self.processes: list[Process] = []
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()

    def add_process(self) -> Process:
        process = Process(self)
        self.processes.append(process)
        return process

    def at(self, time: float, event: Callable[[], None]) -> None:
        heapq.heappush(self.events, (time, next(self.numbers), event))

    def send(
        self, process: Process, delay_s: float, callback: Callable[[], None]
    ) -> None:
        """Deliver something to a process."""
        self.at(self.now + delay_s, lambda: process.arrived.append(callback))

    def run(self, until: float) -> None:
        while True:
            event_at = self.events[0][0] if self.events else float("inf")
            due = min([event_at, *(process.next_at() for process in self.processes)])
            if due > until:
                return
            self.now = max(self.now, due)
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            for process in self.processes:
                if process.next_at() <= self.now:
                    process.step()

    def close(self) -> None:
        for process in self.processes:
            for task in process.tasks:
                task.cancel()
            while not all(task.done() for task in process.tasks):
                process.loop.call_soon(process.loop.stop)
                process.loop.run_forever()
            process.loop.close()


@contextmanager
def lockstep() -> Iterator[World]:
    """Yield a world, and end its processes."""
    world = World()
    try:
        yield world
    finally:
        world.close()
