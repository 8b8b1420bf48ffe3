"""What one exception in a periodic task, or in one decision, may end."""

import time
from collections.abc import AsyncIterator

import anyio
import httpx
import pytest

from fleet import PROMPT, Fleet
from godwitmast import supervision
from godwitmast.background import BackgroundTasks
from godwitmast.config.parsing import parse_document
from godwitmast.dev.system import DevSystem
from godwitmast.dispatch.messages import (
    BackendSpec,
    NotRun,
    RefusalCode,
    Refuse,
    RequestSpec,
    Start,
)
from godwitmast.dispatch.router import Router
from godwitmast.errors import PlatformOutcomeUnknown
from godwitmast.lease.driver import DutyGroup
from godwitmast.platform_api.group_commit import GroupCommit
from godwitmast.stalls import LATE_S, StallWatch
from godwitmast.supervision import (
    FAILURES_TO_TELL,
    STEADY_S,
    TASK_FAILURES,
    TaskHealth,
    keep_running,
)
from godwitmast.types import BackendId, ClassName, PoolName, RequestId, TeamName
from godwitmast.types import ZoneName as Zone
from log_fields import fields_of
from running import running

DOCUMENT = parse_document(
    {
        "classes": {"question": {"tier": 1, "first_token_s": 5.0}},
        "teams": {"arima": {}},
        "models": {"lm": {}},
    }
)
SERVERS = [
    BackendSpec(BackendId(f"e{number}"), Zone("a"), frozenset(["lm"]), places=2)
    for number in range(2)
]


@pytest.fixture(autouse=True)
def short_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(supervision, "RESTART_S", 0.001)


def failures_of(task: str) -> float:
    return TASK_FAILURES.labels(task)._value.get()


class Flaky:
    """A task whose first runs raise an exception."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.runs = 0
        self.went_on = anyio.Event()

    async def run(self, *args: object) -> None:
        self.runs += 1
        if self.runs <= self.failures:
            raise ZeroDivisionError
        self.went_on.set()
        await anyio.sleep_forever()


@pytest.mark.anyio
async def test_background_loop_goes_on_after_an_exception() -> None:
    """Guards against a process that one exception in a periodic task ends."""
    flaky, other = Flaky(2), Flaky(0)
    before = failures_of("Flaky.run")
    background = BackgroundTasks(flaky.run, other.run)
    async with anyio.create_task_group() as tasks:
        await background.start(tasks)
        with anyio.fail_after(5):
            await flaky.went_on.wait()
        await background.close()
    assert (flaky.runs, other.runs) == (3, 1)
    assert failures_of("Flaky.run") == before + 2


@pytest.mark.anyio
async def test_loop_that_fails_again_and_again_is_told() -> None:
    """Guards against a loop that is wrong for ever in silence."""
    flaky = Flaky(FAILURES_TO_TELL)
    background = BackgroundTasks(flaky.run)
    async with anyio.create_task_group() as tasks:
        await background.start(tasks)
        with anyio.fail_after(5):
            await flaky.went_on.wait()
        assert background.is_failing()
        await background.close()


def test_task_that_runs_steadily_again_is_not_failing() -> None:
    health = TaskHealth()
    for number in range(FAILURES_TO_TELL):
        assert not health.is_failing(number)
        health.record_failure(number)
    assert health.is_failing(FAILURES_TO_TELL)
    assert not health.is_failing(FAILURES_TO_TELL + STEADY_S)
    health.record_failure(FAILURES_TO_TELL + 2 * STEADY_S)
    assert not health.is_failing(FAILURES_TO_TELL + 2 * STEADY_S)


class FlakyDuty(Flaky):
    def __init__(self, name: str, failures: int) -> None:
        super().__init__(failures)
        self.name = name


@pytest.mark.anyio
async def test_duty_goes_on_after_an_exception_in_another() -> None:
    """Guards against holders of the duties that end one after the other."""
    usage, orders = FlakyDuty("usage", 0), FlakyDuty("orders", 1)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(DutyGroup("duties", [usage, orders]).run, None)
        with anyio.fail_after(5):
            await orders.went_on.wait()
        tasks.cancel_scope.cancel()
    assert (usage.runs, orders.runs) == (1, 2)


@pytest.mark.anyio
async def test_writers_of_a_batch_that_raises_get_an_answer() -> None:
    """Guards against writers that wait for good for a batch whose call raised."""

    async def send(checks: object, writes: object) -> None:
        raise ZeroDivisionError

    group = GroupCommit(send)
    async with anyio.create_task_group() as tasks:
        await group.start(tasks)
        for _ in range(2):
            with anyio.fail_after(5), pytest.raises(PlatformOutcomeUnknown):
                await group.transact({}, {"row": 1})
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_task_that_returns_or_is_cancelled_is_not_restarted() -> None:
    runs = []

    async def run() -> None:
        runs.append(1)

    await keep_running("run", run)
    with anyio.move_on_after(0.01):
        await keep_running("sleep", anyio.sleep_forever)
    assert runs == [1]


def request(name: str) -> RequestSpec:
    return RequestSpec(
        RequestId(name),
        TeamName("arima"),
        ClassName("question"),
        PoolName("lm"),
        0.0,
        deadline=9.0,
    )


@pytest.fixture
def router() -> Router:
    return Router(DOCUMENT, Zone("a"))


def test_request_on_which_a_decision_fails_is_refused_alone(
    router: Router, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one request whose decision raises and that ends all others."""
    choose = router.choose_server

    def choose_or_fail(active, now):
        if active.request.request_id == "bad":
            raise ZeroDivisionError
        return choose(active, now)

    monkeypatch.setattr(router, "choose_server", choose_or_fail)
    router.update_backends(SERVERS, 0.0)
    outcomes = {
        action.request_id: action
        for name in ("good", "bad", "other")
        for action in router.submit(request(name), 0.0)
    }
    refusal = outcomes.pop(RequestId("bad"))
    assert isinstance(refusal, Refuse)
    assert (refusal.code, refusal.not_run) == (RefusalCode.INTERNAL, NotRun.TRUE)
    assert all(isinstance(action, Start) for action in outcomes.values())
    [failure] = router.pop_failures()
    assert (failure.step, failure.request_id) == ("start_request", "bad")
    assert router.admission.waiting == 0 and "bad" not in router.active_requests.by_id


