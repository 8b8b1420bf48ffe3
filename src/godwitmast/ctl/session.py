"""Reads and changes of the configuration by an operator's command."""

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
    Unreachable,
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
    latest_runs,
    load_node,
)

WAIT_POLL_INTERVAL_S = 0.25
PATCH_ATTEMPTS = 5
RETRY_S = 0.5
EDIT_ATTEMPTS = 8


class CommandFailed(GodwitError):
    """A command cannot be carried out; the message says why."""


class Straggler(NamedTuple):
    """An entry that has not reported the awaited version as in force."""

    node: str
    zone: str
    config: int
    silent: bool


@dataclass
class WaitResult:
    """How long it took until a version was in force, and the entries where it is not."""

    seconds: float
    nodes: int
    stragglers: list[Straggler] = field(default_factory=list)


Edit = Callable[[Json], Json]
"""Builds an operator's merge patch from the document in force."""


class Session:
    """One command's access to the platform."""

    def __init__(self, platform: PlatformClient) -> None:
        self.platform = platform
        self.state = ConfigState()

    async def current(self) -> ConfigState:
        """Return the configuration that the table holds now."""
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
        """Send a patch, and resend it with the same id while its outcome is unknown.

        If the platform is then unreachable, the outcome of the write before stays unknown.
        """
        outcome: ChangeOutcome = OutcomeUnknown()
        sent = False
        for _ in range(PATCH_ATTEMPTS):
            outcome = await run_steps(self.platform, propose(self.state, patch))
            if isinstance(outcome, OutcomeUnknown):
                sent = True
            elif sent and isinstance(outcome, Unreachable):
                outcome = OutcomeUnknown()
            else:
                break
            await anyio.sleep(RETRY_S)
        return outcome

    async def edit(self, make: Edit, reason: str) -> ChangeOutcome:
        """Build a patch against the version in force, and rebuild it after a conflict.

        Only for changes whose meaning does not depend on concurrent changes, such as
        withdrawing one key.
        """
        outcome: ChangeOutcome = OutcomeUnknown()
        for _ in range(EDIT_ATTEMPTS):
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
        nodes = latest_runs((load_node(r.value), r.version) for r in rows.values())
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
        reported = rows[REPORTED_KEY].value["start"] if REPORTED_KEY in rows else None
        return frozen, reported

    async def wait(self, number: int, timeout_s: float) -> WaitResult:
        """Wait until every entry reports that version `number` is in force."""
        started = time.monotonic()
        first_sequence: dict[str, int] = {}
        while True:
            nodes = await self.nodes()
            for node in nodes:
                first_sequence.setdefault(node.incarnation, node.sequence)
            behind = [
                Straggler(
                    n.node,
                    n.zone,
                    n.config,
                    first_sequence[n.incarnation] == n.sequence,
                )
                for n in nodes
                if n.config < number
            ]
            waited = time.monotonic() - started
            if not behind or waited > timeout_s:
                return WaitResult(waited, len(nodes), behind)
            await anyio.sleep(WAIT_POLL_INTERVAL_S)


def new_patch(against: int, body: Json, reason: str, patch_id: str = "") -> Patch:
    """Return a patch with the author's name, and a random id unless one is given."""
    author = f"{getpass.getuser()}@{HOSTNAME}"
    name = patch_id or secrets.token_hex(8)
    return Patch(name, against, body, author, time.time(), reason)
