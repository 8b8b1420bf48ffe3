"""A model of patches and their propagation under lost messages and restarts."""

from dataclasses import dataclass, field
from itertools import count
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fakes import FakePlatform, Fate
from godwitmast.config.change import Accepted, Invalid, Patch, Stale, propose
from godwitmast.config.change import Unreachable as Away
from godwitmast.config.machine import ConfigState, catch_up
from godwitmast.config.patch import merge_patch
from godwitmast.config.rows import DELTA_PREFIX, Delta, first_objects, first_rows
from godwitmast.platform_api.steps import Step, Steps, Transact
from models import BROKEN_EXAMPLES, EXPLORED, explore, without_compare

FIRST = {
    "classes": {"question": {"tier": 1, "first_token_s": 1.0}},
    "teams": {"a": {}, "b": {}},
}
OPERATORS = st.integers(0, 1)
NODES = st.integers(0, 2)
FATES = st.sampled_from([Fate.ANSWERED] * 6 + list(Fate))


@dataclass
class Running:
    """A protocol in progress, and the step whose result it waits for."""

    steps: Any
    step: Step | None = None
    outcome: Any = None

    def __post_init__(self) -> None:
        self.advance(None)

    def advance(self, result: Any) -> None:
        try:
            self.step = self.steps.send(result)
        except StopIteration as stop:
            self.step, self.outcome = None, stop.value


@dataclass
class Operator:
    """An operator who reads a version and submits a patch against it."""

    state: ConfigState = field(default_factory=ConfigState)
    patch: Patch | None = None
    running: Running | None = None


class ConfigModel(RuleBasedStateMachine):
    """Two operators who race, and three nodes that follow."""

    def alter(self, steps: Steps) -> Steps:
        """Return the protocol to run; a broken variant changes its steps."""
        return steps

    @initialize()
    def begin(self) -> None:
        self.platform = FakePlatform()
        self.platform.objects |= first_objects(FIRST)
        self.platform.table.transact({}, first_rows(FIRST))
        self.numbers = count(1)
        self.operators = [Operator(), Operator()]
        self.nodes = [ConfigState() for _ in range(3)]
        self.seen = [0, 0, 0]
        self.patches: dict[str, Patch] = {}
        self.outcomes: dict[str, object] = {}
        self.documents: dict[int, object] = {}

    def tick(self) -> None:
        EXPLORED[type(self).__name__] += 1

    @rule(who=OPERATORS, team=st.sampled_from("ab"), weight=st.integers(0, 9))
    def write_a_patch(self, who: int, team: str, weight: int) -> None:
        """Look at the newest number that can be read, and begin a patch against it."""
        self.tick()
        operator = self.operators[who]
        if operator.running is not None:
            return
        if not self.platform.away:
            self.platform.run(catch_up(operator.state))
        body = {"teams": {team: {"weight": weight or None, "concurrency": None}}}
        if weight == 9:
            body = {"teams": {team: {"weight": -1}}}
        name = f"patch-{next(self.numbers)}"
        patch = Patch(name, operator.state.version, body)
        self.patches[name] = patch
        operator.patch = patch
        operator.running = Running(self.alter(propose(operator.state, patch)))

    @rule(who=OPERATORS, fate=FATES)
    def take_a_step(self, who: int, fate: Fate) -> None:
        self.tick()
        operator = self.operators[who]
        running = operator.running
        if running is None or running.step is None:
            return
        running.advance(self.platform.take(running.step, fate))
        if running.step is None:
            self.outcomes[operator.patch.patch_id] = running.outcome
            operator.running = None

    @rule(who=OPERATORS)
    def send_again(self, who: int) -> None:
        """Ask after the last patch, as one does when its answer was lost."""
        self.tick()
        operator = self.operators[who]
        if operator.running is None and operator.patch is not None:
            steps = propose(operator.state, operator.patch)
            operator.running = Running(self.alter(steps))

    @rule(who=OPERATORS)
    def operator_starts_anew(self, who: int) -> None:
        self.tick()
        running = self.operators[who].running
        if running is not None and isinstance(running.step, Transact):
            self.platform.late.append(running.step)
        self.operators[who] = Operator()

    @rule(index=st.integers(0, 5))
    def late_write_arrives(self, index: int) -> None:
        self.tick()
        if self.platform.late:
            self.platform.arrive(index)

    @rule(who=NODES, fate=FATES)
    def node_pulls(self, who: int, fate: Fate) -> None:
        self.tick()
        running = Running(catch_up(self.nodes[who]))
        while running.step is not None:
            running.advance(self.platform.take(running.step, fate))
            fate = Fate.ANSWERED

    @rule(who=NODES, other=NODES, skip=st.integers(0, 1))
    def peer_offers(self, who: int, other: int, skip: int) -> None:
        """Give another node what it lacks, or with a message lost on the way."""
        self.tick()
        source, target = self.nodes[who], self.nodes[other]
        deltas = source.deltas_after(target.version)
        for delta in (deltas or [])[skip:]:
            target.offer_delta(delta)
        snapshot = source.snapshot()
        if deltas is None and snapshot is not None:
            target.adopt(*snapshot)

    @rule(who=NODES)
    def node_restarts_empty(self, who: int) -> None:
        self.tick()
        self.nodes[who] = ConfigState()
        self.seen[who] = 0

    @rule(away=st.sampled_from([False, False, True]))
    def table_goes_or_comes(self, away: bool) -> None:
        self.tick()
        self.platform.away = away

    def accepted(self) -> list[Delta]:
        rows = self.platform.table.scan(DELTA_PREFIX, "", 10**6)
        return [Delta(**row.value) for _, row in rows]

    @invariant()
    def no_patch_wins_silently(self) -> None:
        if not hasattr(self, "platform"):
            return
        accepted = self.accepted()
        assert [d.number for d in accepted] == list(range(1, len(accepted) + 1))
        by_id = {delta.patch_id: delta.number for delta in accepted}
        assert len(by_id) == len(accepted), "a patch was accepted twice"
        for delta in accepted[1:]:
            made_against = self.patches[delta.patch_id].against
            assert made_against == delta.number - 1, "a stale patch won"
        for patch_id, outcome in self.outcomes.items():
            match outcome:
                case Accepted(number):
                    assert by_id.get(patch_id) == number, "accepted, but not there"
                case Stale() | Away() | Invalid():
                    assert patch_id not in by_id, "refused, but there"

    @invariant()
    def nodes_agree_and_never_go_back(self) -> None:
        if not hasattr(self, "platform"):
            return
        document: object = {}
        for delta in self.accepted():
            document = merge_patch(document, delta.patch)
            assert self.documents.setdefault(delta.number, document) == document
        for who, state in enumerate(self.nodes):
            assert state.version >= self.seen[who], "a node went back"
            self.seen[who] = state.version
            if state.current is not None:
                assert state.current.raw == self.documents[state.version]


class WithoutCompare(ConfigModel):
    """Writes its patch whatever was accepted meanwhile."""

    def alter(self, steps: Steps) -> Steps:
        return without_compare(steps)


def test_patches_never_win_silently_and_nodes_never_go_back() -> None:
    explore(ConfigModel)


def test_the_same_model_catches_a_patch_without_compare() -> None:
    with pytest.raises(AssertionError):
        explore(WithoutCompare, examples=BROKEN_EXAMPLES)
