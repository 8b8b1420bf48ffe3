"""Soft state that entries tell each other: load, service, crashes, leaving servers."""

from collections.abc import Iterable

import msgspec

from godwitmast.admission.service import ServiceKey, ServiceReport
from godwitmast.clock import Clock
from godwitmast.config.document import Backend
from godwitmast.dispatch.messages import (
    Clearance,
    LoadReport,
    Placement,
    PoisonNews,
    Quarantine,
    Suspicion,
)
from godwitmast.dispatch.router import Router
from godwitmast.entry.driver import RouterDriver
from godwitmast.logs import log_event
from godwitmast.peers.driver import PeerDriver
from godwitmast.peers.messages import LoadEntry, Record, Topic
from godwitmast.peers.rendezvous import choose_pollers, short_hash
from godwitmast.types import BackendId, ClassName, PoolName, TeamName

LOAD_EVERY_S = 1.0
LOAD_PER_NODE_S = 0.08
SERVICE_EVERY_S = 3.0
SERVICE_PER_NODE_S = 0.4
"""Told this often, or this long for each node of the zone if that is longer: every
node hears every other of its zone, so the pause between two tellings grows with the
zone to keep the bytes flat. At fifty nodes load is told every 4 s, service every 20 s;
load also rides on every answer, and service only evens out shares over minutes."""

LEFT_PERIODS = 10
"""A told load is forgotten after so many periods without a newer one."""

HEAVY_KEYS = 6
"""Only what took most of the service is told: a team with little to its name cannot be
far over its share."""

MAX_ORIGINS = 512
LEAVING_LEFT_S = 300.0
QUARANTINE_LEFT_S = 600.0
CRASH_LEFT_S = 120.0
PLACEMENT_LEFT_S = 10.0
SEPARATOR = "\x1f"


class LoadSpreading:
    """Polls the backend servers that fall to this node, and tells the zone."""

    def __init__(self, router: RouterDriver, peers: PeerDriver, clock: Clock) -> None:
        self.router = router
        self.peers = peers
        self.clock = clock
        self.seen: dict[str, tuple[LoadReport, float]] = {}
        self.heard: dict[int, float] = {}
        self.told_at = 0.0
        self.named: dict[str, Backend] = {}
        self.names: dict[int, str] = {}
        router.polls = self.polls
        router.load_listeners.append(self.polled)

    def pollers(self, backend_id: str) -> list[str]:
        """Return the two nodes of the zone that poll a backend server."""
        machine = self.peers.machine
        return choose_pollers(backend_id, machine.zone_nodes() if machine else [])

    def polls(self, backend_id: BackendId) -> bool:
        """Return whether this node polls a backend server.

        Only those of the own zone are polled: a zone of fifty nodes that polled all
        850 would ask each of them more than they answer requests. What work elsewhere
        needs to know of a server comes with its answers.
        """
        backend = self.router.backends.get(backend_id)
        if backend is None or backend.zone != self.peers.zone:
            return False
        return self.peers.node in self.pollers(backend_id)

    def polled(self, backend_id: BackendId, report: LoadReport) -> None:
        self.seen[backend_id] = (report, self.clock.now())

    def tell(self) -> None:
        """Tell the zone what was polled since the last time.

        The second poller of a server tells only when the first has fallen silent, so
        that a poller which died or was cut off leaves no gap.
        """
        machine = self.peers.machine
        now = self.clock.now()
        period = max(LOAD_EVERY_S, LOAD_PER_NODE_S * len(self.zone_nodes))
        if machine is None or now - self.told_at < period:
            return
        self.told_at = now
        entries = tuple(
            load_entry(backend_id, report, now - at)
            for backend_id, (report, at) in self.seen.items()
            if self.is_teller(backend_id, now, 3 * period)
        )
        self.seen = {}
        if entries:
            left_s = LEFT_PERIODS * period
            self.peers.tell(Topic.LOAD, self.peers.node, entries, left_s)

    @property
    def zone_nodes(self) -> list[str]:
        return self.peers.machine.zone_nodes() if self.peers.machine else []

    def is_teller(self, backend_id: str, now: float, silence_s: float) -> bool:
        first = self.pollers(backend_id)[:1] == [self.peers.node]
        heard_at = self.heard.get(short_hash(backend_id), 0.0)
        return first or now - heard_at > silence_s

    def take(self, record: Record) -> None:
        """Hand the router what another node polled."""
        now = self.clock.now()
        self.learn_names()
        for entry in record.value:
            name = self.names.get(entry.backend_hash)
            if name is None:
                continue
            self.heard[entry.backend_hash] = now
            report = LoadReport(
                entry.running,
                entry.waiting,
                entry.tokens_per_s,
                entry.age_tenths / 10,
            )
            self.router.load_reported(BackendId(name), report)

    def learn_names(self) -> None:
        """Look the hashes of the backend servers up once for each configuration.

        A node of 350 is told of load a dozen times a second, of 850 servers.
        """
        if self.named is self.router.backends:
            return
        self.named = self.router.backends
        self.names = {short_hash(name): name for name in self.named}
        kept = {key: at for key, at in self.heard.items() if key in self.names}
        self.heard = kept


def load_entry(backend_id: str, report: LoadReport, waited_s: float) -> LoadEntry:
    return LoadEntry(
        short_hash(backend_id),
        min(report.running, 65_535),
        min(report.waiting, 65_535),
        min(int(report.tokens_per_s), 10_000_000),
        int(10 * min(report.age_s + waited_s, 600.0)),
    )


