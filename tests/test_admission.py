"""Who is let in, who waits, who is turned away and who gives way."""

import pytest

from godwitmast.admission.deadlines import RESUMED_WAIT_S
from godwitmast.admission.limits import BURST_S
from godwitmast.admission.preemption import MAX_PREEMPTIONS
from godwitmast.admission.queue import Admission
from godwitmast.admission.returns import MAX_RETRY_AFTER_S
from godwitmast.config.document import Document, RequestClass, Team
from godwitmast.config.parsing import parse_document
from godwitmast.dispatch.messages import RefusalCode, RequestSpec

POOL = "godwit-lm"


def make_document(**teams: dict[str, float]) -> Document:
    return parse_document(
        {
            "classes": {
                "question": {"tier": 1, "first_token_s": 1.2, "turn_share": 0.1},
                "summary": {"tier": 2, "completion_s": 30.0, "turn_share": 0.1},
                "draft": {"tier": 3, "completion_s": 300.0, "turn_share": 0.1},
            },
            "teams": {"arima": {}, "couva": {}, "tobago": {}, **teams},
            "models": {POOL: {}},
        }
    )


class Desk:
    """Admission with a number of places, on a clock of the test's own."""

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self.now = 0.0
        self.count = 0

    def make(self, class_name: str, team: str = "arima", **more: object) -> RequestSpec:
        self.count += 1
        return RequestSpec(
            f"r{self.count}", team, class_name, POOL, self.now, 10, 256, **more
        )

    def offer(self, class_name: str, team: str = "arima", **more: object) -> str:
        """Offer a request that has to be let in; return its id."""
        request = self.make(class_name, team, **more)
        assert self.admission.offer(request, self.now) == []
        return request.request_id

    def next(self) -> str | None:
        request = self.admission.next(POOL, self.now)
        return request.request_id if request else None

    def run(
        self, class_name: str, team: str = "arima", hold_s: float = 2.0, tokens: int = 9
    ) -> None:
        """Serve one request whole, so that its times and length are known."""
        self.offer(class_name, team)
        request = self.admission.next(POOL, self.now)
        assert request is not None
        self.now += hold_s / 2
        self.admission.tokens_came(request, tokens, self.now)
        self.now += hold_s / 2
        self.admission.ended(request, self.now, whole=True)

    def begin(self, class_name: str, team: str = "arima") -> RequestSpec:
        """Start a request and let its first token come."""
        self.offer(class_name, team)
        request = self.admission.next(POOL, self.now)
        assert request is not None
        self.admission.tokens_came(request, 1, self.now)
        return request


@pytest.fixture
def desk() -> Desk:
    return Desk(Admission(make_document()))


def test_higher_tier_goes_first_whatever_came_first(desk: Desk) -> None:
    desk.offer("draft")
    question = desk.offer("question")
    assert desk.next() == question


def test_team_with_few_requests_goes_between_those_of_a_team_with_many(
    desk: Desk,
) -> None:
    for _ in range(5):
        desk.offer("draft", "arima")
    late = desk.offer("draft", "couva")
    assert late in [desk.next(), desk.next()]


def test_team_with_twice_the_weight_gets_twice_the_turns() -> None:
    desk = Desk(Admission(make_document(heavy={"weight": 2.0})))
    ids = {}
    for _ in range(30):
        ids[desk.offer("draft", "arima")] = "arima"
        ids[desk.offer("draft", "heavy")] = "heavy"
    first = [ids[desk.next() or ""] for _ in range(30)]
    assert first.count("heavy") == pytest.approx(20, abs=1)


def test_team_with_long_answers_gets_fewer_turns(desk: Desk) -> None:
    for _ in range(6):
        desk.run("draft", "arima", tokens=200)
        desk.run("draft", "couva", tokens=20)
    ids = {}
    for _ in range(30):
        ids[desk.offer("draft", "arima")] = "arima"
        ids[desk.offer("draft", "couva")] = "couva"
    first = [ids[desk.next() or ""] for _ in range(22)]
    assert first.count("couva") >= 3 * first.count("arima")


def test_answer_longer_than_charged_counts_while_it_still_runs(desk: Desk) -> None:
    long = desk.begin("draft", "arima")
    desk.begin("draft", "couva")
    desk.admission.tokens_came(long, 2000, desk.now)
    desk.offer("draft", "arima")
    couva = [desk.offer("draft", "couva") for _ in range(3)]
    assert [desk.next() for _ in range(3)] == couva


