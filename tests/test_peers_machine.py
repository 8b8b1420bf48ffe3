"""`PeerMachine` in virtual time, over a network that loses and reorders frames."""

import random
from collections.abc import Callable
from itertools import combinations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitmast.load.peer_network import FakeNetwork, FakeNode
from godwitmast.load.peer_network import NetworkFaults as Weather
from godwitmast.peers.machine import PeerMachine
from godwitmast.peers.messages import HangUp, KnownVm, MemberState, Place, Send, Topic

DEAD_WITHIN_S = 12.0
CONVERGED_WITHIN_S = 90.0


def build(
    count: int, zones: int, weather: Weather = Weather(), seed: int = 1
) -> FakeNetwork:
    """Return a running network in which each node knows all others."""
    network = FakeNetwork(seed, weather)
    for number in range(count):
        zone = number % zones
        network.add(f"n{number}", f"z{zone}", "r1" if zone < 4 else "r2")
    network.set_known_vms()
    network.fill_member_tables()
    network.run(3)
    return network


def set_config(network: FakeNetwork, fake: FakeNode, number: int) -> None:
    fake.config.set(number)
    network.call_machine(
        fake.machine.place.address, lambda m: m.config_changed(network.now)
    )


def publish(network: FakeNetwork, fake: FakeNode, topic: Topic, key: str) -> None:
    network.call_machine(
        fake.machine.place.address,
        lambda m: m.publish_record(topic, key, True, 600, network.now),
    )


def names(network: FakeNetwork) -> set[str]:
    return {fake.machine.node for fake in network.live()}


def listed(fake: FakeNode) -> set[str]:
    return {member.node for member in fake.machine.listed()}


def all_list_each_other(network: FakeNetwork) -> bool:
    live = names(network)
    return all(listed(fake) == live for fake in network.live())


def agreed(network: FakeNetwork) -> bool:
    """Return whether all live nodes have the same members, records and configuration."""
    live = network.live()
    newest = max(fake.config.version for fake in live)
    return (
        all(fake.config.version == newest for fake in live)
        and len({fake.machine.records.digest for fake in live}) == 1
        and all_list_each_other(network)
    )


Cut = Callable[[Place, Place], bool]


def whole(source: Place, target: Place) -> bool:
    return False


def cut_off(*zones: str) -> Cut:
    """Return a partition between these zones and all others."""
    return lambda source, target: (source.zone in zones) != (target.zone in zones)


def cut_one_way(lost: set[tuple[str, str]]) -> Cut:
    """Return a partition of each pair's direction from the first to the second zone."""
    return lambda source, target: (source.zone, target.zone) in lost


class Trouble:
    """Injects faults into a network one by one, and checks versions after each."""

    def __init__(self, network: FakeNetwork, zones: int, seed: int) -> None:
        self.network = network
        self.zones = zones
        self.random = random.Random(seed)
        self.number = 1
        self.seen: dict[int, int] = {}

    def play(self, event: str, pick: int, wait: float) -> None:
        network = self.network
        fake = network.live()[pick % len(network.live())]
        address = fake.machine.place.address
        self.number += 1
        match event:
            case "kill" | "lose" if len(network.live()) > 1:
                network.kill(address) if event == "kill" else network.lose(address)
            case "pause":
                network.pause(address, wait)
            case "replace":
                self.add(fake.machine.place.zone, address)
            case "add":
                self.add(f"z{pick % self.zones}", None)
            case "config":
                set_config(network, fake, self.number)
            case "record":
                publish(network, fake, Topic.LEAVING_BACKEND, f"backend-{pick % 5}")
            case "cut":
                network.cut = cut_one_way(self.choose_zone_pairs())
            case "heal":
                network.cut = whole
        network.run(wait)
        self.check_versions()

    def add(self, zone: str, address: str | None) -> None:
        fake = self.network.add(f"added-{self.number}", zone, "r1", address)
        known = [KnownVm(address) for address in self.network.nodes]
        fake.machine.set_known_vms(known, self.network.now)

    def choose_zone_pairs(self) -> set[tuple[str, str]]:
        """Return random pairs of zones to partition, some in one direction only."""
        pairs = list(combinations([f"z{n}" for n in range(self.zones)], 2))
        chosen = self.random.sample(pairs, k=self.random.randint(0, len(pairs)))
        back = [(b, a) for a, b in chosen if self.random.random() < 0.7]
        return {*chosen, *back}

    def check_versions(self) -> None:
        """Assert that no configuration in force was replaced by an older one."""
        for fake in self.network.live():
            assert fake.config.version >= self.seen.get(id(fake), 0)
            self.seen[id(fake)] = fake.config.version


