"""Cost of one admission decision, by the number of teams and of waiting requests."""

import random
import time
from typing import NamedTuple

from godwitmast.admission.controller import Admission
from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.messages import RequestSpec
from godwitmast.types import ClassName, PoolName, RequestId, TeamName

POOL = PoolName("godwit-lm")
TIERS = 7


class AdmissionCost(NamedTuple):
    """Median cost of each step, in microseconds."""

    teams: int
    waiting: int
    offer_us: float
    next_us: float
    ended_us: float


def make_admission(teams: int) -> Admission:
    """Return an Admission with seven tiers and this many teams."""
    document = parse_document(
        {
            "classes": {
                f"tier-{tier}": {"tier": tier, "completion_s": 1e6}
                for tier in range(1, TIERS + 1)
            },
            "teams": {f"team-{n}": {"requests_per_s": 1e6} for n in range(teams)},
            "models": {POOL: {}},
        }
    )
    return Admission(document, max_waiting=10**9)


def measure_admission(
    teams: int, waiting: int, rounds: int = 20_000, seed: int = 1
) -> AdmissionCost:
    """Time each step while `waiting` requests of `teams` teams wait.

    Each round offers a request, and pops and ends the next one, so that the number of
    waiting requests stays the same.
    """
    draw = random.Random(seed)
    admission = make_admission(teams)

    def make(number: int) -> RequestSpec:
        team = TeamName(f"team-{draw.randrange(teams)}")
        class_name = ClassName(f"tier-{draw.randrange(TIERS) + 1}")
        return RequestSpec(
            RequestId(f"r{number}"), team, class_name, POOL, 0.0, 200, 256
        )

    for number in range(waiting):
        admission.offer(make(number), 0.0)
    times: list[tuple[float, float, float]] = []
    for number in range(waiting, waiting + rounds):
        now = number * 1e-4
        new_request = make(number)
        offering_at = time.perf_counter()
        admission.offer(new_request, now)
        offered_at = time.perf_counter()
        request = admission.pop_next(POOL, now)
        popped_at = time.perf_counter()
        assert request is not None
        admission.record_tokens(request, 100, now)
        ending_at = time.perf_counter()
        admission.record_end(request, now, completed=True)
        times.append(
            (
                offered_at - offering_at,
                popped_at - offered_at,
                time.perf_counter() - ending_at,
            )
        )
    medians = [
        sorted(column)[len(times) // 2] * 1e6 for column in zip(*times, strict=True)
    ]
    return AdmissionCost(teams, waiting, *medians)


SIZES = ((10, 100), (10, 1000), (630, 1000), (6300, 1000), (6300, 10_000))


def main() -> None:
    """Print the costs at several sizes."""
    for teams, waiting in SIZES:
        cost = measure_admission(teams, waiting)
        print(
            f"teams={teams} waiting={waiting} offer_us={cost.offer_us:.1f}"
            f" next_us={cost.next_us:.1f} ended_us={cost.ended_us:.1f}"
        )


if __name__ == "__main__":
    main()
