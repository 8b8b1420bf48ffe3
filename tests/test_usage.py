"""Usage, from answers to callers to the platform's intake."""

from typing import Any

import anyio
import httpx
import pytest
from prometheus_client import CollectorRegistry

from fakes import ORDERS_LEASE, FakeGuard, FakePlatform, KnowingPlatform
from godwitmast.dev.document import MODEL, dev_key
from godwitmast.dev.system import DevSystem
from godwitmast.errors import PlatformUnavailable
from godwitmast.platform_api.epoch import TableEpoch, make_version
from godwitmast.platform_api.steps import (
    Failure,
    GetObject,
    PutObject,
    Read,
    Scan,
    Step,
    Transact,
)
from godwitmast.usage.duty import UsageDuty
from godwitmast.usage.journal import MAX_SEGMENTS, FlushOutcome, Journal
from godwitmast.usage.meter import UsageKey, UsageSum
from godwitmast.usage.rows import (
    REPORTED_KEY,
    UsageHead,
    decode_window,
    dump_node,
    load_node,
)
from godwitmast.usage.windows import (
    FreezeOutcome,
    Frozen,
    NotDue,
    UsageTiming,
    freeze_next,
)
from running import running

pytestmark = pytest.mark.anyio

BEARER = {"Authorization": f"Bearer {dev_key('arima')}"}
KEY = UsageKey("arima", "question", MODEL)
TIMING = UsageTiming(window_s=10, flush_s=1, grace_s=6, seal_s=6)


