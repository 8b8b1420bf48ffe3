"""The life cycle that all daemon processes share."""

import gc
import os
import signal

import anyio
import pytest
from anyio.abc import TaskGroup

from godwitmast.daemons import run_until_signal

pytestmark = pytest.mark.anyio


class StoppedDaemon:
    """A daemon that is told to stop as soon as it has started."""

    frozen_at_close = 0

    async def start(self, tasks: TaskGroup) -> None:
        os.kill(os.getpid(), signal.SIGTERM)

    async def close(self) -> None:
        self.frozen_at_close = gc.get_freeze_count()


async def test_full_collections_do_not_visit_what_was_there_at_the_start() -> None:
    """Guards against collections that visit all modules while every answer waits: they
    stopped small VMs for half a second."""
    daemon = StoppedDaemon()
    try:
        await run_until_signal(lambda: daemon)
    finally:
        gc.unfreeze()
    assert daemon.frozen_at_close > 0


class ClosingDaemon(StoppedDaemon):
    """A daemon that gets another signal while it closes."""

    def __init__(self, signum: signal.Signals) -> None:
        self.signum = signum
        self.is_closed = False

    async def close(self) -> None:
        os.kill(os.getpid(), self.signum)
        await anyio.sleep(0.2)
        self.is_closed = True


@pytest.mark.parametrize(
    "signum, is_closed",
    [(signal.SIGTERM, True), (signal.SIGHUP, True), (signal.SIGINT, False)],
)
async def test_signal_during_the_stop_cuts_no_requests_unless_it_is_an_interrupt(
    signum: signal.Signals, is_closed: bool
) -> None:
    """Guards against requests that a repeated SIGTERM cuts within the grace."""
    daemon = ClosingDaemon(signum)
    try:
        await run_until_signal(lambda: daemon)
    finally:
        gc.unfreeze()
    assert daemon.is_closed == is_closed
