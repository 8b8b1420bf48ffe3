"""Model of claims while entries crash, messages are lost or late, and callers retry."""

from dataclasses import dataclass
from itertools import count
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fakes import FakePlatform, Fate
from godwitmast.claims.machine import (
    RELEASED,
    Answer,
    Call,
    InDoubt,
    Settlement,
    Stored,
)
from godwitmast.claims.machine import (
    BodyMismatch as OtherBody,
)
from godwitmast.claims.machine import (
    ClaimGranted as Won,
)
from godwitmast.claims.machine import (
    Unclaimed as Free,
)
from godwitmast.claims.machine import (
    claim as take,
)
from godwitmast.claims.machine import (
    look_up as look,
)
from godwitmast.platform_api.messages import Row
from godwitmast.platform_api.steps import Failure, PutObject, Rows, Steps, Transact
from models import BROKEN_EXAMPLES, EXPLORED, explore, without_compare

ENTRIES = st.integers(0, 2)
FATES = st.sampled_from([Fate.ANSWERED] * 6 + list(Fate))
LONG = b"x" * 20_000


@dataclass
class Attempt:
    """One arrival of a call at an entry, with its step in flight."""

    call: Call
    steps: Any
    step: Any = None
    phase: str = "look"
    won: Won | None = None
    answer: Answer | None = None


class ClaimModel(RuleBasedStateMachine):
    """Three entries, one service, and a caller that sends one call again and again."""

    def alter(self, steps: Steps) -> Steps:
        """Return the protocol to run; a broken variant changes its steps."""
        return steps

    @initialize()
    def begin(self) -> None:
        self.platform = FakePlatform()
        self.attempts: list[Attempt | None] = [None, None, None]
        self.names = count()
        self.runs: list[bytes] = []
        self.answers: set[bytes] = set()
        self.owed: list[Settlement] = []
        self.refused_bodies = 0

    def tick(self) -> None:
        EXPLORED[type(self).__name__] += 1

    @rule(who=ENTRIES, body=st.sampled_from(["same", "same", "same", "other"]))
    def call_arrives(self, who: int, body: str) -> None:
        self.tick()
        if self.attempts[who] is None:
            call = Call("team", "key-1", body, f"attempt-{next(self.names)}")
            attempt = Attempt(call, self.alter(look(call)))
            self.attempts[who] = attempt
            self.advance(who, None)

    @rule(who=ENTRIES, fate=FATES, times=st.integers(1, 3))
    def take_steps(self, who: int, fate: Fate, times: int) -> None:
        for _ in range(times):
            self.tick()
            attempt = self.attempts[who]
            if attempt is not None and attempt.step is not None:
                self.advance(who, self.platform.take(attempt.step, fate))

    def advance(self, who: int, result: Any) -> None:
        attempt = self.attempts[who]
        try:
            attempt.step = attempt.steps.send(result)
        except StopIteration as stop:
            attempt.step = None
            self.protocol_ended(who, attempt, stop.value)

    def protocol_ended(self, who: int, attempt: Attempt, outcome: Any) -> None:
        match outcome:
            case Free() if attempt.phase == "look":
                attempt.phase = "take"
                attempt.steps = self.alter(take(attempt.call, outcome))
                self.advance(who, None)
            case Won():
                attempt.phase, attempt.won = "won", outcome
            case True | False:
                if not outcome:
                    self.owed.append(self.settlement(attempt))
                self.attempts[who] = None
            case Stored(answer):
                if answer is not None:
                    assert answer.body in self.answers, "an answer nobody gave"
                    assert self.runs, "an answer to a call that never ran"
                self.attempts[who] = None
            case OtherBody() | InDoubt():
                self.attempts[who] = None
            case _:
                if getattr(outcome, "may_stand", False):
                    self.owed.append(Settlement(attempt.call))
                self.attempts[who] = None

    def settlement(self, attempt: Attempt) -> Settlement:
        ran = attempt.phase != "released"
        return Settlement(attempt.call, attempt.won, attempt.answer, ran)

    @rule(
        who=ENTRIES, long=st.booleans(), answered=st.sampled_from([True, True, False])
    )
    def service_runs(self, who: int, long: bool, answered: bool) -> None:
        """Send the call: it runs, and its answer comes or is lost with the server."""
        self.tick()
        attempt = self.attempts[who]
        if attempt is None or attempt.phase != "won":
            return
        body = attempt.call.attempt_id.encode() + (LONG if long else b"")
        self.runs.append(body)
        attempt.phase = "ran"
        if answered:
            attempt.answer = Answer(200, [("a", "b")], body)
            self.answers.add(body)
        self.begin_settling(who, attempt)

    @rule(who=ENTRIES)
    def nothing_was_sent(self, who: int) -> None:
        """No server could be connected to, so the claim is given back."""
        self.tick()
        attempt = self.attempts[who]
        if attempt is not None and attempt.phase == "won":
            attempt.phase = "released"
            self.begin_settling(who, attempt)

    def begin_settling(self, who: int, attempt: Attempt) -> None:
        attempt.steps = self.alter(self.settlement(attempt).steps())
        self.advance(who, None)

    @rule(fate=FATES)
    def settle_what_is_owed(self, fate: Fate) -> None:
        self.tick()
        if not self.owed:
            return
        settlement = self.owed.pop(0)
        steps = settlement.steps()
        step = next(steps)
        try:
            while True:
                step = steps.send(self.platform.take(step, fate))
                fate = Fate.ANSWERED
        except StopIteration as stop:
            if not stop.value:
                self.owed.append(settlement)

    @rule(who=ENTRIES)
    def entry_dies(self, who: int) -> None:
        """What it had in memory is gone, and what it had sent may still arrive."""
        self.tick()
        attempt = self.attempts[who]
        if attempt is not None and isinstance(attempt.step, Transact | PutObject):
            self.platform.late.append(attempt.step)
        self.attempts[who] = None
        self.owed.clear()

    @rule(index=st.integers(0, 5))
    def late_write_arrives(self, index: int) -> None:
        self.tick()
        if self.platform.late:
            self.platform.arrive(index)

    @rule(away=st.sampled_from([False, False, True]))
    def table_goes_or_comes(self, away: bool) -> None:
        self.tick()
        self.platform.away = away

    @invariant()
    def call_ran_at_most_once(self) -> None:
        assert len(getattr(self, "runs", [])) <= 1, f"ran {len(self.runs)} times"

    @invariant()
    def call_that_ran_is_never_free(self) -> None:
        if getattr(self, "runs", None):
            rows = [row.value for row in self.platform.table.rows.values()]
            assert rows and rows[0]["state"] != RELEASED


