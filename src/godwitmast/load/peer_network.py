"""A fake network that drives peer machines in virtual time.

It can lose, delay, duplicate and reorder frames, which makes the conditions worse than
those of a TCP connection: TCP does none of this to frames but delay them, also when a
packet is lost.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from godwitmast.peers.codec import decode_frame, encode_frame
from godwitmast.peers.machine import PeerMachine
from godwitmast.peers.messages import (
    Dial,
    Frame,
    HangUp,
    KnownVm,
    Place,
    RecordCame,
    Send,
)
from godwitmast.peers.timing import Timing
from godwitmast.types import Json

TICK_S = 0.25
FRAME_OVERHEAD = 80
"""Bytes that TCP/IP (52), TLS (22) and websockets (6) add to each frame."""

EPOCH_MS = 1_700_000_000_000
ZONE_DELAY_S = 0.0005
REGION_DELAY_S = 0.001
FAR_DELAY_S = 0.035
"""One-way delays within a zone, between zones of a region, and between regions."""


@dataclass
class CountedConfig:
    """A configuration that is only a number, with its last `max_deltas` deltas."""

    version: int = 0
    max_deltas: int = 50
    on_change: Callable[[int], None] = lambda version: None
    patch_bytes: int = 200
    snapshot_bytes: int = 2000

    def set(self, number: int) -> bool:
        if number <= self.version:
            return False
        self.version = number
        self.on_change(number)
        return True

    def deltas(self, after: int) -> Json | None:
        """Return dummy patches of the right size; None if there are too many."""
        if self.version - after > self.max_deltas:
            return None
        return ["x" * self.patch_bytes] * (self.version - after)

    def snapshot(self) -> Json | None:
        return "x" * self.snapshot_bytes

    def adopt_deltas(self, after: int, number: int, payload: Json) -> bool:
        return self.set(number)

    def adopt_snapshot(self, number: int, payload: Json) -> bool:
        return self.set(number)


class NetworkFaults(NamedTuple):
    """Probabilities that a frame is lost or sent twice, and the jitter of its delay."""

    loss: float = 0.0
    duplicated: float = 0.0
    jitter_s: float = 0.0005
    """Upper bound of a random addition to each frame's delay, which reorders frames if
    it exceeds the delay."""


@dataclass
class FakeNode:
    """A node's machine, its links, and counts of what it sent."""

    machine: PeerMachine
    config: CountedConfig
    up: bool = True
    refuses_connections: bool = False
    paused_until: float = 0.0
    bytes_sent: int = 0
    frames_sent: int = 0
    links: dict[int, "FakeLink"] = field(default_factory=dict)


@dataclass
class FakeLink:
    """A connection between two addresses; both ends know it by the same id."""

    link_id: int
    ends: tuple[str, str]
    open: bool = True

    def other(self, address: str) -> str:
        return self.ends[1] if self.ends[0] == address else self.ends[0]


