"""Which VMs get the requests of a VM that reaches no backend server."""

import random
from collections import Counter

import pytest

from godwitmast.forwarding.peers import (
    CONFIRMED_S,
    MAX_PEERS,
    REFUSED_S,
    STALE_S,
    UNREACHABLE_S,
    Peer,
    PeerChoice,
)
from godwitmast.forwarding.terms import ForwardTerms, split_terms
from godwitmast.types import PoolName

POOL = PoolName("lm")
ZONES = ("z1", "z2", "z3", "z4", "z5")


def peers_of(count: int, unreachable: range = range(0), version: int = 1) -> list[Peer]:
    """Return VMs of five zones in turn, some of which reach no server."""
    return [
        Peer(
            f"vm{number}",
            ZONES[number % len(ZONES)],
            "r1",
            f"10.0.0.{number}:1",
            frozenset([POOL]) if number in unreachable else frozenset(),
            version,
        )
        for number in range(count)
    ]


def choice_of(peers: list[Peer], name: str = "vm0", zone: str = "z1") -> PeerChoice:
    choice = PeerChoice(name, zone, "r1", random.Random(1))
    choice.update(peers, 0.0)
    return choice


def chosen_zones(choice: PeerChoice, now: float = 0.0) -> set[str]:
    found = [choice.choose(POOL, set(), now) for _ in range(100)]
    return {peer.zone for peer in found if peer is not None}


def test_peers_of_the_own_zone_come_first() -> None:
    """Guards against bytes between zones that are paid for without need."""
    assert chosen_zones(choice_of(peers_of(20))) == {"z1"}


def test_few_peers_of_a_zone_do_not_get_all_of_its_requests() -> None:
    """Guards against the last VM of a zone that serves the callers of all others."""
    peers = peers_of(20, unreachable=range(0, 15))
    zones = chosen_zones(choice_of(peers))
    assert len(zones) > 1


def test_this_vm_and_those_of_other_regions_are_not_chosen() -> None:
    peers = [peer._replace(region="r2") for peer in peers_of(10)]
    peers[0] = peers[0]._replace(region="r1")
    assert choice_of(peers).choose(POOL, set(), 0.0) is None


def test_request_is_offered_to_few_peers_each_once() -> None:
    choice = choice_of(peers_of(50))
    tried: set[str] = set()
    while (peer := choice.choose(POOL, tried, 0.0)) is not None:
        assert peer.address not in tried
        tried.add(peer.address)
    assert len(tried) == MAX_PEERS


def test_refusal_sends_the_next_request_to_another_zone() -> None:
    """Guards against a zone whose VMs learn one by one that they are cut off."""
    choice = choice_of(peers_of(20))
    choice.record_refusal("10.0.0.5:1", POOL, 0.0)
    assert "z1" not in chosen_zones(choice)
    assert chosen_zones(choice, REFUSED_S) == {"z1"}


def test_refusal_for_one_pool_leaves_the_others() -> None:
    choice = choice_of(peers_of(2))
    choice.record_refusal("10.0.0.1:1", POOL, 0.0)
    assert choice.choose(POOL, set(), 0.0) is None
    assert choice.choose(PoolName("app"), set(), 0.0) is not None


def test_nothing_is_forwarded_before_a_peer_confirmed() -> None:
    """Guards against requests that are moved about while servers are lost for all."""
    choice = choice_of(peers_of(5))
    assert not choice.is_available(POOL, 0.0)
    choice.record_confirmation("10.0.0.1:1", POOL, 0.0)
    assert choice.is_available(POOL, 0.0)
    assert not choice.is_available(POOL, CONFIRMED_S)
    choice.record_confirmation("10.0.0.1:1", POOL, 0.0)
    choice.record_exhausted(POOL, 0.0)
    assert not choice.is_available(POOL, 0.5 * REFUSED_S)