EVENTS = ["kill", "lose", "pause", "replace", "add", "config", "record", "cut", "heal"]
SCRIPTS = st.lists(
    st.tuples(st.sampled_from(EVENTS), st.integers(0, 999), st.floats(0, 12)),
    min_size=1,
    max_size=12,
)


@settings(derandomize=True, deadline=None, max_examples=50)
@given(
    st.integers(2, 12),
    st.integers(1, 6),
    SCRIPTS,
    st.sampled_from([0.0, 0.01, 0.2]),
    st.sampled_from([0.0, 0.3]),
    st.integers(0, 10_000),
)
def test_all_converge_once_the_network_is_whole(
    count: int,
    zones: int,
    script: list[tuple[str, int, float]],
    loss: float,
    doubled: float,
    seed: int,
) -> None:
    """Nodes are killed, lost, paused, replaced and cut off; frames are lost, doubled
    and reordered.

    Whatever the order, no configuration goes back meanwhile. Once the network is whole
    and loses nothing, every live node lists just the live ones, with the highest
    number that any has, and holds the same shared records.
    """
    network = build(count, zones, Weather(loss, doubled, jitter_s=0.05), seed)
    trouble = Trouble(network, zones, seed)
    for event, pick, wait in script:
        trouble.play(event, pick, wait)
    network.cut = whole
    network.weather = Weather()
    network.run_until(lambda: agreed(network), CONVERGED_WITHIN_S)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_fifty_nodes_converge_after_a_minute_of_faults(seed: int) -> None:
    """The same faults as above, one after another, among fifty nodes."""
    network = build(50, 7, Weather(0.02, 0.1, jitter_s=0.05), seed)
    trouble = Trouble(network, 7, seed)
    choose = random.Random(seed)
    for _ in range(20):
        event = choose.choice(EVENTS)
        trouble.play(event, choose.randrange(1000), choose.uniform(0, 6))
    network.cut = whole
    network.weather = Weather()
    network.run_until(lambda: agreed(network), CONVERGED_WITHIN_S)


@pytest.mark.parametrize(("count", "zones"), [(9, 3), (50, 3), (350, 7)])
def test_configuration_reaches_all_within_five_seconds_at_one_percent_loss(
    count: int, zones: int
) -> None:
    network = build(count, zones, Weather(loss=0.01))
    set_config(network, network.live()[0], 2)
    network.run_until(lambda: agreed(network), 5)


@pytest.mark.parametrize("how", ["kill", "lose"])
@pytest.mark.parametrize(("count", "zones"), [(9, 3), (50, 7), (350, 7)])
def test_dead_node_is_removed_from_every_list_and_no_live_one_is(
    how: str, count: int, zones: int
) -> None:
    """One process dies: its connections are reset, or its VM is lost without a reset."""
    network = build(count, zones)
    getattr(network, how)("n4:1")
    network.run_until(lambda: agreed(network), DEAD_WITHIN_S)
    assert names(network) == {f"n{n}" for n in range(count) if n != 4}


@pytest.mark.parametrize("loss", [0.01, 0.05])
def test_live_nodes_stay_on_every_list_while_frames_are_lost(loss: float) -> None:
    network = build(50, 7, Weather(loss=loss))
    for _ in range(60):
        network.run(1)
        assert all_list_each_other(network)