class FakeNetwork:
    """Nodes by address, a heap of events and a virtual clock."""

    def __init__(
        self,
        seed: int = 0,
        weather: NetworkFaults = NetworkFaults(),
        codec: bool = False,
    ) -> None:
        self.random = random.Random(seed)
        self.weather = weather
        self.codec = codec
        self.now = 1000.0
        self.nodes: dict[str, FakeNode] = {}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count(1)
        self.cut: Callable[[Place, Place], bool] = lambda source, target: False
        self.on_record: Callable[[str, RecordCame], None] = lambda node, output: None

    # The nodes.

    def add(
        self,
        node: str,
        zone: str,
        region: str = "r1",
        address: str | None = None,
        timing: Timing = Timing(),
        version: int = 1,
    ) -> FakeNode:
        """Start a node; it replaces the node that has its address, if any."""
        place = Place(address or f"{node}:1", zone, region)
        config = CountedConfig(version)
        incarnation = EPOCH_MS + int(self.now * 1000)
        machine = PeerMachine(
            node, place, incarnation, config, self.now, seed=1, timing=timing
        )
        if place.address in self.nodes:
            self.kill(place.address)
        added = FakeNode(machine, config)
        self.nodes[place.address] = added
        self.schedule(
            self.random.random() * TICK_S, lambda: self.tick(place.address, added)
        )
        return added

    def set_known_vms(self, addresses: Iterable[str] | None = None) -> None:
        """Give every node the platform's list of VMs, by default all of them."""
        listed = list(self.nodes if addresses is None else addresses)
        for fake in self.nodes.values():
            fake.machine.set_known_vms([KnownVm(a) for a in listed], self.now)

    def fill_member_tables(self) -> None:
        """Enter every node in every member table, as in a system that has converged."""
        members = [fake.machine.own_member for fake in self.nodes.values()]
        for fake in self.nodes.values():
            for member in members:
                if member.node != fake.machine.node:
                    fake.machine.table.put(member, self.now)

    def kill(self, address: str) -> None:
        """End a process: its connections break at once, and new ones are refused."""
        fake = self.nodes[address]
        fake.up = False
        fake.refuses_connections = True
        for link in list(fake.links.values()):
            self.close_link(link, address)

    def lose(self, address: str) -> None:
        """End a VM without a sign to its peers: frames and dials to it are dropped."""
        self.nodes[address].up = False

    def pause(self, address: str, seconds: float) -> None:
        self.nodes[address].paused_until = self.now + seconds

    def live(self) -> list[FakeNode]:
        return [fake for fake in self.nodes.values() if fake.up]

    # Time.

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.numbers), action))

    def run(self, seconds: float) -> None:
        """Advance virtual time, and run the events that fall due."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def run_until(self, done: Callable[[], bool], limit_s: float) -> float:
        """Advance time until `done`, and return the seconds that it took.

        Raise AssertionError after `limit_s`.
        """
        start = self.now
        while not done():
            if self.now - start >= limit_s:
                raise AssertionError(f"not done after {limit_s} s")
            self.run(0.05)
        return self.now - start

    def tick(self, address: str, fake: FakeNode) -> None:
        if not fake.up or self.nodes[address] is not fake:
            return
        if fake.paused_until <= self.now:
            fake.machine.tick(self.now)
            self.execute_outputs(address, fake)
        self.schedule(TICK_S, lambda: self.tick(address, fake))

    # The network.

    def call_machine(self, address: str, action: Callable[[PeerMachine], None]) -> None:
        """Call a node's machine and execute its outputs, after its pause if any."""
        fake = self.nodes[address]
        if not fake.up:
            return
        if fake.paused_until > self.now:
            wait = fake.paused_until - self.now
            self.schedule(wait + 0.001, lambda: self.call_machine(address, action))
            return
        action(fake.machine)
        self.execute_outputs(address, fake)

    def execute_outputs(self, address: str, fake: FakeNode) -> None:
        for output in fake.machine.pop_outputs():
            match output:
                case Send(link_id, frame):
                    self.transmit(address, fake, link_id, frame)
                case Dial(target):
                    self.dial(address, target)
                case HangUp(link_id):
                    link = fake.links.get(link_id)
                    if link is not None:
                        self.close_link(link, address)
                case RecordCame():
                    self.on_record(fake.machine.node, output)

    def can_reach(self, source: str, target: str) -> bool:
        if target not in self.nodes or not self.nodes[target].up:
            return False
        places = [self.nodes[a].machine.place for a in (source, target)]
        return not self.cut(places[0], places[1])

    def dial(self, source: str, target: str) -> None:
        known = target in self.nodes
        cut = known and not (
            self.can_reach(source, target) and self.can_reach(target, source)
        )
        if not known or cut:
            silent = known and not self.nodes[target].refuses_connections
            wait = 2.0 if silent else 0.001
            self.schedule(
                wait,
                lambda: self.call_machine(
                    source, lambda m: m.dial_failed(target, self.now)
                ),
            )
            return
        self.schedule(
            2 * self.delay_s(source, target), lambda: self.open_link(source, target)
        )

    def open_link(self, source: str, target: str) -> None:
        if not (self.nodes[source].up and self.nodes[target].up):
            self.call_machine(source, lambda m: m.dial_failed(target, self.now))
            return
        link = FakeLink(next(self.numbers), (source, target))
        for end in link.ends:
            self.nodes[end].links[link.link_id] = link
        self.call_machine(target, lambda m: m.link_opened(link.link_id, None, self.now))
        self.call_machine(
            source, lambda m: m.link_opened(link.link_id, target, self.now)
        )

    def close_link(self, link: FakeLink, by: str) -> None:
        """Close a link; the other end is notified unless a partition prevents it."""
        self.nodes[by].links.pop(link.link_id, None)
        if not link.open:
            return
        link.open = False
        other = link.other(by)

        def notify_other_end() -> None:
            fake = self.nodes[other]
            if fake.links.pop(link.link_id, None) is not None:
                self.call_machine(
                    other, lambda m: m.link_closed(link.link_id, self.now)
                )

        places = [self.nodes[a].machine.place for a in (by, other)]
        if not self.cut(places[0], places[1]):
            self.schedule(self.delay_s(by, other) + 0.005, notify_other_end)

    def delay_s(self, source: str, target: str) -> float:
        one, other = (self.nodes[a].machine.place for a in (source, target))
        base_s = FAR_DELAY_S
        if one.region == other.region:
            base_s = ZONE_DELAY_S if one.zone == other.zone else REGION_DELAY_S
        return base_s + self.random.random() * self.weather.jitter_s

    def transmit(self, source: str, fake: FakeNode, link_id: int, frame: Frame) -> None:
        """Send a frame, which the network may lose, duplicate or delay."""
        if self.codec:
            data = encode_frame(frame)
            fake.bytes_sent += len(data) + FRAME_OVERHEAD
        fake.frames_sent += 1
        link = fake.links.get(link_id)
        if link is None:
            return
        target = link.other(source)
        self.schedule(
            0.0002,
            lambda: self.call_machine(source, lambda m: m.sent(link_id, self.now)),
        )
        copies = 1 + (self.random.random() < self.weather.duplicated)
        for _ in range(copies):
            if self.random.random() >= self.weather.loss:
                received = decode_frame(data) if self.codec else frame
                wait = self.delay_s(source, target)
                self.schedule(wait, partial(self.deliver, link, target, received))

    def deliver(self, link: FakeLink, target: str, frame: Frame) -> None:
        fake = self.nodes[target]
        if link.link_id in fake.links and self.can_reach(link.other(target), target):
            self.call_machine(
                target, lambda m: m.received(link.link_id, frame, self.now)
            )
