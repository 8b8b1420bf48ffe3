"""Fair queueing of the teams of one class, by tokens and weight.

It protects the other teams when one team sends most of the requests, or much longer
ones. In arrival order that team's backlog delays everyone; in round robin by request,
the team with the longest answers still takes most of the tokens. Here the team with the
fewest tokens served per weight goes next.

This is start-time fair queueing (Goyal, Vin and Cheng, 1996), charged like the virtual
token counter (Sheng et al., "Fairness in Serving Large Language Models", 2024): a
team's counter is charged an estimate when its request starts, and corrected as tokens
are written. A team that was idle resumes at the current virtual time. It cannot
accumulate credit for a burst while idle, and is not charged for a lead that the other
teams have caught up with.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from godwitmast.dispatch.messages import RequestSpec
from godwitmast.types import RequestId, TeamName

PROMPT_WEIGHT = 0.5
"""Cost of a prompt token relative to an output token: the 1:2 of the virtual token
counter, which follows the prices of providers."""

MAX_LEAD_TOKENS = 100_000.0
"""How far service by other entries may put a team's counter ahead of the virtual time:
about a minute of a busy backend server. Without a bound, a team that moved from one
entry to another would wait there until the other teams had used as many tokens."""


@dataclass(slots=True)
class TeamQueue:
    """A team's waiting requests in one class, and its tokens served per weight."""

    team: TeamName
    weight: float
    counter: float = 0.0
    waiting: OrderedDict[RequestId, RequestSpec] = field(default_factory=OrderedDict)
    next_retry_at: float = 0.0

    @property
    def backlog(self) -> float:
        return len(self.waiting) / self.weight


class FairQueue:
    """Waiting requests of one class, in the order of fair shares.

    `backlogs` sorts the teams that wait by their waiting requests per weight; `size`
    counts the waiting requests. Each operation is logarithmic in the number of teams
    that have requests waiting.
    """

    def __init__(self) -> None:
        self.teams: dict[TeamName, TeamQueue] = {}
        self.by_counter: SortedList = SortedList()
        self.backlogs: SortedList = SortedList()
        self.size = 0
        self.active_weight = 0.0
        self.virtual_time = 0.0

    def team(self, name: TeamName, weight: float) -> TeamQueue:
        """Return the team's queue, which is created or given the new weight if needed.

        While requests wait, the weight stays, because the sorted lists hold keys
        computed with it; a new weight applies once the team has no request waiting.
        """
        team_queue = self.teams.get(name)
        if team_queue is None:
            team_queue = TeamQueue(name, weight)
            self.teams[name] = team_queue
        elif not team_queue.waiting:
            team_queue.weight = weight
        return team_queue

    def add(self, request: RequestSpec, weight: float, first: bool = False) -> None:
        """Queue a request behind the other requests of its team, or before them."""
        team_queue = self.team(request.team, weight)
        if team_queue.waiting:
            self.backlogs.remove((team_queue.backlog, team_queue.team))
        else:
            team_queue.counter = max(team_queue.counter, self.virtual_time)
            self.by_counter.add((team_queue.counter, team_queue.team))
            self.active_weight += team_queue.weight
        team_queue.waiting[request.request_id] = request
        if first:
            team_queue.waiting.move_to_end(request.request_id, last=False)
        self.backlogs.add((team_queue.backlog, team_queue.team))
        self.size += 1

    def move_to_end(self, request: RequestSpec) -> None:
        """Move a waiting request behind the others of its team."""
        self.teams[request.team].waiting.move_to_end(request.request_id)

    def peek(self) -> RequestSpec:
        """Return the oldest request of the team with the lowest counter."""
        team_queue = self.teams[self.by_counter[0][1]]
        return next(iter(team_queue.waiting.values()))

    def heads(self) -> Iterator[RequestSpec]:
        """Return the oldest request of each team, the lowest counter first."""
        for _, name in self.by_counter:
            yield next(iter(self.teams[name].waiting.values()))

    def advance_virtual_time(self) -> None:
        """Raise the virtual time to the lowest counter of the teams that wait."""
        self.virtual_time = max(self.virtual_time, self.by_counter[0][0])

    def remove(self, request: RequestSpec) -> None:
        """Remove a waiting request."""
        team_queue = self.teams[request.team]
        self.backlogs.remove((team_queue.backlog, team_queue.team))
        del team_queue.waiting[request.request_id]
        self.size -= 1
        if team_queue.waiting:
            self.backlogs.add((team_queue.backlog, team_queue.team))
            return
        self.by_counter.remove((team_queue.counter, team_queue.team))
        self.active_weight = (
            self.active_weight - team_queue.weight if self.size else 0.0
        )

    def charge(self, name: TeamName, tokens: float) -> None:
        """Charge tokens to a team; a negative number is a refund."""
        team_queue = self.teams[name]
        if team_queue.waiting:
            self.by_counter.remove((team_queue.counter, name))
        team_queue.counter += tokens / team_queue.weight
        if team_queue.waiting:
            self.by_counter.add((team_queue.counter, name))

    def charge_remote(self, name: TeamName, tokens: float, weight: float) -> None:
        """Charge tokens that another entry served, up to MAX_LEAD_TOKENS ahead."""
        team_queue = self.team(name, weight)
        lead = (
            self.virtual_time + MAX_LEAD_TOKENS / team_queue.weight - team_queue.counter
        )
        self.charge(name, min(tokens, max(0.0, lead * team_queue.weight)))

    def estimate_requests_ahead(self, name: TeamName, weight: float) -> float:
        """Return about how many requests start before a new request of the team.

        While the team's own backlog is served, each other team gets its share of the
        turns.
        """
        team_queue = self.teams.get(name)
        mine = len(team_queue.waiting) if team_queue else 0
        others = self.active_weight - (weight if mine else 0.0)
        return min(float(self.size), mine + (mine + 1) * max(0.0, others) / weight)

    def find_longest_backlog(self) -> TeamQueue:
        """Return the team with the most waiting requests per weight."""
        return self.teams[self.backlogs[-1][1]]