def test_vm_whose_row_no_longer_changes_is_not_chosen() -> None:
    """Guards against VMs that are gone and whose rows are still there."""
    choice = choice_of(peers_of(2))
    choice.update(peers_of(2), STALE_S)
    assert choice.choose(POOL, set(), STALE_S) is None
    choice.update(peers_of(2, version=2), STALE_S)
    assert choice.choose(POOL, set(), STALE_S) is not None


@pytest.mark.parametrize("killed_first", [True, False])
@pytest.mark.parametrize("reached_before", [True, False])
def test_row_of_a_killed_run_says_nothing_of_the_vm_that_started_again(
    killed_first: bool, reached_before: bool
) -> None:
    """Guards against requests that are refused, or offered in vain, by what a VM reached
    before it was killed, and against a VM that is gone and counts as running."""
    reached, cut_off = range(0), range(2)
    killed = peers_of(2, cut_off if not reached_before else reached, version=1)
    running = peers_of(2, cut_off if reached_before else reached, version=2)
    rows = [*killed, *running] if killed_first else [*running, *killed]
    choice = choice_of(rows)
    assert (choice.choose(POOL, set(), 0.0) is None) is reached_before
    choice.update(rows, STALE_S)
    assert choice.choose(POOL, set(), STALE_S) is None


def test_vm_that_accepts_no_connection_is_the_last_choice_for_a_while() -> None:
    """Guards against time-outs at a VM that is gone, and against having none left."""
    choice = choice_of(peers_of(3))
    choice.record_unreachable("10.0.0.1:1", 0.0)
    assert chosen_zones(choice) == {"z3"}
    assert chosen_zones(choice, UNREACHABLE_S) == {"z2", "z3"}
    choice.record_refusal("10.0.0.2:1", POOL, 0.0)
    assert chosen_zones(choice) == {"z2"}


@pytest.mark.parametrize("vms", [10, 300])
def test_requests_of_a_zone_spread_over_the_vms_of_the_others(vms: int) -> None:
    """Guards against a few VMs that get the callers of a whole zone."""
    cut = range(0, vms, len(ZONES))
    peers = [
        peer._replace(unreachable_pools=frozenset([POOL])) if number in cut else peer
        for number, peer in enumerate(peers_of(vms))
    ]
    received: Counter[str] = Counter()
    for number in cut:
        choice = PeerChoice(f"vm{number}", "z1", "r1", random.Random(number))
        choice.update(peers, 0.0)
        for _ in range(200):
            peer = choice.choose(POOL, set(), 0.0)
            assert peer is not None
            received[peer.address] += 1
    mean = 200 * len(cut) / (vms - len(cut))
    assert set(received) == {p.address for p in peers if not p.unreachable_pools}
    assert max(received.values()) <= 1.6 * mean


@pytest.mark.parametrize(
    "terms",
    [
        ForwardTerms(7, PoolName("lm")),
        ForwardTerms(7, PoolName("añ b"), 2, metered=True),
        ForwardTerms(0, PoolName("x"), 0, is_question=True),
    ],
)
def test_terms_arrive_as_they_were_sent(terms: ForwardTerms) -> None:
    headers = [("host", "a"), ("Godwit-Forward-Metered".lower(), "forged")]
    sent = [(n.encode(), v.encode()) for n, v in terms.add_to(headers)]
    assert split_terms(sent) == (terms, [(b"host", b"a")])


@pytest.mark.parametrize(
    "change",
    [
        {b"godwit-forward-config": b"x"},
        {b"godwit-forward-config": b""},
        {b"godwit-forward-attempts": b"-1"},
        {b"godwit-forward-pool": b"***"},
        {b"godwit-forward-pool": b""},
    ],
)
def test_malformed_terms_are_no_terms(change: dict[bytes, bytes]) -> None:
    """Guards against requests that are served on terms that were not understood."""
    sent = {n.encode(): v.encode() for n, v in ForwardTerms(1, POOL, 2).encode()}
    terms, _ = split_terms(list({**sent, **change}.items()))
    assert terms is None
