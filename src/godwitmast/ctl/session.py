"""What an operator's command asks of the platform."""

import getpass
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import anyio

from godwitmast.config.change import (
    ChangeOutcome,
    OutcomeUnknown,
    Patch,
    Stale,
    document_at,
    propose,
    read_history,
)
from godwitmast.config.machine import ConfigState, catch_up
from godwitmast.config.rows import Delta
from godwitmast.env import HOSTNAME
from godwitmast.errors import GodwitError
from godwitmast.platform_api.client import PlatformClient
from godwitmast.platform_api.runner import run_steps
from godwitmast.types import Json
from godwitmast.usage.rows import (
    HEAD_KEY,
    NODE_PREFIX,
    REPORTED_KEY,
    NodeRow,
    load_node,
)

WAIT_POLL_S = 0.25
SETTLE_TRIES = 5
EDIT_TRIES = 8


class CommandFailed(GodwitError):
    """A command cannot be carried out; the text says why."""


class Straggler(NamedTuple):
    """An entry that does not say that a number is in force there."""

    node: str
    zone: str
    config: int
    silent: bool


@dataclass
class Waited:
    """How long it took until a number was in force, and where it is not yet."""

    seconds: float
    nodes: int
    stragglers: list[Straggler] = field(default_factory=list)


Edit = Callable[[Json], Json]
"""From the document in force to the merge patch that an operator wants."""


class Session:
    """One operator's use of the platform."""

    def __init__(self, platform: PlatformClient) -> None:
        self.platform = platform
        self.state = ConfigState()

    async def current(self) -> ConfigState:
        """Return the configuration as the table has it now."""
        if not await run_steps(self.platform, catch_up(self.state)):
            raise CommandFailed("the platform does not answer; nothing was changed")
        if self.state.current is None:
            raise CommandFailed("there is no configuration yet")
        return self.state

    async def document(self, number: int | None) -> Json:
        state = await self.current()
        assert state.current is not None, "checked by `current`"
        if number is None or number == state.version:
            return state.current.raw
        document = await run_steps(self.platform, document_at(number))
        if document is None:
            raise CommandFailed(f"version {number} cannot be read")
        return document

    async def history(self, first: int) -> list[Delta]:
        changes = await run_steps(self.platform, read_history(first))
        if changes is None:
            raise CommandFailed("the platform does not answer")
        return changes

    async def patch(self, patch: Patch) -> ChangeOutcome:
        """Send a patch, and again with the same id while its outcome is unknown."""
        outcome: ChangeOutcome = OutcomeUnknown()
        for _ in range(SETTLE_TRIES):
            outcome = await run_steps(self.platform, propose(self.state, patch))
            if not isinstance(outcome, OutcomeUnknown):
                break
            await anyio.sleep(0.5)
        return outcome

    async def edit(self, make: Edit, reason: str) -> ChangeOutcome:
        """Make a patch against whatever is in force, and anew after a conflict.

        Only for changes that mean the same whatever others changed meanwhile, such as
        withdrawing one key.
        """
        outcome: ChangeOutcome = OutcomeUnknown()
        for _ in range(EDIT_TRIES):
            state = await self.current()
            assert state.current is not None, "checked by `current`"
            patch = new_patch(state.version, make(state.current.raw), reason)
            outcome = await self.patch(patch)
            if not isinstance(outcome, Stale):
                break
        return outcome

    async def nodes(self) -> list[NodeRow]:
        """Return the rows of the entries that have not ended."""
        rows = await self.platform.scan(NODE_PREFIX)
        nodes = [load_node(row.value) for row in rows.values()]
        return [node for node in nodes if not node.ended]

    async def zones(self) -> set[str]:
        """Return the availability zones of entries and configured backend servers."""
        document = await self.document(None)
        servers = document.get("backends", {}).values()
        entries = await self.nodes()
        return {item["zone"] for item in servers} | {node.zone for node in entries}

    async def usage_windows(self) -> tuple[int | None, int | None]:
        """Return the starts of the windows last frozen and last reported."""
        rows = await self.platform.read([HEAD_KEY, REPORTED_KEY])
        frozen = rows[HEAD_KEY].value["frozen"] if HEAD_KEY in rows else None
        sent = rows[REPORTED_KEY].value["start"] if REPORTED_KEY in rows else None
        return frozen, sent

    async def wait(self, number: int, timeout_s: float) -> Waited:
        """Wait until every entry says that `number` is in force there."""
        begun = time.monotonic()
        first: dict[str, int] = {}
        while True:
            nodes = await self.nodes()
            for node in nodes:
                first.setdefault(node.incarnation, node.sequence)
            behind = [
                Straggler(n.node, n.zone, n.config, first[n.incarnation] == n.sequence)
                for n in nodes
                if n.config < number
            ]
            waited = time.monotonic() - begun
            if not behind or waited > timeout_s:
                return Waited(waited, len(nodes), behind)
            await anyio.sleep(WAIT_POLL_S)


def new_patch(against: int, body: Json, reason: str, patch_id: str = "") -> Patch:
    """Return a patch with an id of its own and its author's name."""
    author = f"{getpass.getuser()}@{HOSTNAME}"
    name = patch_id or secrets.token_hex(8)
    return Patch(name, against, body, author, time.time(), reason)
