"""Admission, queueing, refusal and preemption of requests."""

import pytest

from godwitmast.admission.controller import Admission
from godwitmast.admission.deadlines import RESUMED_WAIT_S
from godwitmast.admission.limits import BURST_S
from godwitmast.admission.preemption import MAX_PREEMPTIONS
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


class AdmissionHarness:
    """Admission of one entry, with a clock that the test advances."""

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self.now = 0.0
        self.count = 0

    def make(
        self, class_name: str, team: str = "arima", **kwargs: object
    ) -> RequestSpec:
        self.count += 1
        return RequestSpec(
            f"r{self.count}", team, class_name, POOL, self.now, 10, 256, **kwargs
        )

    def offer(self, class_name: str, team: str = "arima", **kwargs: object) -> str:
        """Offer a request that must be admitted; return its id."""
        request = self.make(class_name, team, **kwargs)
        assert self.admission.offer(request, self.now) == []
        return request.request_id

    def next(self) -> str | None:
        request = self.admission.pop_next(POOL, self.now)
        return request.request_id if request else None

    def run(
        self, class_name: str, team: str = "arima", hold_s: float = 2.0, tokens: int = 9
    ) -> None:
        """Serve one request to its end, so that its times and length are known."""
        self.offer(class_name, team)
        request = self.admission.pop_next(POOL, self.now)
        assert request is not None
        self.now += hold_s / 2
        self.admission.record_tokens(request, tokens, self.now)
        self.now += hold_s / 2
        self.admission.record_end(request, self.now, completed=True)

    def begin(self, class_name: str, team: str = "arima") -> RequestSpec:
        """Start a request and deliver its first token."""
        self.offer(class_name, team)
        request = self.admission.pop_next(POOL, self.now)
        assert request is not None
        self.admission.record_tokens(request, 1, self.now)
        return request


@pytest.fixture
def harness() -> AdmissionHarness:
    return AdmissionHarness(Admission(make_document()))


def test_higher_tier_goes_first_regardless_of_arrival_order(
    harness: AdmissionHarness,
) -> None:
    harness.offer("draft")
    question = harness.offer("question")
    assert harness.next() == question


def test_team_with_few_requests_is_interleaved_with_a_team_with_many(
    harness: AdmissionHarness,
) -> None:
    for _ in range(5):
        harness.offer("draft", "arima")
    late = harness.offer("draft", "couva")
    assert late in [harness.next(), harness.next()]


def test_team_with_twice_the_weight_gets_twice_the_turns() -> None:
    harness = AdmissionHarness(Admission(make_document(heavy={"weight": 2.0})))
    ids = {}
    for _ in range(30):
        ids[harness.offer("draft", "arima")] = "arima"
        ids[harness.offer("draft", "heavy")] = "heavy"
    first = [ids[harness.next() or ""] for _ in range(30)]
    assert first.count("heavy") == pytest.approx(20, abs=1)


def test_team_with_long_answers_gets_fewer_turns(harness: AdmissionHarness) -> None:
    for _ in range(6):
        harness.run("draft", "arima", tokens=200)
        harness.run("draft", "couva", tokens=20)
    ids = {}
    for _ in range(30):
        ids[harness.offer("draft", "arima")] = "arima"
        ids[harness.offer("draft", "couva")] = "couva"
    first = [ids[harness.next() or ""] for _ in range(22)]
    assert first.count("couva") >= 3 * first.count("arima")


def test_answer_longer_than_charged_counts_while_it_still_runs(
    harness: AdmissionHarness,
) -> None:
    long = harness.begin("draft", "arima")
    harness.begin("draft", "couva")
    harness.admission.record_tokens(long, 2000, harness.now)
    harness.offer("draft", "arima")
    couva = [harness.offer("draft", "couva") for _ in range(3)]
    assert [harness.next() for _ in range(3)] == couva


def test_service_by_another_entry_counts_in_fair_shares_and_limits() -> None:
    """A team served by another entry must not get its full share here as well.

    The other entry reports 5,000 tokens for arima. The other team then goes first here,
    and arima's limit of 100 tokens a second is exhausted.
    """
    document = make_document(arima={"tokens_per_s": 100.0})
    here, there = (
        AdmissionHarness(Admission(document)),
        AdmissionHarness(Admission(document)),
    )
    request = there.begin("draft")
    there.admission.record_tokens(request, 5000, 0.0)
    here.offer("draft", "arima")
    couva = [here.offer("draft", "couva") for _ in range(2)]
    for report in there.admission.pop_service_reports():
        here.admission.apply_peer_service(report, 0.0)
    assert there.admission.pop_service_reports() == []
    assert [here.next(), here.next()] == couva
    (refusal,) = here.admission.offer(here.make("draft"), 0.0)
    assert refusal.code is RefusalCode.TEAM_LIMIT


