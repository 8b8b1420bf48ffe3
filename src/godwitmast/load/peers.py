"""Measures the peer overlay in virtual time, beside a full mesh, at growing sizes."""

import time
from collections.abc import Callable
from typing import Annotated, NamedTuple

import typer

from godwitmast.entry.gossip import (
    LOAD_INTERVAL_S,
    LOAD_PER_NODE_S,
    MAX_SERVICE_KEYS,
    RECORD_TTL_PERIODS,
    SERVICE_INTERVAL_S,
    SERVICE_PER_NODE_S,
)
from godwitmast.load.peer_network import FRAME_OVERHEAD, FakeNetwork, FakeNode, Weather
from godwitmast.peers.codec import encode_frame
from godwitmast.peers.messages import Beat, Frame, LoadEntry, Topic
from godwitmast.peers.rendezvous import choose_pollers, short_hash

SIZES = [9, 25, 50, 100, 200, 350]
LOSSES = [0.0, 0.01, 0.05]
SETTLE_S = 20.0
STEADY_S = 30.0
COLUMNS = (
    "nodes", "loss", "links", "B/s", "most B/s", "mesh B/s", "frames/s", "core %",
    "state KB", "50%", "99%", "100%", "dead", "suspected", "dropped", "heal",
)  # fmt: skip
SAMPLES = 5
LIMIT_S = 60.0
REPLICAS_PER_NODE = 850 / 350


class Cost(NamedTuple):
    """What a node spends in the steady state, as means over all nodes.

    Bytes are those sent, with 80 a frame for websockets, TLS and TCP/IP; a node
    receives as many. Processor time includes the fake network's own.
    """

    links: float
    bytes_per_s: float
    most_bytes_per_s: float
    frames_per_s: float
    core_percent: float
    state_kb: float
    suspicions: int
    wrong_deaths: int


class Spread(NamedTuple):
    """Seconds until that share of the nodes had a new configuration."""

    half: float
    most: float
    all: float


def build(count: int, loss: float, seed: int) -> FakeNetwork:
    """Return a settled system that tells load and service as entries do."""
    zones = 7 if count >= 50 else 3
    network = FakeNetwork(seed, Weather(loss=loss), codec=True)
    for number in range(count):
        zone = number % zones
        network.add(f"node-{number}", f"zone-{zone}", "r1" if zone < 4 else "r2")
    network.introduce()
    network.know_all()
    for fake in network.live():
        start_telling(network, fake)
    network.run(SETTLE_S)
    return network


def start_telling(network: FakeNetwork, fake: FakeNode) -> None:
    """Have a node tell its zone of load and service, as often as an entry does."""
    machine = fake.machine
    address = machine.place.address
    nodes = machine.zone_nodes()
    replicas = [f"{machine.place.zone}-{n}" for n in range(replicas_of(len(nodes)))]
    mine = [r for r in replicas if choose_pollers(r, nodes)[0] == machine.node]

    def tell(topic: Topic, period: float, value: Callable[[], object]) -> None:
        left_s = RECORD_TTL_PERIODS * period
        network.act(
            address,
            lambda m: m.publish_record(topic, m.node, value(), left_s, network.now),
        )
        network.at(period, lambda: tell(topic, period, value))

    def load() -> tuple[LoadEntry, ...]:
        pick = network.random.randrange
        return tuple(
            LoadEntry(short_hash(r), pick(32), pick(8), pick(900), pick(20))
            for r in mine
        )

    def service() -> dict[str, tuple[int, int]]:
        pick = network.random.randrange
        names = [f"team-{pick(6300)}\x1fclass-{pick(7)}\x1fmodel-{pick(28)}"]
        names += [
            f"team-{n}\x1fclass-1\x1fmodel-1" for n in range(MAX_SERVICE_KEYS - 1)
        ]
        return {name: (pick(10_000), pick(1_000_000)) for name in names}

    load_period = max(LOAD_INTERVAL_S, LOAD_PER_NODE_S * len(nodes))
    service_period = max(SERVICE_INTERVAL_S, SERVICE_PER_NODE_S * len(nodes))
    if mine:
        wait = network.random.random() * load_period
        network.at(wait, lambda: tell(Topic.LOAD, load_period, load))
    wait = network.random.random() * service_period
    network.at(wait, lambda: tell(Topic.SERVICE, service_period, service))


def replicas_of(nodes: int) -> int:
    return round(nodes * REPLICAS_PER_NODE)


def measure_cost(network: FakeNetwork) -> Cost:
    """Run the steady state for a while, with nothing happening to the nodes."""
    live = network.live()
    bytes_before = {id(fake): fake.bytes_sent for fake in live}
    frames_before = sum(fake.frames_sent for fake in live)
    wrong_before = raised(live)
    start = time.process_time()
    network.run(STEADY_S)
    seconds = time.process_time() - start
    sent = [(f.bytes_sent - bytes_before[id(f)]) / STEADY_S for f in live]
    frames = sum(fake.frames_sent for fake in live) - frames_before
    wrong = raised(live)
    count = len(live)
    return Cost(
        sum(len(fake.machine.by_node) for fake in live) / count,
        sum(sent) / count,
        max(sent),
        frames / STEADY_S / count,
        100 * seconds / STEADY_S / count,
        state_bytes(live[0]) / 1024,
        wrong[0] - wrong_before[0],
        wrong[1] - wrong_before[1],
    )