class ClaimWithExpiry(ClaimModel):
    """Takes a claim that nobody finished for abandoned."""

    def alter(self, steps: Steps) -> Steps:
        result: Any = None
        try:
            while True:
                result = yield steps.send(result)
                if isinstance(result, Rows):
                    rows = {
                        key: Row({**row.value, "state": RELEASED}, row.version)
                        if row.value["state"] == "claimed"
                        else row
                        for key, row in result.rows.items()
                    }
                    result = Rows(rows)
        except StopIteration as stop:
            return stop.value


class ClaimWithoutCompare(ClaimModel):
    """Writes its claim over whatever is there."""

    def alter(self, steps: Steps) -> Steps:
        return without_compare(steps)


def test_claimed_call_runs_at_most_once_whatever_fails() -> None:
    explore(ClaimModel, examples=300)


@pytest.mark.parametrize("broken", [ClaimWithExpiry, ClaimWithoutCompare])
def test_model_finds_the_fault_of_a_broken_claim(broken: type[ClaimModel]) -> None:
    with pytest.raises(AssertionError):
        explore(broken, examples=BROKEN_EXAMPLES)


def test_claim_that_never_ran_is_released_even_if_it_arrives_late() -> None:
    """The entry's claim gets no answer, so the caller is answered "not run".

    The claim is released before its write has arrived. When the write arrives, it must
    not block the caller's next attempt.
    """
    platform = FakePlatform()
    call = Call("team", "key", "body", "attempt-1")
    steps = take(call, Free(0))
    step = next(steps)
    platform.take(step, Fate.DELAYED)
    assert platform.run(Settlement(call).steps()) is True
    platform.arrive(0)
    again = call._replace(attempt_id="attempt-2")
    free = platform.run(look(again))
    assert isinstance(free, Free)
    assert isinstance(platform.run(take(again, free)), Won)


def test_repeat_gets_the_stored_answer_and_another_body_a_conflict() -> None:
    platform = FakePlatform()
    call = Call("team", "key", "body", "attempt-1")
    won = platform.run(take(call, Free(0)))
    assert platform.run(look(call)) == InDoubt(True, 0.0)
    answer = Answer(201, [("x-number", "7")], bytes(range(256)))
    assert platform.run(Settlement(call, won, answer, ran=True).steps()) is True
    assert platform.run(look(call._replace(attempt_id="b"))) == Stored(answer)
    assert platform.run(look(call._replace(body_hash="c"))) == OtherBody()
    assert platform.run(look(call._replace(team="other"))) == Free(0)
    platform.away = True
    assert platform.take(next(look(call))) is Failure.NOT_DONE