def test_request_limit_returns_the_time_at_which_the_next_request_fits() -> None:
    harness = AdmissionHarness(Admission(make_document(arima={"requests_per_s": 1.0})))
    for _ in range(int(BURST_S)):
        harness.offer("draft")
    refusals = [
        harness.admission.offer(harness.make("draft"), 0.0)[0] for _ in range(3)
    ]
    assert {refusal.code for refusal in refusals} == {RefusalCode.TEAM_LIMIT}
    for refusal in refusals:
        assert refusal.retry_after_s is not None
        harness.now = refusal.retry_after_s
        harness.offer("draft")


def test_concurrency_limit_counts_waiting_and_running_requests() -> None:
    harness = AdmissionHarness(Admission(make_document(arima={"concurrency": 2})))
    running = harness.begin("draft")
    harness.offer("draft")
    (refusal,) = harness.admission.offer(harness.make("draft"), 0.0)
    assert refusal.code is RefusalCode.TEAM_LIMIT
    harness.admission.record_end(running, 0.0, completed=True)
    harness.offer("draft")


def test_request_that_would_start_too_late_is_refused_at_once(
    harness: AdmissionHarness,
) -> None:
    """One place, held for 2 s by each question: the second in the queue is too late."""
    harness.run("question")
    harness.begin("question")
    harness.offer("question")
    (refusal,) = harness.admission.offer(harness.make("question"), harness.now)
    assert refusal.code is RefusalCode.SHED
    assert refusal.retry_after_s is not None and refusal.retry_after_s >= 1


def test_slow_servers_do_not_cause_a_class_to_be_refused_forever(
    harness: AdmissionHarness,
) -> None:
    """First tokens that take longer than the target must not refuse all later requests.

    If nothing were admitted, no new times would be recorded, and the class would still
    be refused after the servers recovered.
    """
    for _ in range(5):
        harness.run("question", hold_s=10.0)
    harness.offer("question")


def test_waiting_request_is_refused_after_its_latest_start(
    harness: AdmissionHarness,
) -> None:
    harness.run("question", hold_s=0.4)
    request_id = harness.offer("question")
    start = harness.now
    assert harness.admission.refuse_expired(start + 0.9) == []
    (refusal,) = harness.admission.refuse_expired(start + 1.1)
    assert (refusal.request_id, refusal.code) == (request_id, RefusalCode.SHED)
    assert harness.next() is None


def test_refusal_for_the_callers_deadline_has_its_own_code(
    harness: AdmissionHarness,
) -> None:
    harness.offer("draft", deadline=5.0)
    (refusal,) = harness.admission.refuse_expired(6.0)
    assert refusal.code is RefusalCode.DEADLINE


def test_retry_times_of_refused_callers_are_spread(harness: AdmissionHarness) -> None:
    """Guards against a burst of returning callers after a hundred refusals at once."""
    harness.run("question")
    harness.begin("question")
    harness.offer("question")
    times = []
    for _ in range(100):
        (refusal,) = harness.admission.offer(harness.make("question"), harness.now)
        times.append(refusal.retry_after_s or 0.0)
    seconds = [int(time) for time in times]
    assert max(seconds.count(second) for second in seconds) <= 10
    assert max(times) <= MAX_RETRY_AFTER_S


def test_question_preempts_a_draft_just_before_its_latest_start(
    harness: AdmissionHarness,
) -> None:
    draft = harness.begin("draft")
    question = harness.offer("question")
    assert harness.admission.preempt(POOL, harness.now) is None
    harness.now += 1.0
    preemption = harness.admission.preempt(POOL, harness.now)
    assert preemption is not None
    assert preemption.victim == draft
    assert preemption.request.request_id == question


def test_preempted_draft_resumes_before_drafts_that_never_ran(
    harness: AdmissionHarness,
) -> None:
    harness.offer("draft", "couva")
    harness.next()
    draft = harness.begin("draft")
    harness.offer("draft", "couva")
    harness.offer("question")
    harness.now += 1.0
    assert harness.admission.preempt(POOL, harness.now) is not None
    assert harness.next() == draft.request_id
    assert harness.admission.refuse_expired(harness.now + RESUMED_WAIT_S - 1) != []