async def test_clean_stop_leaves_all_usage_in_the_table(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    async with running(system):
        entry = system.entries[0]
        url = f"{entry.server.url}/v1/chat/completions"
        body = {"model": MODEL, "messages": [{"role": "user", "content": "length=5"}]}
        for _ in range(4):
            answer = await http.post(url, headers=BEARER, json=body)
            assert answer.status_code == 200
        system.entries.clear()
        await entry.close()
        row = system.platform.table.read([entry.journal.key])[entry.journal.key]
        written = load_node(row.value)
        assert written.ended
        sums = [sums[KEY] for sums in written.segments.values()]
        assert sum(s.requests for s in sums) == 4
        assert sum(s.output_tokens for s in sums) == 20


async def test_node_row_publishes_the_configuration_in_one_write(
    system: DevSystem,
) -> None:
    async with running(system):
        entry = system.entries[0]
        with anyio.fail_after(10):
            while entry.journal.last is None or entry.journal.last.config != 1:
                await anyio.sleep(0.02)


def test_long_outage_is_bounded_in_memory_and_loses_nothing() -> None:
    """The table is unreachable for a day of one-minute windows, under constant load.

    Only windows that were never sent may be merged, as usage that may already be in a
    frozen window would be billed twice. No usage is lost when the table recovers.
    """
    platform = FakePlatform()
    journal = Journal("entry-1", "a", 60)
    assert platform.run(journal.flush(0.0)) is FlushOutcome.WRITTEN
    platform.away = True
    for minute in range(24 * 60):
        journal.add(KEY, UsageSum(1, 2, 3), minute * 60.0)
        platform.run(journal.flush(minute * 60.0))
        if minute % 100 == 0:
            steps = journal.flush(minute * 60.0)
            next(steps)
            steps.send(Failure.UNKNOWN)
            steps.close()
    assert len(journal.segments) <= MAX_SEGMENTS + 1
    platform.away = False
    while not (journal.last and journal.last.ended and journal.holds_all):
        platform.run(journal.flush(90_000.0, ended=True))
    row = load_node(platform.table.read([journal.key])[journal.key].value)
    assert sum(sums[KEY].requests for sums in row.segments.values()) == 24 * 60


class FakeClock:
    """A clock that moves only when a test sets it."""

    def __init__(self, at: float) -> None:
        self.at = at

    def now(self) -> float:
        return self.at

    def wall(self) -> float:
        return self.at


class Windows:
    """Helpers that act as entries and as the holder of the usage duty on one table."""

    def __init__(self, platform: FakePlatform | None = None) -> None:
        self.platform = platform or FakePlatform()
        head = UsageHead(990, {})._asdict()
        self.platform.table.transact({}, {"usage/head": head})

    def entry(self, node: str, at: float) -> Journal:
        """Return the journal of an entry that started with one request at `at`."""
        journal = Journal(node, "a", TIMING.window_s)
        journal.add(KEY, UsageSum(1, 2, 3), at)
        self.write(journal, at)
        self.write(journal, at)
        return journal

    def write(self, journal: Journal, at: float) -> FlushOutcome:
        return self.platform.run(journal.flush(at))

    def freeze(self, at: float) -> FreezeOutcome:
        return self.platform.run(freeze_next({}, at, TIMING))

    def billed(self) -> int:
        """Return the requests in the last frozen window."""
        name = max(self.platform.objects)
        figures = decode_window(self.platform.objects[name]).figures
        return sum(row[3] for row in figures)


@pytest.fixture
def windows() -> Windows:
    return Windows()


def test_window_is_frozen_as_soon_as_every_entry_is_past_it(windows: Windows) -> None:
    """A holder that waited for the whole grace could fail meanwhile and report late."""
    entries = [windows.entry(f"e{n}", 1005.0) for n in range(3)]
    assert isinstance(windows.freeze(1009.0), NotDue)
    for entry in entries:
        windows.write(entry, 1011.0)
    assert windows.freeze(1011.6) == Frozen(1000, 3, late=False)


def test_entry_that_the_table_turns_away_is_waited_for(windows: Windows) -> None:
    """The table refuses one of two entries from before a window's end until 5 s after.

    If the window were frozen without that entry, its requests would be missing there
    and would be billed in a later window."""
    entry, away = windows.entry("e1", 1005.0), windows.entry("e2", 1005.0)
    away.add(KEY, UsageSum(1, 2, 3), 1006.0)
    windows.write(entry, 1011.0)
    for at in (1011.6, 1013.0, 1014.9):
        outcome = windows.freeze(at)
        assert isinstance(outcome, NotDue) and outcome.wait_s <= 0.5
    windows.write(away, 1015.0)
    assert windows.freeze(1015.1) == Frozen(1000, 2, late=False)
    assert windows.billed() == 3


def test_window_does_not_wait_for_a_superseded_run(
    windows: Windows,
) -> None:
    """A process is killed and restarted; usage that it had written is billed in time."""
    killed = windows.entry("e1", 1005.0)
    windows.write(Journal("e1", "a", TIMING.window_s), 1011.0)
    sealed_runs = (killed.incarnation,)
    assert windows.freeze(1011.6) == Frozen(
        1000, 1, late=False, sealed_runs=sealed_runs
    )
    assert windows.billed() == 1


def test_window_waits_for_a_dead_entry_no_longer_than_the_grace(
    windows: Windows,
) -> None:
    dead = windows.entry("e1", 1005.0)
    assert isinstance(windows.freeze(1015.9), NotDue)
    sealed_runs = (dead.incarnation,)
    assert windows.freeze(1016.0) == Frozen(
        1000, 1, late=False, sealed_runs=sealed_runs
    )
    assert windows.billed() == 1


def test_entry_whose_row_was_sealed_bills_only_usage_that_the_row_lacks(
    windows: Windows,
) -> None:
    """An entry is suspended past the grace and resumes with one unwritten request."""
    entry = windows.entry("e1", 1005.0)
    entry.add(KEY, UsageSum(1, 2, 3), 1006.0)
    assert isinstance(windows.freeze(1016.0), Frozen)
    assert windows.write(entry, 1017.0) is FlushOutcome.SEALED
    windows.write(entry, 1018.0)
    windows.write(entry, 1021.0)
    windows.write(entry, 1022.0)
    assert isinstance(windows.freeze(1022.0), Frozen)
    assert windows.billed() == 1


def test_first_row_of_a_run_declares_no_window_with_unwritten_figures_final(
    windows: Windows,
) -> None:
    """An entry starts while the table refuses it, and its first write only creates its row.

    If that row declared earlier windows final, a freeze before the next write would
    take them as empty, and their usage would be lost."""
    entry = Journal("e1", "a", TIMING.window_s)
    entry.add(KEY, UsageSum(1, 2, 3), 1005.0)
    windows.write(entry, 1012.0)
    assert isinstance(windows.freeze(1012.1), NotDue)
    windows.write(entry, 1012.2)
    assert windows.freeze(1012.3) == Frozen(1000, 1, late=False)
    assert windows.billed() == 1


def test_superseded_run_is_sealed_even_just_after_an_outage(
    windows: Windows,
) -> None:
    """A VM restarts during an outage.

    Waiting for usage that its old run had buffered would delay the window for nothing,
    as that run has ended."""
    killed = windows.entry("e1", 1005.0)
    windows.write(Journal("e1", "a", TIMING.window_s), 1020.0)
    steps = freeze_next({}, 1020.1, TIMING, may_seal=False)
    sealed_runs = (killed.incarnation,)
    assert windows.platform.run(steps) == Frozen(
        1000, 1, late=False, sealed_runs=sealed_runs
    )


def test_entries_are_not_sealed_while_they_write_after_an_outage(
    windows: Windows,
) -> None:
    """The table is unreachable for longer than the grace, and the holder is first to reach it.

    If the holder took every entry for dead, it would bill nothing of what they had
    buffered."""
    entries = [windows.entry(f"e{n}", 1005.0) for n in range(2)]
    for entry in entries:
        entry.add(KEY, UsageSum(1, 2, 3), 1006.0)
    steps = freeze_next({}, 1020.0, TIMING, may_seal=False)
    assert isinstance(windows.platform.run(steps), NotDue)
    for entry in entries:
        windows.write(entry, 1020.5)
    steps = freeze_next({}, 1021.0, TIMING, may_seal=False)
    assert windows.platform.run(steps) == Frozen(1000, 2, late=False)
    assert windows.billed() == 4


def test_next_window_waits_for_an_entry_whose_row_was_sealed(
    windows: Windows,
) -> None:
    """An entry is disconnected for longer than the grace of its current window.

    Its row is sealed, so the next window looks complete. Frozen at once, it would lack
    the usage that the entry writes when it reconnects a second later."""
    stays, away = windows.entry("e1", 1005.0), windows.entry("e2", 1005.0)
    for at in (1011.0, 1021.0):
        windows.write(stays, at)
    away.add(KEY, UsageSum(1, 2, 3), 1012.0)
    assert isinstance(windows.freeze(1022.0), Frozen)
    assert isinstance(windows.freeze(1022.1), NotDue)
    assert windows.write(away, 1023.0) is FlushOutcome.SEALED
    windows.write(away, 1023.1)
    windows.write(away, 1023.2)
    assert windows.freeze(1023.3) == Frozen(1010, 1, late=False)
    assert windows.billed() == 1


def test_dead_entry_does_not_delay_later_windows(windows: Windows) -> None:
    stays = windows.entry("e1", 1005.0)
    away = windows.entry("e2", 1005.0)
    windows.write(stays, 1061.0)
    sealed_runs = (away.incarnation,)
    assert windows.freeze(1061.0) == Frozen(
        1000, 2, late=False, sealed_runs=sealed_runs
    )
    for start in range(1010, 1050, 10):
        assert windows.freeze(1061.0) == Frozen(start, 0, late=False)
    windows.write(stays, 1071.0)
    assert isinstance(windows.freeze(1071.6), Frozen)


class Intake:
    """A platform whose table can be unreachable while its intake accepts reports."""

    def __init__(self, platform: FakePlatform) -> None:
        self.platform = platform
        self.reports: list[int] = []
        self.reads = 0

    def ask(self, step: Step) -> Any:
        if isinstance(step, Read | Scan | GetObject):
            self.reads += 1
        result = self.platform.take(step)
        if isinstance(result, Failure):
            raise PlatformUnavailable("away")
        return result

    async def read(self, keys: list[str]) -> Any:
        return self.ask(Read(keys)).rows

    async def scan(self, prefix: str, after: str = "") -> Any:
        return self.ask(Scan(prefix, after)).rows

    async def transact(self, checks: Any, writes: Any) -> Any:
        return self.ask(Transact(checks, writes))

    async def get_object(self, name: str) -> Any:
        return self.ask(GetObject(name)).content

    async def put_object(self, name: str, content: bytes) -> None:
        self.ask(PutObject(name, content))

    async def report_usage(self, report: Any, before_write: Any) -> None:
        self.reports.append(report["start"])


async def test_window_is_reported_though_the_table_goes_away_once_it_is_frozen(
    windows: Windows,
) -> None:
    """The table becomes unreachable just after a window was frozen.

    If the figures had to be read from the table before they were sent, the report would
    be delayed until after the outage, too late."""
    clock = FakeClock(1011.6)
    intake = Intake(windows.platform)
    duty = UsageDuty(intake, clock, TIMING, CollectorRegistry())
    guard = FakeGuard(0)
    entry = windows.entry("e1", 1005.0)
    windows.write(entry, 1011.0)
    assert await duty.freeze(guard)
    await duty.report(guard)
    assert intake.reports == [1000]
    windows.write(entry, 1021.0)
    clock.at = 1021.6
    assert await duty.freeze(guard)
    windows.platform.away = True
    reads = intake.reads
    await duty.report(guard)
    assert intake.reports == [1000, 1010]
    assert intake.reads == reads
    windows.platform.away = False
    await duty.report(guard)
    assert intake.reports == [1000, 1010]
    assert windows.platform.table.rows[REPORTED_KEY].value["start"] == 1010
    assert not duty.report_pending


def reclaimed_guard(platform: KnowingPlatform) -> FakeGuard:
    """Return a guard whose lease was claimed in the platform's present epoch."""
    _, versions = platform.table.transact({}, {ORDERS_LEASE: {}})
    version = make_version(platform.epoch, versions[ORDERS_LEASE])
    return FakeGuard(version, reclaimed=True)


async def test_window_waits_for_an_entry_whose_row_a_restore_lost() -> None:
    """Guards against usage of entries that started in the lost seconds."""
    platform = KnowingPlatform()
    windows = Windows(platform)
    clock = FakeClock(1011.6)
    epoch = TableEpoch(clock)
    epoch.observe(1)
    duty = UsageDuty(Intake(platform), clock, TIMING, CollectorRegistry(), epoch=epoch)
    entry = windows.entry("e1", 1005.0)
    windows.write(entry, 1011.0)
    assert await duty.freeze(reclaimed_guard(platform))
    backup = platform.backup()
    late = Journal("e2", "a", TIMING.window_s, epoch=lambda: platform.epoch)
    late.add(KEY, UsageSum(1, 2, 3), 1012.0)
    for _ in range(2):
        platform.run(late.flush(1013.0))
    platform.restore(backup)
    epoch.observe(2)
    guard = reclaimed_guard(platform)
    clock.at = 1021.6
    for _ in range(2):
        platform.run(entry.flush(clock.at))
    assert await duty.freeze(guard)
    assert 1010 not in duty.ledger.windows
    assert platform.run(late.flush(clock.at)) is FlushOutcome.LOST
    for _ in range(2):
        assert platform.run(late.flush(clock.at)) is FlushOutcome.WRITTEN
    clock.at += TIMING.recovery_s
    assert await duty.freeze(guard)
    [figures] = duty.ledger.windows[1010].window.figures
    assert figures[3] == 1


async def test_entry_that_was_killed_and_started_again_counts_once(
    windows: Windows,
) -> None:
    """Guards against what all entries share that is divided among too many, and open
    requests that are counted twice, until the rows of killed runs are sealed."""
    intake = Intake(windows.platform)
    duty = UsageDuty(intake, FakeClock(1005.0), TIMING, CollectorRegistry())
    windows.entry("e1", 1005.0)
    runs = [Journal("e2", "a", TIMING.window_s) for _ in range(3)]
    for load, run in enumerate(runs):
        windows.platform.run(run.flush(1005.0, load={"open": load}))
    await duty.watch_rows(FakeGuard(0))
    assert len(duty.watched_rows) == 4
    assert sorted(map(str, duty.loads())) == ["{'open': 2}", "{}"]
    assert runs[0].last is not None
    sealed = runs[0].last._replace(ended=True, sealed=True)
    windows.platform.table.transact({}, {runs[0].key: dump_node(sealed)})
    await duty.watch_rows(FakeGuard(0))
    assert sorted(map(str, duty.loads())) == ["{'open': 2}", "{}"]
    windows.platform.run(runs[2].flush(1006.0, ended=True))
    await duty.watch_rows(FakeGuard(0))
    assert duty.loads() == [{}]