class ServiceSpreading:
    """Tells what the heaviest teams were served here, and counts others' service.

    Totals are told and not increases, so that one told fact which is overtaken by the
    next loses nothing.
    """

    def __init__(self, router: RouterDriver, peers: PeerDriver, clock: Clock) -> None:
        self.router = router
        self.peers = peers
        self.clock = clock
        self.totals: dict[ServiceKey, tuple[int, float]] = {}
        self.heard: dict[str, dict[str, tuple[int, float]]] = {}
        self.told_at = 0.0

    def tell(self) -> None:
        machine = self.peers.machine
        router = self.router.router
        now = self.clock.now()
        count = len(machine.zone_nodes()) if machine else 0
        period = max(SERVICE_EVERY_S, SERVICE_PER_NODE_S * count)
        if not isinstance(router, Router) or now - self.told_at < period:
            return
        self.told_at = now
        reports = router.admission.take_service()
        for report in reports:
            requests, tokens = self.totals.get(report.key, (0, 0.0))
            total = (requests + report.requests, tokens + report.tokens)
            self.totals[report.key] = total
        heavy = sorted(reports, key=lambda item: item.tokens, reverse=True)[:HEAVY_KEYS]
        if heavy:
            value = {
                SEPARATOR.join(item.key): rounded(self.totals[item.key])
                for item in heavy
            }
            left_s = LEFT_PERIODS * period
            self.peers.tell(Topic.SERVICE, self.peers.node, value, left_s)

    def take(self, record: Record) -> None:
        """Count what a peer served since it last told of it.

        The first totals of a peer are only noted: they reach back to its start, and
        charging them at once would push its teams behind for what is long past.
        """
        router = self.router.router
        if not isinstance(router, Router):
            return
        known = self.heard.get(record.key)
        if known is None and len(self.heard) >= MAX_ORIGINS:
            self.heard.pop(next(iter(self.heard)))
        for text, total in record.value.items():
            parts = text.split(SEPARATOR)
            before = (known or {}).get(text, (0, 0.0))
            if before[1] > total[1]:
                before = (0, 0.0)  # The peer began anew.
            if known is not None and len(parts) == 3:
                key = ServiceKey(
                    TeamName(parts[0]), ClassName(parts[1]), PoolName(parts[2])
                )
                requests = max(0, total[0] - before[0])
                report = ServiceReport(key, requests, total[1] - before[1])
                router.admission.peer_service(report, self.clock.now())
        self.heard[record.key] = {**(known or {}), **record.value}


def rounded(total: tuple[int, float]) -> tuple[int, int]:
    """Return whole tokens, which take fewer bytes; totals lose nothing by it."""
    return total[0], int(total[1])


POISON_KINDS: dict[str, tuple[type, Topic, float]] = {
    "quarantine": (Quarantine, Topic.QUARANTINE, QUARANTINE_LEFT_S),
    "suspicion": (Suspicion, Topic.CRASH_SUSPICION, CRASH_LEFT_S),
    "placement": (Placement, Topic.CRASH_SUSPICION, PLACEMENT_LEFT_S),
    "clearance": (Clearance, Topic.CRASH_SUSPICION, CRASH_LEFT_S),
}


class PoisonSpreading:
    """Tells of requests that may crash servers, and takes what peers know of them."""

    def __init__(self, router: RouterDriver, peers: PeerDriver, clock: Clock) -> None:
        self.router = router
        self.peers = peers
        self.clock = clock

    def tell(self) -> None:
        router = self.router.router
        if not isinstance(router, Router):
            return
        for news in router.take_poison_news():
            kind = type(news).__name__.lower()
            _, topic, left_s = POISON_KINDS[kind]
            # Each node has a record of its own, as the crashes that two of them saw
            # add up, and the later record would otherwise hide the earlier one.
            key = f"{kind}/{news.fingerprint}/{self.peers.node}"
            value = {"kind": kind, "news": msgspec.to_builtins(news)}
            self.peers.tell(topic, key, value, left_s)

    def take(self, record: Record) -> None:
        router = self.router.router
        if not isinstance(router, Router):
            return
        try:
            kind, _, left_s = POISON_KINDS[record.value["kind"]]
            news: PoisonNews = msgspec.convert(record.value["news"], kind)
        except (KeyError, TypeError, msgspec.ValidationError) as error:
            log_event("peer_news_bad", level="WARNING", error=repr(error))
            return
        aged = age_news(news, max(0.0, left_s - record.left_s))
        self.router.carry_out(router.import_poison([aged], self.clock.now()))


def age_news(news: PoisonNews, elapsed_s: float) -> PoisonNews:
    """Return the news as it stands after the time that it took to come here."""
    match news:
        case Quarantine() | Placement():
            return news._replace(left_s=news.left_s - elapsed_s)
        case Clearance():
            return news._replace(age_s=news.age_s + elapsed_s)
        case Suspicion():
            crashes = (c._replace(age_s=c.age_s + elapsed_s) for c in news.crashes)
            return news._replace(crashes=tuple(crashes))


class LeavingSpreading:
    """Tells of backend servers that leave, and takes peers' word for it."""

    def __init__(self, router: RouterDriver, peers: PeerDriver) -> None:
        self.router = router
        self.peers = peers
        self.told: set[str] = set()

    def tell(self) -> None:
        leaving = self.router.leaving()
        self.tell_all(leaving - self.told)
        self.told = set(leaving)

    def tell_all(self, names: Iterable[str]) -> None:
        for name in sorted(names):
            self.peers.tell(Topic.LEAVING_BACKEND, name, True, LEAVING_LEFT_S)

    def take(self, record: Record) -> None:
        self.router.leaving_told(BackendId(record.key), record.left_s)