def test_number_of_preemptions_of_a_draft_is_bounded(harness: AdmissionHarness) -> None:
    draft = harness.begin("draft")
    for _ in range(MAX_PREEMPTIONS):
        harness.offer("question")
        harness.now += 1.0
        preemption = harness.admission.preempt(POOL, harness.now)
        assert preemption is not None
        harness.admission.record_end(preemption.request, harness.now, completed=False)
        assert harness.next() == draft.request_id
        harness.admission.record_tokens(draft, 1, harness.now)
    harness.offer("question")
    assert harness.admission.preempt(POOL, harness.now + 1.0) is None


@pytest.mark.parametrize("more", [{"idempotent": False}, {"resumable": False}])
def test_request_that_is_not_idempotent_or_resumable_is_never_preempted(
    harness: AdmissionHarness, more: dict[str, bool]
) -> None:
    harness.offer("draft", **more)
    request = harness.admission.pop_next(POOL, harness.now)
    assert request is not None
    harness.admission.record_tokens(request, 1, harness.now)
    harness.offer("question")
    assert harness.admission.preempt(POOL, harness.now + 1.0) is None


def test_only_the_highest_tier_goes_to_a_full_server(harness: AdmissionHarness) -> None:
    """Nothing runs for this entry: requests of other entries hold every place."""
    harness.offer("summary")
    question = harness.offer("question")
    harness.now += 1.0
    assert harness.admission.preempt(POOL, harness.now) is None
    alone = harness.admission.preempt(POOL, harness.now, may_overcommit=True)
    assert alone is not None and alone.victim is None
    assert alone.request.request_id == question
    harness.now += 28.0
    assert harness.admission.preempt(POOL, harness.now, may_overcommit=True) is None


def test_fair_shares_of_teams_apply_on_full_servers(harness: AdmissionHarness) -> None:
    harness.run("question", hold_s=0.1)
    harness.begin("question", "tobago")
    for _ in range(4):
        harness.offer("question", "arima")
    couva = harness.offer("question", "couva")
    first = [harness.admission.preempt(POOL, harness.now, True) for _ in range(2)]
    assert couva in [item.request.request_id for item in first if item]


def test_same_tier_is_not_preempted(harness: AdmissionHarness) -> None:
    harness.begin("question")
    harness.offer("question", "couva")
    assert harness.admission.preempt(POOL, harness.now + 1.0) is None


def test_question_is_admitted_while_drafts_can_be_preempted(
    harness: AdmissionHarness,
) -> None:
    """Long drafts hold all places, but a question would not be late."""
    harness.run("draft", hold_s=100.0)
    harness.run("question")
    for _ in range(4):
        harness.begin("draft")
    for _ in range(4):
        harness.offer("question")


def test_full_queue_sheds_the_longest_backlog_of_the_lowest_tier() -> None:
    harness = AdmissionHarness(Admission(make_document(), max_waiting=5))
    for _ in range(2):
        harness.offer("summary", "arima")
    harness.offer("draft", "arima")
    harness.offer("draft", "couva")
    newest = harness.offer("draft", "couva")
    (refusal,) = harness.admission.offer(harness.make("question", "couva"), 0.0)
    assert refusal.request_id == newest
    assert refusal.code is RefusalCode.SHED


def test_full_queue_of_higher_tiers_refuses_a_draft() -> None:
    harness = AdmissionHarness(Admission(make_document(), max_waiting=2))
    harness.offer("summary")
    harness.offer("summary")
    draft = harness.make("draft")
    (refusal,) = harness.admission.offer(draft, 0.0)
    assert refusal.request_id == draft.request_id


def test_unplaced_request_keeps_its_latest_start(harness: AdmissionHarness) -> None:
    """Guards against a long wait for a request that no server accepted.

    Only a request whose caller has received part of the answer may wait for
    RESUMED_WAIT_S.
    """
    request_id = harness.offer("question")
    request = harness.admission.pop_next(POOL, 0.0)
    assert request is not None
    harness.admission.undo_start(request)
    harness.admission.requeue(request, 0.1)
    (refusal,) = harness.admission.refuse_expired(1.3)
    assert refusal.request_id == request_id


def test_new_configuration_moves_a_class_to_its_new_tier(
    harness: AdmissionHarness,
) -> None:
    harness.offer("question")
    draft = harness.offer("draft")
    document = harness.admission.document
    classes = {**document.classes, "draft": RequestClass(tier=1, completion_s=9.0)}
    classes["question"] = RequestClass(tier=2, first_token_s=1.2)
    teams = {"arima": Team(weight=3.0)}
    harness.admission.update_config(document._replace(classes=classes, teams=teams))
    assert harness.next() == draft