def raised(live: list[FakeNode]) -> tuple[int, int]:
    counts = [fake.machine.counts for fake in live]
    return sum(c.suspicions for c in counts), sum(c.deaths for c in counts)


def state_bytes(fake: FakeNode) -> int:
    """Return the size of all records of a node, as CBOR."""
    machine = fake.machine
    records = [machine.table.record(node) for node in machine.table.members]
    records += [
        h.record for shelf in machine.records.held.values() for h in shelf.values()
    ]
    held = tuple(record for record in records if record is not None)
    return len(encode_frame(Frame(Beat(0, 0, 0), held)))


def measure_spread(network: FakeNetwork, number: int) -> Spread:
    """Put a new configuration in force at one node, and see when others have it."""
    source = network.random.choice(network.live())
    start = network.now
    source.config.set(number)
    network.act(source.machine.place.address, lambda m: m.config_changed(network.now))
    seconds = []
    for share in (0.5, 0.99, 1.0):
        network.run_until(lambda s=share: has_config(network, number, s), LIMIT_S)  # type: ignore[misc]
        seconds.append(network.now - start)
    return Spread(*seconds)


def has_config(network: FakeNetwork, number: int, share: float) -> bool:
    live = network.live()
    return sum(fake.config.version >= number for fake in live) >= share * len(live)


def measure_detection(network: FakeNetwork) -> float:
    """Lose a VM in silence; return seconds until it is off every list."""
    lost = network.random.choice(network.live()).machine
    network.lose(lost.place.address)
    return network.run_until(
        lambda: (
            not any(
                fake.machine.table.members[lost.node].listed for fake in network.live()
            )
        ),
        LIMIT_S,
    )


def measure_heal(network: FakeNetwork, number: int) -> float:
    """Cut a zone off for a minute, and return seconds until all is one again."""
    network.cut = lambda source, target: (
        (source.zone == "zone-0") != (target.zone == "zone-0")
    )
    network.run(5)
    outside = next(f for f in network.live() if f.machine.place.zone != "zone-0")
    outside.config.set(number)
    address = outside.machine.place.address
    network.act(address, lambda m: m.config_changed(network.now))
    network.run(55)
    network.cut = lambda source, target: False
    count = len(network.live())
    return network.run_until(
        lambda: (
            has_config(network, number, 1.0)
            and all(len(fake.machine.listed()) == count for fake in network.live())
        ),
        LIMIT_S,
    )


def mesh_bytes(count: int) -> float:
    """Return bytes a second of a full mesh with one heartbeat a second a pair."""
    beat = len(encode_frame(Frame(Beat(1300, 2**31, 2**31)))) + FRAME_OVERHEAD
    return beat * (count - 1)


Sizes = Annotated[list[int], typer.Option("--nodes", help="Sizes, each in turn.")]
Losses = Annotated[list[float], typer.Option("--loss", help="Shares of frames lost.")]
Seed = Annotated[int, typer.Option(help="Of the fake network.")]
Heal = Annotated[bool, typer.Option(help="Also cut a zone off and heal it.")]


def peers(
    nodes: Sizes = SIZES, loss: Losses = LOSSES, seed: Seed = 1, heal: Heal = True
) -> None:
    """Measure the overlay of entries in virtual time, at several sizes and losses.

    Each row is printed when it is measured; 350 nodes take minutes.
    """
    typer.echo("A node of the overlay; times in seconds.")
    typer.echo("".join(f"{name:>10}" for name in COLUMNS))
    for share in loss:
        for count in nodes:
            row = measure_row(count, share, seed, heal)
            typer.echo("".join(f"{value:>10}" for value in row))


def measure_row(count: int, loss: float, seed: int, heal: bool) -> list[str]:
    network = build(count, loss, seed)
    cost = measure_cost(network)
    spreads = [measure_spread(network, n + 2) for n in range(SAMPLES)]
    worst = [max(column) for column in zip(*spreads, strict=True)]
    dead = measure_detection(network)
    healed = f"{measure_heal(network, SAMPLES + 2):.2f}" if heal else "-"
    return [
        str(count),
        f"{loss:.0%}",
        f"{cost.links:.1f}",
        f"{cost.bytes_per_s:.0f}",
        f"{cost.most_bytes_per_s:.0f}",
        f"{mesh_bytes(count):.0f}",
        f"{cost.frames_per_s:.1f}",
        f"{cost.core_percent:.3f}",
        f"{cost.state_kb:.1f}",
        *(f"{seconds:.2f}" for seconds in worst),
        f"{dead:.1f}",
        str(cost.suspicions),
        str(cost.wrong_deaths),
        healed,
    ]
