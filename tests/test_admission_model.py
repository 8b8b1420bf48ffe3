"""Invariants of admission under random arrivals, answers and failures."""

from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitmast.admission.preemption import MAX_PREEMPTIONS
from godwitmast.admission.turns import AGING_THRESHOLD_S as AGED_S
from godwitmast.admission.turns import TurnCredit, choose_class
from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.messages import (
    Action,
    BackendSpec,
    Cancel,
    CancelReason,
    FailureKind,
    NotRun,
    RefusalCode,
    Refuse,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.router import Router

POOL = "godwit-lm"
CLASSES = ("question", "summary", "draft")
TEAMS = ("arima", "couva", "tobago")
MAX_WAITING = 6

DOCUMENT = parse_document(
    {
        "classes": {
            "question": {"tier": 1, "first_token_s": 1.2},
            "summary": {"tier": 2, "completion_s": 30.0},
            "draft": {"tier": 3, "completion_s": 300.0},
        },
        "teams": {name: {} for name in TEAMS},
        "models": {POOL: {}},
    }
)


class World:
    """A router with its active attempts, and the outcome of each request."""

    def __init__(self) -> None:
        self.now = 0.0
        self.router = Router(DOCUMENT, "a")
        self.router.admission.max_waiting = MAX_WAITING
        self.requests: dict[str, RequestSpec] = {}
        self.active: dict[str, Start] = {}
        self.attempts: Counter[str] = Counter()
        self.unsent: Counter[str] = Counter()
        self.preempted: Counter[str] = Counter()
        self.outcomes: dict[str, list[str]] = {}
        self.act(
            self.router.update_backends(
                [BackendSpec(f"b{n}", "a", frozenset([POOL])) for n in range(2)], 0.0
            )
        )

        # Few places, so that a hundred steps fill them and the short queue.
        for state in self.router.backends.states.values():
            state.limit.value = 2.0

    def tier(self, request_id: str) -> int:
        return DOCUMENT.classes[self.requests[request_id].class_name].tier

    def act(self, actions: list[Action]) -> None:
        victim = None
        for action in actions:
            match action:
                case Start(request_id=request_id):
                    if victim is not None:
                        assert self.tier(victim) > self.tier(request_id)
                        victim = None
                    self.active[request_id] = action
                    self.attempts[request_id] += 1
                case Cancel(request_id=request_id, reason=reason):
                    del self.active[request_id]
                    if reason is CancelReason.PREEMPTED:
                        victim = request_id
                        self.preempted[request_id] += 1
                case Refuse(request_id=request_id):
                    self.outcomes[request_id].append("refused")
                    if action.not_run is NotRun.TRUE:
                        assert self.attempts[request_id] == self.unsent[request_id]

    def submit(self, number: int) -> None:
        request_id = f"r{len(self.requests)}"
        request = RequestSpec(
            request_id,
            TEAMS[number % 3],
            CLASSES[number // 3 % 3],
            POOL,
            self.now,
            50,
            200,
            deadline=self.now + 20.0 if number % 5 == 0 else None,
            idempotent=number % 7 != 0,
            resumable=number % 4 != 0,
            fingerprint=request_id,
        )
        self.requests[request_id] = request
        self.outcomes[request_id] = []
        lowest = self.lowest_to_give_way(request)
        actions = self.router.submit(request, self.now)
        self.act(actions)
        for action in actions:
            if isinstance(action, Refuse) and action.code is RefusalCode.SHED:
                assert self.tier(action.request_id) >= lowest

    def lowest_to_give_way(self, request: RequestSpec) -> int:
        """Return the lowest tier that a new request may cause to be shed.

        With a full queue it is the lowest tier that waits. For a request that would
        start too late, it is the lowest tier with preemptible requests, provided that
        there are more of them than requests waiting ahead.
        """
        admission = self.router.admission
        queue = admission.queue_for(request)
        queues = admission.pools[POOL].by_tier
        job = admission.make_job(request, queue, self.now)
        if not admission.lateness_s(job, queue, self.now):
            return max([queue.tier, *(q.tier for q in queues if q.waiting)])
        lower = [q for q in queues if q.tier > queue.tier and q.preemptible]
        before = sum(q.waiting for q in queues if q.tier <= queue.tier)
        if sum(len(q.preemptible) for q in lower) <= before:
            return queue.tier
        return max(q.tier for q in lower)

    def pick(self, number: int) -> Start | None:
        starts = list(self.active.values())
        return starts[number % len(starts)] if starts else None

    def token(self, number: int) -> None:
        start = self.pick(number)
        if start is not None:
            ids = (start.request_id, start.attempt_id)
            self.act(self.router.record_tokens(*ids, 1 + number % 90, self.now))

    def finish(self, number: int) -> None:
        start = self.pick(number)
        if start is not None:
            del self.active[start.request_id]
            self.outcomes[start.request_id].append("answered")
            ids = (start.request_id, start.attempt_id)
            self.act(self.router.record_completion(*ids, self.now))

    def fail(self, number: int) -> None:
        start = self.pick(number)
        if start is not None:
            del self.active[start.request_id]
            kinds = [FailureKind.CONNECT, FailureKind.ERROR, FailureKind.TIMEOUT]
            kind = kinds[number % 3]
            self.unsent[start.request_id] += kind is FailureKind.CONNECT
            ids = (start.request_id, start.attempt_id)
            self.act(self.router.record_failure(*ids, kind, self.now))

    def hang_up(self, number: int) -> None:
        open_ids = [i for i, ends in self.outcomes.items() if not ends]
        if open_ids:
            request_id = open_ids[number % len(open_ids)]
            self.outcomes[request_id].append("gone")
            reason = CancelReason.CALLER_GONE
            self.act(self.router.cancel_request(request_id, reason, self.now))

    def wait(self, number: int) -> None:
        for _ in range(1 + number % 8):
            self.now += 0.1
            self.act(self.router.tick(self.now))

    def drain(self) -> None:
        """Finish running requests until all requests have ended."""
        for step in range(4000):
            self.finish(step)
            self.wait(4)
            if all(self.outcomes.values()):
                return


OPERATIONS = (
    "submit",
    "submit",
    "submit",
    "token",
    "finish",
    "fail",
    "hang_up",
    "wait",
)


@settings(max_examples=120, derandomize=True, deadline=None)
@given(st.integers(0, 1_000_000))
def test_every_request_ends_once_and_no_lower_tier_goes_before_a_higher(
    seed: int,
) -> None:
    """The checks in `World` hold after each step, whatever comes in which order.

    A refusal that says "not run" had no attempt that reached a server; who is preempted gives way to a
    higher tier; a full queue sheds its lowest tier; and each request ends once.
    """
    world = World()
    # Lists drawn by hypothesis are too short to fill the places and the queue.
    draw = Random(seed)
    for _ in range(200):
        getattr(world, draw.choice(OPERATIONS))(draw.randrange(400))
    world.drain()
    assert all(len(ends) == 1 for ends in world.outcomes.values())
    assert max(world.preempted.values(), default=0) <= MAX_PREEMPTIONS
    admission = world.router.admission
    assert not admission.jobs and not admission.waiting
    assert all(use.open_requests == 0 for use in admission.limits.uses.values())
    for queue in admission.pools[POOL].by_tier if admission.pools else []:
        assert not queue.running and not queue.preemptible and not queue.urgency
        assert not queue.fair.size and not queue.fair.backlogs


class FakeClass:
    """A class that always has requests waiting."""

    def __init__(self, tier: int, turn_share: float, hold_s: float) -> None:
        self.tier = tier
        self.turn_share = turn_share
        self.hold_s = hold_s
        self.turns = TurnCredit()
        self.longest_gap = 0.0


@settings(max_examples=100, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(1, 7), st.floats(0, 0.1), st.floats(0.1, 100)),
        min_size=2,
        max_size=7,
    ),
    st.lists(st.floats(0.001, 2.0), min_size=50, max_size=300),
)
def test_no_class_starves_however_much_waits_above_it(
    classes: list[tuple[int, float, float]], gaps: list[float]
) -> None:
    queues = [FakeClass(*values) for values in classes]
    now = 0.0
    for gap in gaps:
        now += gap
        for queue in queues:
            queue.longest_gap = max(queue.longest_gap, now - queue.turns.last)
        choose_class(queues, now)
    # Each other class may become due for a guard turn at the same moment.
    assert max(q.longest_gap for q in queues) <= AGED_S + 2.0 * len(queues)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.floats(0.0, 0.2), st.floats(1.0, 50.0), st.integers(200, 600))
def test_guard_gives_a_class_no_more_than_its_share_of_the_time_held(
    share: float, hold_s: float, turns: int
) -> None:
    top, low = FakeClass(1, 0.0, 1.0), FakeClass(2, share, hold_s)
    held = Counter[int]()
    for number in range(turns):
        queue = choose_class([top, low], number * 0.001).queue
        held[queue.tier] += queue.hold_s
    assert held[2] <= share * turns + hold_s
