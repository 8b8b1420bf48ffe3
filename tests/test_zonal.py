"""Planner of the desired number of servers of each kind in a zone."""

from collections import Counter

from godwitmast.capacity.messages import OrderOutcome, ServerKind
from godwitmast.capacity.zonal import (
    DEMAND_WINDOW_S,
    OBSERVATION_S,
    OPEN_REQUESTS_PER_SERVER,
    REFUSAL_BACKOFF_S,
    DesiredServers,
    ListedServer,
    ZonalLimits,
    ZonalPlanner,
)
from godwitmast.types import PoolName, ZoneName

A, B, C = (ZoneName(name) for name in "abc")
LIMITS = ZonalLimits(
    min_per_zone=1,
    max_per_zone=6,
    start_s=4.0,
    cheap_price=0.22,
    zone_prices={A: 1.0, B: 0.8, C: 1.25},
)
ROUND_S = 0.5


class FakePlatform:
    """A platform that starts servers after a delay, and reclaims cheap ones."""

    def __init__(self, each: int = 2) -> None:
        self.planner = ZonalPlanner(PoolName("lm"), LIMITS)
        self.counts: Counter[tuple[ZoneName, ServerKind]] = Counter(
            {(zone, "on_demand"): each for zone in (A, B, C)}
        )
        self.starting: list[tuple[float, ZoneName, ServerKind, int]] = []
        self.without_cheap: set[ZoneName] = set()
        self.now = 0.0
        self.closed: set[ZoneName] = set()
        self.sent: list[DesiredServers] = []
        self.most_at_once = 0

    @property
    def total(self) -> int:
        return self.counts.total()

    def reclaim(self, zone: ZoneName) -> None:
        """Remove the cheap servers of a zone; none are available there afterwards."""
        self.without_cheap.add(zone)
        self.counts[zone, "cheap"] = 0

    def play(self, seconds: float, open_requests: float | None) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += ROUND_S
            for item in [item for item in self.starting if item[0] <= self.now]:
                self.starting.remove(item)
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
            outcome = self.apply_order(item)
            self.planner.record_outcome(item, outcome, self.now)

    def apply_order(self, item: DesiredServers) -> OrderOutcome:
        place = (item.zone, item.kind)
        if item.number > self.counts[place]:
            if item.kind == "cheap" and item.zone in self.without_cheap:
                return OrderOutcome.UNAVAILABLE
            ready = self.now + LIMITS.start_s
            self.starting.append((ready, item.zone, item.kind, item.number))
        else:
            self.counts[place] = item.number
        return OrderOutcome.DONE


def test_headroom_is_ordered_as_cheap_servers_before_the_first_burst() -> None:
    """Guards against bursts of nine seconds, half of which pass before a server starts.

    Six on-demand servers are found. Headroom for as many again is ordered before any
    request arrives, and the whole fleet costs less than those six.
    """
    platform = FakePlatform()
    platform.play(20, open_requests=0)
    assert platform.counts == {
        (A, "on_demand"): 1,
        (B, "on_demand"): 1,
        (C, "on_demand"): 1,
        (A, "cheap"): 3,
        (B, "cheap"): 3,
        (C, "cheap"): 3,
    }


def test_server_on_demand_stays_until_the_cheap_ones_serve() -> None:
    """A zone that has no cheap servers keeps both of its on-demand servers."""
    platform = FakePlatform()
    platform.without_cheap = {A}
    platform.play(20, open_requests=0)
    assert platform.counts[A, "on_demand"] == 2
    assert platform.counts[B, "on_demand"] == 1


def test_reclaimed_zone_is_asked_seldom_while_it_has_no_servers_and_is_refilled_after() -> (
    None
):
    """All cheap servers of a zone are reclaimed in a burst.

    For ten seconds none is available there.
    """
    platform = FakePlatform()
    platform.play(20, open_requests=45)
    platform.reclaim(B)
    platform.sent.clear()
    platform.play(10, open_requests=45)
    assert platform.counts[B, "on_demand"] >= 1
    assert 1 <= len(platform.sent) <= 10 / REFUSAL_BACKOFF_S + 1
    platform.without_cheap.clear()
    platform.play(REFUSAL_BACKOFF_S + LIMITS.start_s + 1, open_requests=45)
    assert platform.counts[B, "cheap"] == 3


def test_fleet_grows_with_open_requests_up_to_the_limits() -> None:
    platform = FakePlatform(each=1)
    platform.play(20, open_requests=0)
    assert platform.total == 6
    platform.play(10, open_requests=9 * OPEN_REQUESTS_PER_SERVER)
    assert platform.total == 9
    platform.play(10, open_requests=1000)
    assert platform.total == 18
    assert platform.most_at_once <= LIMITS.max_per_zone


def test_fleet_shrinks_only_after_the_demand_was_low_for_long() -> None:
    """Bursts ten seconds apart are served by the same servers."""
    platform = FakePlatform(each=1)
    for _ in range(4):
        platform.play(9, open_requests=9 * OPEN_REQUESTS_PER_SERVER)
        platform.play(DEMAND_WINDOW_S / 3, open_requests=5)
        assert platform.total == 9
    platform.play(DEMAND_WINDOW_S + 5, open_requests=5)
    assert platform.total == 3


def test_small_changes_of_the_demand_order_nothing() -> None:
    platform = FakePlatform()
    platform.play(40, open_requests=45)
    platform.sent.clear()
    for swing in (43, 38, 45, 36, 44):
        platform.play(DEMAND_WINDOW_S / 2, open_requests=swing)
    assert platform.sent == []