@pytest.mark.parametrize(("count", "zones"), [(9, 3), (50, 7)])
def test_zone_that_was_cut_off_has_everything_within_five_seconds_of_healing(
    count: int, zones: int
) -> None:
    """A zone is partitioned for a minute, so that each side declares the other dead.

    Meanwhile a configuration is accepted outside, and a record is published on either
    side. After healing both sides have all three. `godwit-load peers` plays the same
    with 350 nodes.
    """
    network = build(count, zones)
    network.cut = cut_off("z0")
    network.run(5)
    inside, outside = network.live()[0], network.live()[1]
    set_config(network, outside, 2)
    publish(network, outside, Topic.LEAVING_BACKEND, "backend-1")
    publish(network, inside, Topic.LEAVING_BACKEND, "backend-2")
    network.run(55)
    assert inside.config.version == 1
    assert listed(inside) == {f"n{n}" for n in range(count) if n % zones == 0}
    network.cut = whole
    network.run_until(lambda: agreed(network), 5)


def test_zones_that_cannot_reach_each_other_agree_over_a_third() -> None:
    """Two zones are partitioned from each other in one direction.

    Nodes whose dials fail suspect the members that they cannot reach; these receive
    the suspicion over the third zone and refute it. No member is removed, and a
    configuration still reaches all.
    """
    network = build(50, 3)
    network.cut = cut_one_way({("z0", "z1")})
    for _ in range(60):
        network.run(1)
        assert all_list_each_other(network)
    set_config(network, network.live()[0], 2)
    network.run_until(lambda: agreed(network), 5)


def test_paused_node_is_dropped_and_comes_back_without_suspecting_others() -> None:
    """A VM is paused for 20 s and its peers declare it dead.

    When it resumes it has received nothing on any link for 20 s, because it was itself
    paused: it must not suspect its neighbours, and must be listed again.
    """
    network = build(9, 3)
    network.pause("n4:1", 20)
    network.run(15)
    assert all("n4" not in listed(f) for f in network.live() if f.paused_until == 0)
    network.run(6)
    network.run_until(lambda: agreed(network), 8)
    assert network.nodes["n4:1"].machine.counts.suspicions == 0


def test_node_that_leaves_is_removed_from_every_list_at_once() -> None:
    network = build(50, 7)
    network.call_machine("n4:1", lambda m: m.leave(network.now))
    network.run(0.5)
    network.kill("n4:1")
    assert all("n4" not in listed(fake) for fake in network.live())


def test_new_node_at_the_address_of_a_dead_one_takes_its_place() -> None:
    """A VM dies and its address is reused by a new one at once.

    Dials to the address succeed, so the old node would never be suspected; the new
    one's hello marks it dead.
    """
    network = build(9, 3)
    new = network.add("new", "z1", address="n4:1")
    new.machine.set_known_vms([KnownVm("n0:1")], network.now)
    network.run_until(lambda: agreed(network), 5)
    assert "n4" not in names(network)


def test_addresses_that_the_platform_no_longer_lists_are_not_dialled() -> None:
    """VMs are replaced for days; only the newest list's addresses are kept."""
    network = build(2, 1)
    machine = network.nodes["n0:1"].machine
    for number in range(2000):
        machine.set_known_vms([KnownVm(f"old{number}:1")], network.now)
    machine.set_known_vms([KnownVm("new:1"), KnownVm("n0:1")], network.now)
    assert machine.reachability.addresses == {"new:1"}


def test_restarted_node_counts_as_newer_than_its_previous_process() -> None:
    network = build(9, 3)
    place = network.nodes["n4:1"].machine.place
    again = network.add("n4", place.zone, address="n4:1", version=0)
    again.machine.set_known_vms([KnownVm("n0:1")], network.now)
    network.run_until(lambda: agreed(network), 8)


