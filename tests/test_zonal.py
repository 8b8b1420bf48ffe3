"""The number of servers of each kind that a zone is to have."""

from collections import Counter

from godwitmast.capacity.messages import OrderOutcome, ServerKind
from godwitmast.capacity.zonal import (
    DEMAND_WINDOW_S,
    OBSERVATION_S,
    OPEN_REQUESTS_PER_SERVER,
    REFUSAL_BACKOFF_S,
    ListedServer,
    Wanted,
    ZonalLimits,
    ZonalPlanner,
)
from godwitmast.types import PoolName, ZoneName

A, B, C = (ZoneName(name) for name in "abc")
LIMITS = ZonalLimits(
    least=1,
    most=6,
    start_s=4.0,
    cheap_price=0.22,
    zone_prices={A: 1.0, B: 0.8, C: 1.25},
)
ROUND_S = 0.5


class Market:
    """A platform that starts servers after a while, and takes cheap ones away."""

    def __init__(self, each: int = 2) -> None:
        self.planner = ZonalPlanner(PoolName("lm"), LIMITS)
        self.counts: Counter[tuple[ZoneName, ServerKind]] = Counter(
            {(zone, "on_demand"): each for zone in (A, B, C)}
        )
        self.coming: list[tuple[float, ZoneName, ServerKind, int]] = []
        self.dry: set[ZoneName] = set()
        self.now = 0.0
        self.closed: set[ZoneName] = set()
        self.sent: list[Wanted] = []
        self.most_at_once = 0

    @property
    def total(self) -> int:
        return self.counts.total()

    def reclaim(self, zone: ZoneName) -> None:
        """Take the cheap servers of a zone away, with none to be had after."""
        self.dry.add(zone)
        self.counts[zone, "cheap"] = 0

    def play(self, seconds: float, open_requests: float | None) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += ROUND_S
            for item in [item for item in self.coming if item[0] <= self.now]:
                self.coming.remove(item)
                self.counts[item[1], item[2]] = item[3]
            for zone in (A, B, C):
                kinds = self.counts[zone, "on_demand"] + self.counts[zone, "cheap"]
                self.most_at_once = max(self.most_at_once, kinds)
            self.round(open_requests)

    def round(self, open_requests: float | None) -> None:
        servers = [
            ListedServer(zone, kind, leaving=False)
            for (zone, kind), number in self.counts.items()
            for _ in range(number)
        ]
        for item in self.planner.step(servers, open_requests, self.now, self.closed):
            self.sent.append(item)
            outcome = self.take(item)
            self.planner.record_outcome(item, outcome, self.now)

    def take(self, item: Wanted) -> OrderOutcome:
        place = (item.zone, item.kind)
        if item.number > self.counts[place]:
            if item.kind == "cheap" and item.zone in self.dry:
                return OrderOutcome.UNAVAILABLE
            ready = self.now + LIMITS.start_s
            self.coming.append((ready, item.zone, item.kind, item.number))
        else:
            self.counts[place] = item.number
        return OrderOutcome.DONE


def test_room_stands_ready_as_cheap_servers_before_the_first_burst() -> None:
    """A burst of nine seconds, which a server that starts in four misses the half of.

    Six servers on demand were found. Room for as many again is there before any request
    comes, at a lower price than the six.
    """
    market = Market()
    market.play(20, open_requests=0)
    assert market.counts == {
        (A, "on_demand"): 1,
        (B, "on_demand"): 1,
        (C, "on_demand"): 1,
        (A, "cheap"): 3,
        (B, "cheap"): 3,
        (C, "cheap"): 3,
    }


def test_server_on_demand_stays_until_the_cheap_ones_serve() -> None:
    """A zone without cheap servers to be had keeps both of its servers on demand."""
    market = Market()
    market.dry = {A}
    market.play(20, open_requests=0)
    assert market.counts[A, "on_demand"] == 2
    assert market.counts[B, "on_demand"] == 1


def test_reclaimed_zone_is_asked_seldom_while_it_is_dry_and_filled_again_after() -> (
    None
):
    """Every cheap server of a zone goes in a burst, and for ten seconds none comes."""
    market = Market()
    market.play(20, open_requests=45)
    market.reclaim(B)
    market.sent.clear()
    market.play(10, open_requests=45)
    assert market.counts[B, "on_demand"] >= 1
    assert 1 <= len(market.sent) <= 10 / REFUSAL_BACKOFF_S + 1
    market.dry.clear()
    market.play(REFUSAL_BACKOFF_S + LIMITS.start_s + 1, open_requests=45)
    assert market.counts[B, "cheap"] == 3


def test_fleet_grows_with_open_requests_up_to_the_limits() -> None:
    market = Market(each=1)
    market.play(20, open_requests=0)
    assert market.total == 6
    market.play(10, open_requests=9 * OPEN_REQUESTS_PER_SERVER)
    assert market.total == 9
    market.play(10, open_requests=1000)
    assert market.total == 18
    assert market.most_at_once <= LIMITS.most


def test_fleet_shrinks_only_after_the_demand_was_low_for_long() -> None:
    """Bursts ten seconds apart are served by the same servers."""
    market = Market(each=1)
    for _ in range(4):
        market.play(9, open_requests=9 * OPEN_REQUESTS_PER_SERVER)
        market.play(DEMAND_WINDOW_S / 3, open_requests=5)
        assert market.total == 9
    market.play(DEMAND_WINDOW_S + 5, open_requests=5)
    assert market.total == 3


