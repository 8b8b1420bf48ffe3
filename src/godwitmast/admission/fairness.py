"""Fair queueing of teams inside one class, by tokens and weight.

The load is one team that sends most of the requests, or much longer ones. In arrival
order its backlog is everyone's wait; in turn by request, the team with the longest
answers still takes most of the tokens. Here the team that has been served the fewest
tokens for its weight goes next.

This is start-time fair queueing (Goyal, Vin and Cheng, 1996) with the virtual token
counter's way of charging (Sheng et al., "Fairness in Serving Large Language Models",
2024): a team's counter is charged an estimate when its request starts, and settled as
tokens come. A team that comes back from being idle starts at the virtual time of now,
so that it can neither save up a claim for a burst, nor is held to old debts that the
others have caught up with.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from godwitmast.dispatch.messages import RequestSpec
from godwitmast.types import RequestId, TeamName

PROMPT_WEIGHT = 0.5
"""What a prompt token costs beside a token written: the 1:2 of the virtual token
counter, there taken from what providers charge."""

MAX_LEAD_TOKENS = 100_000.0
"""How far service by other entries may put a team behind the others here: about a
minute of a busy backend server. Without a bound, a team that moved from one entry to
another would wait there until the other teams had used as much."""


@dataclass(slots=True)
class TeamQueue:
    """What one team has waiting in a class, and what it has been served."""

    team: TeamName
    weight: float
    counter: float = 0.0
    waiting: OrderedDict[RequestId, RequestSpec] = field(default_factory=OrderedDict)
    returns_at: float = 0.0

    @property
    def backlog(self) -> float:
        return len(self.waiting) / self.weight


class FairQueue:
    """Waiting requests of one class, in the order of fair shares.

    Each operation costs the logarithm of the teams that have work waiting.
    """

    def __init__(self) -> None:
        self.teams: dict[TeamName, TeamQueue] = {}
        self.order: SortedList = SortedList()
        self.backlogs: SortedList = SortedList()
        self.size = 0
        self.active_weight = 0.0
        self.virtual_time = 0.0

    def team(self, name: TeamName, weight: float) -> TeamQueue:
        """Return the team's queue, with its weight of now if it has none waiting.

        A new weight waits until the team's queue is empty: the sorted orders hold
        keys that were made with the old one.
        """
        item = self.teams.get(name)
        if item is None:
            item = TeamQueue(name, weight)
            self.teams[name] = item
        elif not item.waiting:
            item.weight = weight
        return item

    def add(self, request: RequestSpec, weight: float) -> None:
        """Queue a request behind its team's others."""
        item = self.team(request.team, weight)
        if item.waiting:
            self.backlogs.remove((item.backlog, item.team))
        else:
            item.counter = max(item.counter, self.virtual_time)
            self.order.add((item.counter, item.team))
            self.active_weight += item.weight
        item.waiting[request.request_id] = request
        self.backlogs.add((item.backlog, item.team))
        self.size += 1

    def peek(self) -> RequestSpec:
        """Return the oldest request of the team that was served least."""
        team = self.teams[self.order[0][1]]
        return next(iter(team.waiting.values()))

    def advance(self) -> None:
        """Move the virtual time to the team whose turn it is."""
        self.virtual_time = max(self.virtual_time, self.order[0][0])

    def remove(self, request: RequestSpec) -> None:
        """Forget a request that waits."""
        item = self.teams[request.team]
        self.backlogs.remove((item.backlog, item.team))
        del item.waiting[request.request_id]
        self.size -= 1
        if item.waiting:
            self.backlogs.add((item.backlog, item.team))
            return
        self.order.remove((item.counter, item.team))
        self.active_weight = self.active_weight - item.weight if self.size else 0.0

    def charge(self, name: TeamName, tokens: float) -> None:
        """Count tokens for a team; less than none gives some back."""
        item = self.teams[name]
        if item.waiting:
            self.order.remove((item.counter, name))
        item.counter += tokens / item.weight
        if item.waiting:
            self.order.add((item.counter, name))

    def charge_elsewhere(self, name: TeamName, tokens: float, weight: float) -> None:
        """Count tokens that another entry served, up to a bound."""
        item = self.team(name, weight)
        lead = self.virtual_time + MAX_LEAD_TOKENS / item.weight - item.counter
        self.charge(name, min(tokens, max(0.0, lead * item.weight)))

    def requests_before(self, name: TeamName, weight: float) -> float:
        """Return about how many go before a new request of the team.

        While the team's backlog goes by, each other team gets its share of the turns.
        """
        item = self.teams.get(name)
        mine = len(item.waiting) if item else 0
        others = self.active_weight - (weight if mine else 0.0)
        return min(float(self.size), mine + (mine + 1) * max(0.0, others) / weight)

    def furthest_over(self) -> TeamQueue:
        """Return the team with the longest queue for its weight."""
        return self.teams[self.backlogs[-1][1]]
