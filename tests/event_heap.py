"""A heap of events in virtual time, for replays of decisions without I/O."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any


class EventHeap:
    """Events by their time, a seeded source of random numbers, and the time now."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.numbers = itertools.count(1)

    def schedule(self, after: float, event: Callable[..., None], *args: Any) -> None:
        entry = (self.now + after, next(self.numbers), event, args)
        heapq.heappush(self.events, entry)

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, event, args = heapq.heappop(self.events)
            event(*args)
        self.now = until
