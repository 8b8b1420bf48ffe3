"""Score of a simulated scenario: its requests, and the measures taken over them."""

import statistics
from dataclasses import dataclass, field

from godwitmast.config.document import RequestClass
from godwitmast.entry.metrics import Timing, meets_targets
from godwitmast.load.scenario import Check, Scenario

BUCKET_S = 10.0
STARVED_BUCKETS = 6
"""A class with open requests that receives no token for 60 s is starved."""

RECOVERED_SHARE = 0.95
"""Attainment after a burst is low below this share of that before all bursts."""


@dataclass(slots=True)
class LogicalRequest:
    """A caller's request; a resend after a refusal belongs to the same one."""

    number: int
    team: str
    class_name: str
    arrived_at: float
    prompt_tokens: int
    answer_tokens: int
    prefix: str = ""
    prefix_tokens: int = 0
    caller_timeout_s: float = 60.0
    poison: bool = False
    entry: int = 0
    sends: int = 0
    tokens: int = 0
    first_token_at: float | None = None
    last_token_at: float = 0.0
    ended_at: float | None = None
    outcome: str = ""
    met: bool = False


@dataclass
class Score:
    """Requests and counts of one simulation, and the measures computed from them."""

    scenario: Scenario
    requests: list[LogicalRequest] = field(default_factory=list)
    generated_tokens: int = 0
    refusals: dict[str, int] = field(default_factory=dict)
    innocent_refusals: dict[str, int] = field(default_factory=dict)
    poison_crashes: int = 0
    tokens_by_bucket: dict[tuple[str, int], int] = field(default_factory=dict)
    open_by_bucket: dict[tuple[str, int], int] = field(default_factory=dict)
    last_token_at_by_team: dict[str, float] = field(default_factory=dict)
    not_run_but_ran: int = 0
    ended_twice: int = 0

    def record_token(self, request: LogicalRequest, now: float) -> None:
        key = (request.class_name, int(now / BUCKET_S))
        self.tokens_by_bucket[key] = self.tokens_by_bucket.get(key, 0) + 1
        self.last_token_at_by_team[request.team] = now

    def record_end(self, request: LogicalRequest, outcome: str, now: float) -> None:
        """Record a request's outcome; a second one is counted as an error."""
        if request.outcome:
            self.ended_twice += 1
            return
        request.outcome = outcome
        request.ended_at = now
        if outcome == "answered":
            target = self.targets(request.class_name)
            request.met = meets_targets(target, request_timing(request))

    def targets(self, class_name: str) -> RequestClass:
        return RequestClass(**self.scenario.classes[class_name])  # type: ignore[arg-type]

    @property
    def scored_requests(self) -> list[LogicalRequest]:
        """Return the requests that measures are taken over: all but the poison."""
        return [request for request in self.requests if not request.poison]

    def attainment(self, class_name: str = "") -> float:
        """Return the share of requests that met their targets."""
        selected = [n for n in self.scored_requests if class_name in ("", n.class_name)]
        return sum(n.met for n in selected) / len(selected) if selected else 1.0

    @property
    def goodput(self) -> float:
        """Return tokens a second of answers that met their targets."""
        return sum(n.tokens for n in self.requests if n.met) / self.scenario.run_s

    @property
    def wasted(self) -> float:
        """Return the share of generated tokens that belong to no complete answer."""
        if not self.generated_tokens:
            return 0.0
        used = sum(n.tokens for n in self.requests if n.outcome == "answered")
        return 1 - used / self.generated_tokens

    @property
    def late(self) -> float:
        """Return the share of generated tokens in complete answers that were late."""
        late = [n for n in self.requests if n.outcome == "answered" and not n.met]
        return sum(n.tokens for n in late) / max(1, self.generated_tokens)

    @property
    def worst_team(self) -> float:
        """Return the worst team's attainment over the median team's."""
        by_team: dict[str, list[bool]] = {}
        for request in self.scored_requests:
            by_team.setdefault(request.team, []).append(request.met)
        rates = [sum(met) / len(met) for met in by_team.values()]
        median = statistics.median(rates)
        return min(rates) / median if median else 1.0

    @property
    def starved(self) -> int:
        """Return the number of 60 s windows in which a class was starved."""
        buckets = int(self.scenario.run_s / BUCKET_S)
        windows = 0
        for name in self.scenario.classes:
            empty_buckets = 0
            for bucket in range(buckets):
                has_open = self.open_by_bucket.get((name, bucket), 0) > 0
                has_tokens = self.tokens_by_bucket.get((name, bucket), 0) > 0
                empty_buckets = empty_buckets + 1 if has_open and not has_tokens else 0
                windows += empty_buckets >= STARVED_BUCKETS
        return windows

    @property
    def cut(self) -> int:
        """Return the number of requests that failed after their answer had begun."""
        return sum(n.outcome == "failed" and n.tokens > 0 for n in self.scored_requests)

    @property
    def recovery_s(self) -> float | None:
        """Return for how long after the last burst attainment was low.

        None if there is no burst.
        """
        if not self.scenario.phases:
            return None
        first = min(phase.begin_s for phase in self.scenario.phases)
        last = max(phase.end_s for phase in self.scenario.phases)
        before_bursts = self.attainment_between(0, first)
        low_until = last
        start = last
        while start < self.scenario.run_s:
            rate = self.attainment_between(start, start + BUCKET_S)
            if rate < RECOVERED_SHARE * before_bursts:
                low_until = start + BUCKET_S
            start += BUCKET_S
        return low_until - last

    def attainment_between(self, begin: float, end: float) -> float:
        selected = [n.met for n in self.scored_requests if begin <= n.arrived_at < end]
        return sum(selected) / len(selected) if selected else 1.0

    def measure(self, check: Check) -> float:
        """Return the value that a check bounds."""
        match check.measure:
            case "attainment":
                return self.attainment(check.name)
            case "innocent_refused":
                return self.innocent_refusals.get(check.name, 0)
            case "token_after_withdrawal":
                return self.token_after_withdrawal(check.name)
            case name:
                return float(getattr(self, name))

    def token_after_withdrawal(self, team: str) -> float:
        fault_times = [
            f.at_s for f in self.scenario.faults if getattr(f, "team", "") == team
        ]
        return max(0.0, self.last_token_at_by_team.get(team, 0.0) - max(fault_times))

    def failures(self) -> list[str]:
        """Return the checks of the scenario that fail, with their values."""
        problems = []
        for check in self.scenario.checks:
            value = self.measure(check)
            low = check.at_least is not None and value < check.at_least
            high = check.at_most is not None and value > check.at_most
            if low or high:
                problems.append(f"{check.text}, but it is {value:.4g}")
        if self.ended_twice or self.not_run_but_ran:
            problems.append(
                f"ended_twice={self.ended_twice} not_run_but_ran={self.not_run_but_ran}"
            )
        return problems


def request_timing(request: LogicalRequest) -> Timing:
    first = request.first_token_at
    return Timing(
        None if first is None else first - request.arrived_at,
        request.last_token_at - request.arrived_at,
        request.tokens,
    )