def test_service_by_another_entry_counts_in_shares_and_in_limits() -> None:
    """A team that is served by another entry must not get its whole share here too.

    The other entry reports 5,000 tokens of arima. Here the other team goes first, and
    arima's limit of 100 tokens a second is used up.
    """
    document = make_document(arima={"tokens_per_s": 100.0})
    here, there = Desk(Admission(document)), Desk(Admission(document))
    request = there.begin("draft")
    there.admission.tokens_came(request, 5000, 0.0)
    here.offer("draft", "arima")
    couva = [here.offer("draft", "couva") for _ in range(2)]
    for report in there.admission.take_service():
        here.admission.peer_service(report, 0.0)
    assert there.admission.take_service() == []
    assert [here.next(), here.next()] == couva
    (refusal,) = here.admission.offer(here.make("draft"), 0.0)
    assert refusal.code is RefusalCode.TEAM_LIMIT


def test_limit_on_requests_says_truly_when_the_next_one_fits() -> None:
    desk = Desk(Admission(make_document(arima={"requests_per_s": 1.0})))
    for _ in range(int(BURST_S)):
        desk.offer("draft")
    refusals = [desk.admission.offer(desk.make("draft"), 0.0)[0] for _ in range(3)]
    assert {refusal.code for refusal in refusals} == {RefusalCode.TEAM_LIMIT}
    for refusal in refusals:
        assert refusal.retry_after_s is not None
        desk.now = refusal.retry_after_s
        desk.offer("draft")


def test_limit_on_concurrency_counts_what_waits_and_what_runs() -> None:
    desk = Desk(Admission(make_document(arima={"concurrency": 2})))
    running = desk.begin("draft")
    desk.offer("draft")
    (refusal,) = desk.admission.offer(desk.make("draft"), 0.0)
    assert refusal.code is RefusalCode.TEAM_LIMIT
    desk.admission.ended(running, 0.0, whole=True)
    desk.offer("draft")


def test_request_that_would_start_too_late_is_refused_at_once(desk: Desk) -> None:
    """One place, held 2 s by each question: the second in line is already too late."""
    desk.run("question")
    desk.begin("question")
    desk.offer("question")
    (refusal,) = desk.admission.offer(desk.make("question"), desk.now)
    assert refusal.code is RefusalCode.SHED
    assert refusal.retry_after_s is not None and refusal.retry_after_s >= 1


def test_slow_servers_do_not_shut_a_class_out_for_ever(desk: Desk) -> None:
    """First tokens that take longer than the target must not refuse all that follow.

    With nothing let in, nothing would be measured, and the class would stay refused
    after the servers have recovered.
    """
    for _ in range(5):
        desk.run("question", hold_s=10.0)
    desk.offer("question")


def test_waiting_request_is_refused_when_it_has_become_too_late(desk: Desk) -> None:
    desk.run("question", hold_s=0.4)
    request_id = desk.offer("question")
    start = desk.now
    assert desk.admission.expire(start + 0.9) == []
    (refusal,) = desk.admission.expire(start + 1.1)
    assert (refusal.request_id, refusal.code) == (request_id, RefusalCode.SHED)
    assert desk.next() is None


def test_callers_own_deadline_is_named_as_such(desk: Desk) -> None:
    desk.offer("draft", deadline=5.0)
    (refusal,) = desk.admission.expire(6.0)
    assert refusal.code is RefusalCode.DEADLINE


def test_refused_callers_are_told_times_that_spread(desk: Desk) -> None:
    """A hundred refused at one moment must not come back as one burst."""
    desk.run("question")
    desk.begin("question")
    desk.offer("question")
    times = []
    for _ in range(100):
        (refusal,) = desk.admission.offer(desk.make("question"), desk.now)
        times.append(refusal.retry_after_s or 0.0)
    seconds = [int(time) for time in times]
    assert max(seconds.count(second) for second in seconds) <= 10
    assert max(times) <= MAX_RETRY_AFTER_S


def test_question_takes_the_place_of_a_draft_just_before_it_is_too_late(
    desk: Desk,
) -> None:
    draft = desk.begin("draft")
    question = desk.offer("question")
    assert desk.admission.preempt(POOL, desk.now) is None
    desk.now += 1.0
    preemption = desk.admission.preempt(POOL, desk.now)
    assert preemption is not None
    assert preemption.victim == draft
    assert preemption.request.request_id == question


def test_preempted_draft_goes_on_before_drafts_that_never_ran(desk: Desk) -> None:
    desk.offer("draft", "couva")
    desk.next()
    draft = desk.begin("draft")
    desk.offer("draft", "couva")
    desk.offer("question")
    desk.now += 1.0
    assert desk.admission.preempt(POOL, desk.now) is not None
    assert desk.next() == draft.request_id
    assert desk.admission.expire(desk.now + RESUMED_WAIT_S - 1) != []


