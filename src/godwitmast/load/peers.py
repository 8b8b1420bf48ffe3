"""`godwit-load peers`: cost and propagation times of the peer overlay, by size."""

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
from godwitmast.load.peer_network import (
    FRAME_OVERHEAD,
    FakeNetwork,
    FakeNode,
    NetworkFaults,
)
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
PROPAGATION_SAMPLES = 5
TIMEOUT_S = 60.0
REPLICAS_PER_NODE = 850 / 350


class Cost(NamedTuple):
    """Cost of a node in the steady state, as means over all nodes.

    Bytes are those sent, with 80 bytes a frame for websockets, TLS and TCP/IP; a node
    receives as many. Processor time includes that of the fake network.
    """

    links: float
    bytes_per_s: float
    most_bytes_per_s: float
    frames_per_s: float
    core_percent: float
    state_kb: float
    suspicions: int
    wrong_deaths: int


class PropagationDelay(NamedTuple):
    """Seconds until 50, 99 and 100 % of the nodes had a new configuration."""

    half: float
    most: float
    all: float


def make_network(count: int, loss: float, seed: int) -> FakeNetwork:
    """Return a converged network whose nodes publish load and service as entries do."""
    zones = 7 if count >= 50 else 3
    network = FakeNetwork(seed, NetworkFaults(loss=loss), codec=True)
    for number in range(count):
        zone = number % zones
        network.add(f"node-{number}", f"zone-{zone}", "r1" if zone < 4 else "r2")
    network.set_known_vms()
    network.fill_member_tables()
    for fake in network.live():
        start_publishing(network, fake)
    network.run(SETTLE_S)
    return network


def start_publishing(network: FakeNetwork, fake: FakeNode) -> None:
    """Make a node publish load and service records at the intervals of an entry."""
    machine = fake.machine
    address = machine.place.address
    nodes = machine.zone_nodes()
    replicas = [f"{machine.place.zone}-{n}" for n in range(replica_count(len(nodes)))]
    polled = [r for r in replicas if choose_pollers(r, nodes)[0] == machine.node]

    def publish(topic: Topic, period: float, value: Callable[[], object]) -> None:
        left_s = RECORD_TTL_PERIODS * period
        network.call_machine(
            address,
            lambda m: m.publish_record(topic, m.node, value(), left_s, network.now),
        )
        network.schedule(period, lambda: publish(topic, period, value))

    def load() -> tuple[LoadEntry, ...]:
        pick = network.random.randrange
        return tuple(
            LoadEntry(short_hash(r), pick(32), pick(8), pick(900), pick(20))
            for r in polled
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
    if polled:
        wait = network.random.random() * load_period
        network.schedule(wait, lambda: publish(Topic.LOAD, load_period, load))
    wait = network.random.random() * service_period
    network.schedule(wait, lambda: publish(Topic.SERVICE, service_period, service))


def replica_count(nodes: int) -> int:
    return round(nodes * REPLICAS_PER_NODE)


def measure_cost(network: FakeNetwork) -> Cost:
    """Run the network for STEADY_S without faults of nodes, and return its cost."""
    live = network.live()
    bytes_before = {id(fake): fake.bytes_sent for fake in live}
    frames_before = sum(fake.frames_sent for fake in live)
    wrong_before = suspicions_and_deaths(live)
    start = time.process_time()
    network.run(STEADY_S)
    seconds = time.process_time() - start
    sent = [(f.bytes_sent - bytes_before[id(f)]) / STEADY_S for f in live]
    frames = sum(fake.frames_sent for fake in live) - frames_before
    wrong = suspicions_and_deaths(live)
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


def suspicions_and_deaths(live: list[FakeNode]) -> tuple[int, int]:
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


def measure_propagation(network: FakeNetwork, number: int) -> PropagationDelay:
    """Put a configuration in force at one node; return when the others have it."""
    source = network.random.choice(network.live())
    start = network.now
    source.config.set(number)
    network.call_machine(
        source.machine.place.address, lambda m: m.config_changed(network.now)
    )
    seconds = []
    for share in (0.5, 0.99, 1.0):
        network.run_until(lambda s=share: has_config(network, number, s), TIMEOUT_S)  # type: ignore[misc]
        seconds.append(network.now - start)
    return PropagationDelay(*seconds)


def has_config(network: FakeNetwork, number: int, share: float) -> bool:
    live = network.live()
    return sum(fake.config.version >= number for fake in live) >= share * len(live)


def measure_detection(network: FakeNetwork) -> float:
    """Lose a VM without resets; return the seconds until no node lists it."""
    lost = network.random.choice(network.live()).machine
    network.lose(lost.place.address)
    return network.run_until(
        lambda: (
            not any(
                fake.machine.table.members[lost.node].listed for fake in network.live()
            )
        ),
        TIMEOUT_S,
    )


def measure_heal(network: FakeNetwork, number: int) -> float:
    """Partition a zone for a minute; return the seconds until all nodes agree again.

    They agree when all have the configuration that was accepted meanwhile, and list
    all live nodes.
    """
    network.cut = lambda source, target: (
        (source.zone == "zone-0") != (target.zone == "zone-0")
    )
    network.run(5)
    outside = next(f for f in network.live() if f.machine.place.zone != "zone-0")
    outside.config.set(number)
    address = outside.machine.place.address
    network.call_machine(address, lambda m: m.config_changed(network.now))
    network.run(55)
    network.cut = lambda source, target: False
    count = len(network.live())
    return network.run_until(
        lambda: (
            has_config(network, number, 1.0)
            and all(len(fake.machine.listed()) == count for fake in network.live())
        ),
        TIMEOUT_S,
    )


def mesh_bytes(count: int) -> float:
    """Return the bytes a second that a node of a full mesh sends in heartbeats.

    Each pair of nodes exchanges one a second.
    """
    beat = len(encode_frame(Frame(Beat(1300, 2**31, 2**31)))) + FRAME_OVERHEAD
    return beat * (count - 1)


Sizes = Annotated[list[int], typer.Option("--nodes", help="Sizes, each in turn.")]
Losses = Annotated[list[float], typer.Option("--loss", help="Shares of frames lost.")]
Seed = Annotated[int, typer.Option(help="Seed of the fake network.")]
Heal = Annotated[bool, typer.Option(help="Also partition a zone and heal it.")]


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
    network = make_network(count, loss, seed)
    cost = measure_cost(network)
    delays = [measure_propagation(network, n + 2) for n in range(PROPAGATION_SAMPLES)]
    worst = [max(column) for column in zip(*delays, strict=True)]
    dead = measure_detection(network)
    healed = f"{measure_heal(network, PROPAGATION_SAMPLES + 2):.2f}" if heal else "-"
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
