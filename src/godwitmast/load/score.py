"""What a play of a scenario came to."""

import statistics
from dataclasses import dataclass, field

from godwitmast.config.document import RequestClass
from godwitmast.entry.metrics import Timing, meets_targets
from godwitmast.load.scenario import Check, Scenario

BUCKET_S = 10.0
STARVED_BUCKETS = 6
"""A class with work waiting that gets no token for 60 s is starving."""

RECOVERED_SHARE = 0.95


@dataclass(slots=True)
class Need:
    """What a caller wants once, however often it has to ask."""

    number: int
    team: str
    class_name: str
    began: float
    prompt_tokens: int
    answer_tokens: int
    prefix: str = ""
    prefix_tokens: int = 0
    patience_s: float = 60.0
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
    """Counts of one play, and the measures that follow from them."""

    scenario: Scenario
    needs: list[Need] = field(default_factory=list)
    generated_tokens: int = 0
    refusals: dict[str, int] = field(default_factory=dict)
    innocent_refusals: dict[str, int] = field(default_factory=dict)
    poison_crashes: int = 0
    tokens_at: dict[tuple[str, int], int] = field(default_factory=dict)
    waiting_at: dict[tuple[str, int], int] = field(default_factory=dict)
    last_token_of_team: dict[str, float] = field(default_factory=dict)
    not_run_but_ran: int = 0
    ended_twice: int = 0

    def token(self, need: Need, now: float) -> None:
        key = (need.class_name, int(now / BUCKET_S))
        self.tokens_at[key] = self.tokens_at.get(key, 0) + 1
        self.last_token_of_team[need.team] = now

    def end(self, need: Need, outcome: str, now: float) -> None:
        """Note how a need ended; each ends once."""
        if need.outcome:
            self.ended_twice += 1
            return
        need.outcome = outcome
        need.ended_at = now
        if outcome == "answered":
            target = self.targets(need.class_name)
            need.met = meets_targets(target, need_timing(need))

    def targets(self, class_name: str) -> RequestClass:
        return RequestClass(**self.scenario.classes[class_name])  # type: ignore[arg-type]

    @property
    def counted(self) -> list[Need]:
        """Return the needs that measures are taken over: all but the poison."""
        return [need for need in self.needs if not need.poison]

    def attainment(self, class_name: str = "") -> float:
        """Return the part of the needs that was met."""
        mine = [n for n in self.counted if class_name in ("", n.class_name)]
        return sum(n.met for n in mine) / len(mine) if mine else 1.0

    @property
    def goodput(self) -> float:
        """Return tokens a second of answers that met their targets."""
        return sum(n.tokens for n in self.needs if n.met) / self.scenario.run_s

    @property
    def wasted(self) -> float:
        """Return the part of generated tokens that is in no whole answer."""
        if not self.generated_tokens:
            return 0.0
        used = sum(n.tokens for n in self.needs if n.outcome == "answered")
        return 1 - used / self.generated_tokens

    @property
    def late(self) -> float:
        """Return the part of generated tokens in whole answers that came late."""
        late = [n for n in self.needs if n.outcome == "answered" and not n.met]
        return sum(n.tokens for n in late) / max(1, self.generated_tokens)

    @property
    def worst_team(self) -> float:
        """Return the worst team's attainment over the median team's."""
        by_team: dict[str, list[bool]] = {}
        for need in self.counted:
            by_team.setdefault(need.team, []).append(need.met)
        rates = [sum(met) / len(met) for met in by_team.values()]
        middle = statistics.median(rates)
        return min(rates) / middle if middle else 1.0

    @property
    def starved(self) -> int:
        """Return how many 60 s windows a class waited through without a token."""
        buckets = int(self.scenario.run_s / BUCKET_S)
        windows = 0
        for name in self.scenario.classes:
            dry = 0
            for bucket in range(buckets):
                waits = self.waiting_at.get((name, bucket), 0) > 0
                gets = self.tokens_at.get((name, bucket), 0) > 0
                dry = dry + 1 if waits and not gets else 0
                windows += dry >= STARVED_BUCKETS
        return windows

    @property
    def cut(self) -> int:
        """Return the needs that failed after their answer had begun."""
        return sum(n.outcome == "failed" and n.tokens > 0 for n in self.counted)

    @property
    def recovery_s(self) -> float | None:
        """Return how long after the last burst attainment was low, if there is one."""
        if not self.scenario.phases:
            return None
        first = min(phase.begin_s for phase in self.scenario.phases)
        last = max(phase.end_s for phase in self.scenario.phases)
        usual = self.attainment_between(0, first)
        low = last
        start = last
        while start < self.scenario.run_s:
            rate = self.attainment_between(start, start + BUCKET_S)
            if rate < RECOVERED_SHARE * usual:
                low = start + BUCKET_S
            start += BUCKET_S
        return low - last

    def attainment_between(self, begin: float, end: float) -> float:
        mine = [n.met for n in self.counted if begin <= n.began < end]
        return sum(mine) / len(mine) if mine else 1.0

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
        at = [f.at_s for f in self.scenario.faults if getattr(f, "team", "") == team]
        return max(0.0, self.last_token_of_team.get(team, 0.0) - max(at))

    def failures(self) -> list[str]:
        """Return the checks of the scenario that do not hold, with their values."""
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


def need_timing(need: Need) -> Timing:
    first = need.first_token_at
    return Timing(
        None if first is None else first - need.began,
        need.last_token_at - need.began,
        need.tokens,
    )
