"""This VM's outcomes on each server in the last seconds.

Load pattern: an engine gets one request of a VM in half a minute, so that a VM alone
sees a failing engine once. Counts of a short window, and the order of the latest
outcomes, are what VMs can add up.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from godwitmast.measurements.messages import MAX_AGE_S, Outcomes
from godwitmast.peers.rendezvous import short_hash
from godwitmast.types import BackendId

WINDOW_S = 4.0
"""Outcomes older than this don't count: long enough for 15 requests of all VMs to one
engine, shorter than the fault of 5 s that they are to show."""

SLOT_S = 0.5
MAX_FINGERPRINTS = 512
"""Failed requests that are remembered: some seconds of 60 failures a second."""


class Start(NamedTuple):
    """One start of a server."""

    backend_id: BackendId
    incarnation: int


class Failed(NamedTuple):
    """A request that a server answered with an error of its own.

    `is_repeated` says that it failed on another server before.
    """

    fingerprint: str
    started_at: float
    is_soon: bool = False
    is_repeated: bool = False


@dataclass(slots=True)
class Slot:
    """Outcomes in one slot of the window."""

    number: int
    completed: int = 0
    failed: int = 0
    failed_soon: int = 0


@dataclass(slots=True)
class ServerLog:
    """Outcomes of this VM's requests on one start of a server."""

    slots: deque[Slot] = field(default_factory=deque)
    success_at: float = -math.inf
    failure_at: float = -math.inf
    failure: Failed | None = None

    @property
    def is_failing(self) -> bool:
        """Return whether no request that started later than a failed one succeeded."""
        return self.failure_at > self.success_at

    def slot(self, now: float) -> Slot:
        """Return the present slot, after dropping old ones."""
        number = int(now / SLOT_S)
        while self.slots and self.slots[0].number <= number - WINDOW_S / SLOT_S:
            self.slots.popleft()
        if not self.slots or self.slots[-1].number != number:
            self.slots.append(Slot(number))
        return self.slots[-1]

    def outcomes(self, now: float) -> Outcomes:
        """Return the counts of the window and the ages of the latest outcomes."""
        self.slot(now)
        soon = self.failure is not None and self.failure.is_soon
        return Outcomes(
            sum(slot.completed for slot in self.slots),
            sum(slot.failed for slot in self.slots),
            sum(slot.failed_soon for slot in self.slots),
            age_s(self.success_at, now),
            age_s(self.failure_at, now),
            last_failed_soon=soon,
            failed_request=short_hash(self.failure.fingerprint) if self.failure else 0,
        )


class OutcomeLog:
    """Outcomes by server, and the requests that failed on one."""

    def __init__(self) -> None:
        self.servers: dict[Start, ServerLog] = {}
        self.failed_on: OrderedDict[str, tuple[Start, float]] = OrderedDict()
        self.has_new_failures = False
        """A server that worked on this VM fails since the reports were last taken."""
        self.on_new_failure: Callable[[], None] = lambda: None

    def of(self, server: Start) -> ServerLog:
        return self.servers.setdefault(server, ServerLog())

    def record_success(self, server: Start, started_at: float, now: float) -> None:
        log = self.of(server)
        log.slot(now).completed += 1
        log.success_at = max(log.success_at, started_at)

    def record_failure(self, server: Start, failed: Failed, now: float) -> bool:
        """Count a failure; return whether it says something of the server.

        A request that fails on several servers is itself the cause, also if its caller
        sends it again as a new one.
        """
        if failed.is_repeated or self.failed_elsewhere(server, failed.fingerprint, now):
            return False
        log = self.of(server)
        if not log.is_failing:
            self.has_new_failures = True
            self.on_new_failure()
        slot = log.slot(now)
        slot.failed += 1
        slot.failed_soon += failed.is_soon
        if failed.started_at >= log.failure_at:
            log.failure_at, log.failure = failed.started_at, failed
        return True

    def failed_elsewhere(self, server: Start, fingerprint: str, now: float) -> bool:
        """Return whether the request failed on another server; its failure there is
        withdrawn."""
        if not fingerprint:
            return False
        first, at = self.failed_on.get(fingerprint, (server, now))
        if first != server and at > now - WINDOW_S:
            self.withdraw(first, fingerprint)
            return True
        self.failed_on[fingerprint] = (server, now)
        self.failed_on.move_to_end(fingerprint)
        if len(self.failed_on) > MAX_FINGERPRINTS:
            self.failed_on.popitem(last=False)
        return False

    def withdraw(self, server: Start, fingerprint: str) -> None:
        """Take back the latest failure on a server if it was of this request."""
        log = self.servers.get(server)
        if log is None or log.failure is None:
            return
        if log.failure.fingerprint == fingerprint:
            log.failure_at, log.failure = -math.inf, None

    def pop_new_failures(self) -> bool:
        """Return whether a server began to fail since the last call."""
        found, self.has_new_failures = self.has_new_failures, False
        return found

    def reports(self, now: float) -> dict[Start, Outcomes]:
        """Return the outcomes on servers that had any in the window; drop the others."""
        found = {server: log.outcomes(now) for server, log in self.servers.items()}
        current = {k: item for k, item in found.items() if item.completed + item.failed}
        self.servers = {server: self.servers[server] for server in current}
        return current


def age_s(at: float, now: float) -> float:
    return min(MAX_AGE_S, max(0.0, now - at))