def test_draft_is_preempted_only_so_often(desk: Desk) -> None:
    draft = desk.begin("draft")
    for _ in range(MAX_PREEMPTIONS):
        desk.offer("question")
        desk.now += 1.0
        preemption = desk.admission.preempt(POOL, desk.now)
        assert preemption is not None
        desk.admission.ended(preemption.request, desk.now, whole=False)
        assert desk.next() == draft.request_id
        desk.admission.tokens_came(draft, 1, desk.now)
    desk.offer("question")
    assert desk.admission.preempt(POOL, desk.now + 1.0) is None


@pytest.mark.parametrize("more", [{"idempotent": False}, {"resumable": False}])
def test_what_may_not_run_twice_is_never_preempted(
    desk: Desk, more: dict[str, bool]
) -> None:
    desk.offer("draft", **more)
    request = desk.admission.next(POOL, desk.now)
    assert request is not None
    desk.admission.tokens_came(request, 1, desk.now)
    desk.offer("question")
    assert desk.admission.preempt(POOL, desk.now + 1.0) is None


def test_only_the_highest_tier_goes_to_a_full_server(desk: Desk) -> None:
    """This entry has nothing running: other entries hold every place."""
    desk.offer("summary")
    question = desk.offer("question")
    desk.now += 1.0
    assert desk.admission.preempt(POOL, desk.now) is None
    alone = desk.admission.preempt(POOL, desk.now, may_overcommit=True)
    assert alone is not None and alone.victim is None
    assert alone.request.request_id == question
    desk.now += 28.0
    assert desk.admission.preempt(POOL, desk.now, may_overcommit=True) is None


def test_full_servers_are_shared_by_the_teams_as_the_others_are(desk: Desk) -> None:
    desk.run("question", hold_s=0.1)
    desk.begin("question", "tobago")
    for _ in range(4):
        desk.offer("question", "arima")
    couva = desk.offer("question", "couva")
    first = [desk.admission.preempt(POOL, desk.now, True) for _ in range(2)]
    assert couva in [item.request.request_id for item in first if item]


def test_same_tier_is_not_preempted(desk: Desk) -> None:
    desk.begin("question")
    desk.offer("question", "couva")
    assert desk.admission.preempt(POOL, desk.now + 1.0) is None


def test_question_is_let_in_while_drafts_can_give_way(desk: Desk) -> None:
    """All places are held by long drafts; the question still is not too late."""
    desk.run("draft", hold_s=100.0)
    desk.run("question")
    for _ in range(4):
        desk.begin("draft")
    for _ in range(4):
        desk.offer("question")


def test_full_queue_sheds_the_lowest_tier_and_in_it_the_longest_queue() -> None:
    desk = Desk(Admission(make_document(), max_waiting=5))
    for _ in range(2):
        desk.offer("summary", "arima")
    desk.offer("draft", "arima")
    desk.offer("draft", "couva")
    newest = desk.offer("draft", "couva")
    (refusal,) = desk.admission.offer(desk.make("question", "couva"), 0.0)
    assert refusal.request_id == newest
    assert refusal.code is RefusalCode.SHED


def test_full_queue_of_higher_tiers_turns_a_draft_away() -> None:
    desk = Desk(Admission(make_document(), max_waiting=2))
    desk.offer("summary")
    desk.offer("summary")
    draft = desk.make("draft")
    (refusal,) = desk.admission.offer(draft, 0.0)
    assert refusal.request_id == draft.request_id


def test_unplaced_request_keeps_its_last_moment_to_start(desk: Desk) -> None:
    """No server took it: it must not wait on as if its caller had half an answer."""
    request_id = desk.offer("question")
    request = desk.admission.next(POOL, 0.0)
    assert request is not None
    desk.admission.unplaced(request)
    desk.admission.put_back(request, 0.1)
    (refusal,) = desk.admission.expire(1.3)
    assert refusal.request_id == request_id


def test_new_configuration_moves_a_class_to_its_new_tier(desk: Desk) -> None:
    desk.offer("question")
    draft = desk.offer("draft")
    document = desk.admission.document
    classes = {**document.classes, "draft": RequestClass(tier=1, completion_s=9.0)}
    classes["question"] = RequestClass(tier=2, first_token_s=1.2)
    teams = {"arima": Team(weight=3.0)}
    desk.admission.update_config(document._replace(classes=classes, teams=teams))
    assert desk.next() == draft