def test_small_changes_of_the_demand_order_nothing() -> None:
    market = Market()
    market.play(40, open_requests=45)
    market.sent.clear()
    for swing in (43, 38, 45, 36, 44):
        market.play(DEMAND_WINDOW_S / 2, open_requests=swing)
    assert market.sent == []


def test_lost_order_is_sent_again() -> None:
    """An order's answer came, and the platform forgot it: the list never shows it."""
    market = Market()
    market.play(OBSERVATION_S + 2 * ROUND_S, open_requests=0)
    assert market.coming
    market.coming.clear()
    market.sent.clear()
    market.play(6, open_requests=0)
    assert market.sent == []
    market.play(10, open_requests=0)
    assert market.counts[A, "cheap"] == 3


def test_successor_leaves_the_fleet_that_it_finds() -> None:
    """Each takeover would double the fleet, were the room added anew."""
    market = Market()
    market.play(20, open_requests=45)
    market.planner = ZonalPlanner(PoolName("lm"), LIMITS)
    market.sent.clear()
    market.play(10, open_requests=None)
    assert market.sent == []
    assert market.total == 12


def test_servers_that_are_not_cheaper_are_not_ordered() -> None:
    market = Market()
    market.planner.limits = LIMITS._replace(cheap_price=1.0)
    market.play(20, open_requests=0)
    assert market.total == 12
    assert not any(
        number for (_, kind), number in market.counts.items() if kind == "cheap"
    )


def test_empty_list_orders_nothing() -> None:
    """After an outage of the store its list is empty for a moment. Taken for the fleet,
    it would shrink to the least that the limits allow.
    """
    planner = ZonalPlanner(PoolName("lm"), LIMITS)
    assert planner.step([], 40.0, 0.0) == []
    assert planner.planned_total == 0


def test_list_that_fills_slowly_gives_no_server_back() -> None:
    """The holder's first list has two of the six servers, the others come in seconds.

    A plan for two gave the others back, and the first callers queued at what was left.
    """
    market = Market(each=0)
    market.counts[A, "on_demand"] = 2
    market.play(1.5, open_requests=0)
    market.counts[B, "on_demand"] = 2
    market.play(1, open_requests=0)
    market.counts[C, "on_demand"] = 2
    market.play(15, open_requests=0)
    assert market.total == 12
    assert not [w for w in market.sent if w.kind == "on_demand" and w.number < 1]


def test_zone_with_a_price_and_no_server_of_the_pool_is_not_ordered_in() -> None:
    """The prices name every zone of the platform, the pool runs in two of them."""
    market = Market()
    del market.counts[C, "on_demand"]
    market.play(20, open_requests=0)
    assert not any(item.zone == C for item in market.sent)
    assert market.total == 8


def test_successor_that_finds_half_a_fleet_in_a_burst_gives_nothing_back() -> None:
    """The holder is killed in a burst, as servers crash and a zone is reclaimed.

    Its successor finds six of twelve servers. Were those the plan, small steps of the
    demand would not change it, and cheap servers that are coming would be given back.
    """
    market = Market()
    market.play(20, open_requests=50)
    market.counts[A, "cheap"] = market.counts[B, "cheap"] = 0
    market.planner = ZonalPlanner(PoolName("lm"), LIMITS)
    market.sent.clear()
    market.play(OBSERVATION_S + LIMITS.start_s + 4, open_requests=40)
    assert market.total >= 8
    assert not [w for w in market.sent if w.zone == C]


def test_successor_plans_at_once_for_the_demand_that_it_finds() -> None:
    """A rise of a sixth, which the holder before let pass as too small a step.

    The new one's first plan is no step, and knows no other. It orders what is missing,
    and gives nothing back.
    """
    market = Market()
    market.play(20, open_requests=45)
    assert market.total == 12
    before = market.counts.copy()
    market.planner = ZonalPlanner(PoolName("lm"), LIMITS)
    market.play(
        OBSERVATION_S + LIMITS.start_s + 4, open_requests=14 * OPEN_REQUESTS_PER_SERVER
    )
    assert market.total == 14
    assert all(market.counts[place] >= number for place, number in before.items())


def test_other_zones_take_over_from_an_evacuated_one() -> None:
    """Its servers serve nobody, and neither more nor fewer of them are ordered there."""
    market = Market()
    market.play(20, open_requests=30)
    before = dict(market.counts)
    market.closed = {B}
    market.sent.clear()
    market.play(10, open_requests=30)
    assert not [item for item in market.sent if item.zone == B]
    outside = sum(n for (zone, _), n in market.counts.items() if zone != B)
    assert outside == sum(before.values())


def test_servers_of_a_zone_that_is_given_back_are_planned_for_again() -> None:
    market = Market()
    market.play(20, open_requests=60)
    before = dict(market.counts)
    market.closed = {B}
    market.play(10, open_requests=60)
    market.closed = set()
    market.play(10, open_requests=60)
    assert market.counts == before


def test_nothing_is_ordered_while_all_zones_are_evacuated() -> None:
    market = Market()
    market.play(20, open_requests=30)
    market.closed = {A, B, C}
    market.sent.clear()
    market.play(10, open_requests=90)
    assert market.sent == []