def test_steps_of_a_tick_run_although_one_of_them_fails(
    router: Router, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that wait for good as an earlier step of a tick raises."""

    def fail(now: float) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr(router.guard, "review_suspects", fail)
    assert router.submit(request("early"), 0.0)
    router.update_backends([SERVERS[0]._replace(places=1)], 0.0)
    [start] = router.submit(request("runs"), 0.0)
    assert router.submit(request("waits"), 0.0) == []
    assert isinstance(start, Start)
    actions = router.tick(9.5)
    assert [action.request_id for action in actions] == ["waits"]
    assert [failure.step for failure in router.pop_failures()] == ["review_crashes"]


def test_event_loop_that_stands_still_is_logged_with_its_stack(
    log_lines: list[str],
) -> None:
    """Guards against a VM that hangs and can't be told from an idle one."""
    watch = StallWatch(stall_s=0.05, check_s=0.01)
    watch.start()

    def compute_for_good() -> None:
        deadline = time.monotonic() + 10
        while not fields_of(log_lines, "event_loop_stalled"):
            assert time.monotonic() < deadline

    compute_for_good()
    watch.record_turn()
    watch.close()
    [line] = [line for line in log_lines if line.startswith("event=event_loop_stalled")]
    assert "compute_for_good" in line and " cpu_s=" in line
    assert len(fields_of(log_lines, "event_loop_goes_on")) == 1


def test_late_turn_of_the_event_loop_is_logged_once_a_second(
    log_lines: list[str],
) -> None:
    """Guards against a VM with too little processor time that can't be told from one
    whose servers are slow."""
    watch = StallWatch()
    watch.start()
    now = time.monotonic()
    for due_at in (None, now, now - LATE_S, now - 2.0, now - 3.0):
        watch.record_turn(due_at)
    watch.close()
    [line] = [line for line in log_lines if line.startswith("event=event_loop_late")]
    assert "late_s=0.25" in line and " cpu_s=" in line


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with running(Fleet()) as started:
        yield started


@pytest.mark.anyio
async def test_vm_whose_step_fails_in_each_tick_serves_and_tells_operators(
    fleet: Fleet, http: httpx.AsyncClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against VMs that are all unready at once, as what they share makes one
    step fail on each of them."""

    def fail(now: float) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr(fleet.node.driver.router.guard, "review_suspects", fail)
    await fleet.wait_until(fleet.node.driver.is_failing)
    assert fleet.node.app.ready
    assert (await fleet.request(http, "/pay/1", "POST")).status_code == 200
    page = await http.get(f"{fleet.node.metrics_server.url}/metrics")
    assert "godwit_ticks_failing 1.0" in page.text
    assert 'godwit_task_failures_total{task="Router.review_crashes"}' in page.text


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/pay/1", "/peek/1", "/chat/1"])
async def test_answer_is_passed_on_whatever_its_server_states(
    fleet: Fleet, http: httpx.AsyncClient, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    """Guards against a payment that ran and is answered with an error, as what its
    server says of itself could not be recorded."""

    def fail(*args: object) -> None:
        raise ZeroDivisionError

    before = failures_of("Exchange.record_head")
    monkeypatch.setattr(fleet.node.driver, "record_statement", fail)
    answer = await fleet.request(http, path, "POST", **PROMPT)
    assert answer.status_code == 200 and "server-seal" in answer.headers
    assert failures_of("Exchange.record_head") == before + 1


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("submit", "/pay/1", 503),
        ("sent_now", "/pay/1", 502),
        ("sent_now", "/chat/1", 502),
    ],
)
async def test_request_that_raises_gets_an_answer_of_the_router(
    fleet: Fleet,
    http: httpx.AsyncClient,
    monkeypatch: pytest.MonkeyPatch,
    method: str,
    path: str,
    status: int,
) -> None:
    """Guards against a bare 500 that doesn't tell whether the request has run."""

    def fail(*args: object) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr(fleet.node.driver, method, fail)
    answer = await fleet.request(http, path, "POST", **PROMPT)
    assert answer.status_code == status
    promise = "true" if status == 503 else "unknown"
    assert answer.headers["godwit-not-run"] == promise
    assert ("retry-after" in answer.headers) is (status == 503)
    monkeypatch.undo()
    assert (await fleet.request(http, "/pay/2", "POST")).status_code == 200


@pytest.mark.anyio
async def test_metrics_that_a_thread_formats_tell_failing_ticks(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    """Guards against a page of metrics whose gauges need the event loop's thread."""
    async with running(system):
        page = await http.get(f"{system.entries[0].server.url}/metrics")
        assert page.status_code == 200 and "godwit_ticks_failing 0.0" in page.text