def test_all_nodes_replaced_one_after_another_keep_the_configuration() -> None:
    """No VM has a disk: the newest configuration must outlive every one of them."""
    network = build(9, 3)
    set_config(network, network.live()[0], 7)
    network.run(1)
    for number in range(9):
        place = network.nodes[f"n{number}:1"].machine.place
        network.call_machine(f"n{number}:1", lambda m: m.leave(network.now))
        network.run(0.2)
        network.kill(f"n{number}:1")
        new = network.add(f"new{number}", place.zone, version=0)
        known = [KnownVm(fake.machine.place.address) for fake in network.live()]
        new.machine.set_known_vms(known, network.now)
        network.run_until(lambda: agreed(network), 8)
    assert {fake.config.version for fake in network.live()} == {7}


def blocked_link() -> tuple[PeerMachine, FakeNetwork]:
    """Return a node with one link, whose peer has stopped reading."""
    network = build(2, 1)
    machine = network.nodes["n0:1"].machine
    machine.by_node["n1"].sending_since = network.now
    return machine, network


def test_slow_peer_costs_bounded_memory_and_gets_the_newest() -> None:
    machine, network = blocked_link()
    link = machine.by_node["n1"]
    for number in range(10_000):
        key = f"backend-{number % 7}"
        machine.publish_record(Topic.LEAVING_BACKEND, key, True, 60, network.now)
    assert len(link.urgent) == 7
    assert not machine.pop_outputs()
    machine.sent(link.link_id, network.now)
    (output,) = machine.pop_outputs()
    assert isinstance(output, Send)
    held = machine.records.held[Topic.LEAVING_BACKEND]
    sent = {record.key: record.version for record in output.frame.records}
    assert sent == {key: held[key].record.version for key in held}


def test_peer_that_never_reads_again_loses_its_link() -> None:
    machine, network = blocked_link()
    machine.links[machine.by_node["n1"].link_id].received_at = network.now + 60
    machine.ticked_at = network.now + 9
    machine.tick(network.now + 9)
    assert any(isinstance(output, HangUp) for output in machine.pop_outputs())


def test_withdrawn_keys_are_sent_first() -> None:
    machine, network = blocked_link()
    link = machine.by_node["n1"]
    for number in range(2000):
        machine.publish_record(Topic.QUARANTINE, f"f{number}", {}, 60, network.now)
    machine.publish_record(Topic.WITHDRAWN_KEY, "hash", None, 60, network.now, 2)
    machine.sent(link.link_id, network.now)
    (output,) = machine.pop_outputs()
    assert isinstance(output, Send)
    assert output.frame.records[0].topic is Topic.WITHDRAWN_KEY


def test_records_are_bounded_in_number_and_in_time() -> None:
    network = build(9, 3)
    fake = network.live()[0]
    for number in range(3000):
        publish(network, fake, Topic.LEAVING_BACKEND, f"backend-{number}")
    network.run(5)
    held = [len(f.machine.records.held[Topic.LEAVING_BACKEND]) for f in network.live()]
    assert set(held) == {2048}
    network.run(600)
    held = [len(f.machine.records.held[Topic.LEAVING_BACKEND]) for f in network.live()]
    assert set(held) == {0}
    assert {fake.machine.records.digest for fake in network.live()} == {0}


def test_load_is_spread_within_its_zone_only() -> None:
    network = build(50, 5)
    for fake in network.live():
        network.call_machine(
            fake.machine.place.address,
            lambda m: m.publish_record(
                Topic.LOAD, m.node, ((1, 2, 3, 4, 5),), 30, network.now
            ),
        )
    network.run(5)
    for fake in network.live():
        zone = set(fake.machine.zone_nodes())
        assert set(fake.machine.records.held[Topic.LOAD]) == zone


def test_suspect_is_listed_until_it_is_declared_dead() -> None:
    network = build(9, 3)
    network.kill("n4:1")
    network.run(2)
    states = {f.machine.table.members["n4"].state for f in network.live()}
    assert states == {MemberState.SUSPECT}