def test_lost_order_is_sent_again() -> None:
    """The platform accepts an order but loses it: the list never shows the server."""
    platform = FakePlatform()
    platform.play(OBSERVATION_S + 2 * ROUND_S, open_requests=0)
    assert platform.starting
    platform.starting.clear()
    platform.sent.clear()
    platform.play(6, open_requests=0)
    assert platform.sent == []
    platform.play(10, open_requests=0)
    assert platform.counts[A, "cheap"] == 3


def test_successor_keeps_the_fleet_that_it_finds() -> None:
    """If each new holder added headroom again, each takeover would double the fleet."""
    platform = FakePlatform()
    platform.play(20, open_requests=45)
    platform.planner = ZonalPlanner(PoolName("lm"), LIMITS)
    platform.sent.clear()
    platform.play(10, open_requests=None)
    assert platform.sent == []
    assert platform.total == 12


def test_servers_that_are_not_cheaper_are_not_ordered() -> None:
    platform = FakePlatform()
    platform.planner.limits = LIMITS._replace(cheap_price=1.0)
    platform.play(20, open_requests=0)
    assert platform.total == 12
    assert not any(
        number for (_, kind), number in platform.counts.items() if kind == "cheap"
    )


def test_empty_list_orders_nothing() -> None:
    """After an outage of the store the list is empty for a moment.

    If that counted as the fleet, it would be reduced to the minimum of the limits.
    """
    planner = ZonalPlanner(PoolName("lm"), LIMITS)
    assert planner.step([], 40.0, 0.0) == []
    assert planner.planned_total == 0


def test_list_that_fills_slowly_removes_no_server() -> None:
    """The new holder's first list has two of six servers; the others appear in seconds.

    A plan for two would remove the others, and the first callers would queue.
    """
    platform = FakePlatform(each=0)
    platform.counts[A, "on_demand"] = 2
    platform.play(1.5, open_requests=0)
    platform.counts[B, "on_demand"] = 2
    platform.play(1, open_requests=0)
    platform.counts[C, "on_demand"] = 2
    platform.play(15, open_requests=0)
    assert platform.total == 12
    assert not [w for w in platform.sent if w.kind == "on_demand" and w.number < 1]


def test_zone_with_a_price_and_no_server_of_the_pool_is_not_ordered_in() -> None:
    """The prices include every zone of the platform, but the pool runs in two."""
    platform = FakePlatform()
    del platform.counts[C, "on_demand"]
    platform.play(20, open_requests=0)
    assert not any(item.zone == C for item in platform.sent)
    assert platform.total == 8


def test_successor_that_finds_half_a_fleet_in_a_burst_removes_nothing() -> None:
    """The holder is killed during a burst, while servers crash and a zone is reclaimed.

    Its successor finds six of twelve servers. If those were the plan, small changes of
    the demand would not correct it, and cheap servers that are starting would be
    removed.
    """
    platform = FakePlatform()
    platform.play(20, open_requests=50)
    platform.counts[A, "cheap"] = platform.counts[B, "cheap"] = 0
    platform.planner = ZonalPlanner(PoolName("lm"), LIMITS)
    platform.sent.clear()
    platform.play(OBSERVATION_S + LIMITS.start_s + 4, open_requests=40)
    assert platform.total >= 8
    assert not [w for w in platform.sent if w.zone == C]


def test_successor_plans_at_once_for_the_demand_that_it_finds() -> None:
    """Demand rises by a sixth, which is too small a step for the previous holder.

    The successor has no earlier plan to compare with. It orders what is missing and
    removes nothing.
    """
    platform = FakePlatform()
    platform.play(20, open_requests=45)
    assert platform.total == 12
    before = platform.counts.copy()
    platform.planner = ZonalPlanner(PoolName("lm"), LIMITS)
    platform.play(
        OBSERVATION_S + LIMITS.start_s + 4, open_requests=14 * OPEN_REQUESTS_PER_SERVER
    )
    assert platform.total == 14
    assert all(platform.counts[place] >= number for place, number in before.items())


def test_other_zones_take_over_from_an_evacuated_one() -> None:
    """Servers of the evacuated zone get no requests, and their number stays."""
    platform = FakePlatform()
    platform.play(20, open_requests=30)
    before = dict(platform.counts)
    platform.closed = {B}
    platform.sent.clear()
    platform.play(10, open_requests=30)
    assert not [item for item in platform.sent if item.zone == B]
    outside = sum(n for (zone, _), n in platform.counts.items() if zone != B)
    assert outside == sum(before.values())


def test_servers_of_a_zone_are_planned_again_after_its_evacuation_ends() -> None:
    platform = FakePlatform()
    platform.play(20, open_requests=60)
    before = dict(platform.counts)
    platform.closed = {B}
    platform.play(10, open_requests=60)
    platform.closed = set()
    platform.play(10, open_requests=60)
    assert platform.counts == before


def test_nothing_is_ordered_while_all_zones_are_evacuated() -> None:
    platform = FakePlatform()
    platform.play(20, open_requests=30)
    platform.closed = {A, B, C}
    platform.sent.clear()
    platform.play(10, open_requests=90)
    assert platform.sent == []


def test_zone_that_a_version_removes_from_the_prices_gets_no_orders() -> None:
    """Guards against a holder of the duty that ends, and the next ones after it, as a
    version takes a zone out of a service's prices."""
    platform = FakePlatform()
    platform.play(OBSERVATION_S + 2 * ROUND_S, 10.0)
    for prices in ({A: 1.0, C: 1.25}, {}):
        platform.planner.limits = LIMITS._replace(zone_prices=prices)
        platform.sent.clear()
        platform.play(DEMAND_WINDOW_S, 300.0)
        assert {wanted.zone for wanted in platform.sent} <= prices.keys()
