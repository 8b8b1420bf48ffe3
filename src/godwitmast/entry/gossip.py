"""Soft state that entries gossip: load, service, crashes and leaving servers."""

from collections.abc import Iterable

import msgspec

from godwitmast.admission.service_reports import ServiceKey, ServiceReport
from godwitmast.clock import Clock
from godwitmast.config.document import Backend
from godwitmast.decoding import convert
from godwitmast.dispatch.messages import (
    Clearance,
    LoadReport,
    Placement,
    PoisonUpdate,
    Quarantine,
    Suspicion,
)
from godwitmast.dispatch.poison import advance_ages
from godwitmast.dispatch.router import Router
from godwitmast.entry.driver import RouterDriver
from godwitmast.errors import Undecodable
from godwitmast.logs import log_event
from godwitmast.peers.driver import PeerDriver
from godwitmast.peers.messages import LoadEntry, Record, Topic
from godwitmast.peers.rendezvous import choose_pollers, short_hash
from godwitmast.types import BackendId, ClassName, PoolName, TeamName

LOAD_INTERVAL_S = 1.0
LOAD_PER_NODE_S = 0.08
SERVICE_INTERVAL_S = 3.0
SERVICE_PER_NODE_S = 0.4
"""A node publishes load and service at these intervals, or at this time per node of
its zone if that is longer: every node receives the records of all others of its zone,
so the interval grows with the zone to keep a node's traffic constant. With fifty nodes
load is published every 4 s and service every 20 s. Every answer carries load as well,
and service only has to even out the teams' shares over minutes."""

RECORD_TTL_PERIODS = 10
"""Number of intervals after which a load or service record expires."""

MAX_SERVICE_KEYS = 6
"""Number of keys in a service record, those with the most tokens: a team that was
served little can't be far over its share."""

MAX_PEERS_TRACKED = 512
LEAVING_TTL_S = 300.0
QUARANTINE_TTL_S = 600.0
CRASH_TTL_S = 120.0
PLACEMENT_TTL_S = 10.0
SEPARATOR = "\x1f"


class LoadGossip:
    """Decides which backend servers this node polls; publishes their load to the zone."""

    def __init__(self, router: RouterDriver, peers: PeerDriver, clock: Clock) -> None:
        self.router = router
        self.peers = peers
        self.clock = clock
        self.unpublished_reports: dict[str, tuple[LoadReport, float]] = {}
        self.peer_report_at: dict[int, float] = {}
        self.published_at = 0.0
        self.indexed_backends: dict[str, Backend] = {}
        self.names_by_hash: dict[int, str] = {}
        router.should_poll = self.should_poll
        router.load_listeners.append(self.record_poll)

    def pollers(self, backend_id: str) -> list[str]:
        """Return the two nodes of the zone that poll a backend server, in order."""
        machine = self.peers.machine
        return choose_pollers(backend_id, machine.zone_nodes() if machine else [])

    def should_poll(self, backend_id: BackendId) -> bool:
        """Return whether this node polls a backend server.

        A node polls only servers of its own zone: if a zone of fifty nodes polled all
        850 servers, they would serve more polls than requests. Requests to servers of
        other zones rely on the load that comes with their answers.
        """
        backend = self.router.backends.get(backend_id)
        if backend is None or backend.zone != self.peers.zone:
            return False
        return self.peers.node in self.pollers(backend_id)

    def record_poll(self, backend_id: BackendId, report: LoadReport) -> None:
        self.unpublished_reports[backend_id] = (report, self.clock.now())

    def publish(self) -> None:
        """Publish the loads polled since the last record to the zone.

        The second poller of a server publishes only when the first one's reports have
        stopped, so that a poller which died or was disconnected leaves no gap.
        """
        machine = self.peers.machine
        now = self.clock.now()
        period = max(LOAD_INTERVAL_S, LOAD_PER_NODE_S * len(self.zone_nodes))
        if machine is None or now - self.published_at < period:
            return
        self.published_at = now
        entries = tuple(
            load_entry(backend_id, report, now - at)
            for backend_id, (report, at) in self.unpublished_reports.items()
            if self.should_publish(backend_id, now, 3 * period)
        )
        self.unpublished_reports = {}
        if entries:
            left_s = RECORD_TTL_PERIODS * period
            self.peers.publish_record(Topic.LOAD, self.peers.node, entries, left_s)

    @property
    def zone_nodes(self) -> list[str]:
        return self.peers.machine.zone_nodes() if self.peers.machine else []

    def should_publish(self, backend_id: str, now: float, silence_s: float) -> bool:
        first = self.pollers(backend_id)[:1] == [self.peers.node]
        reported_at = self.peer_report_at.get(short_hash(backend_id), 0.0)
        return first or now - reported_at > silence_s

    def apply_record(self, record: Record) -> None:
        """Pass loads that another node polled to the router."""
        now = self.clock.now()
        self.index_names()
        for entry in record.value:
            name = self.names_by_hash.get(entry.backend_hash)
            if name is None:
                continue
            self.peer_report_at[entry.backend_hash] = now
            report = LoadReport(
                entry.running,
                entry.waiting,
                entry.tokens_per_s,
                entry.age_tenths / 10,
            )
            self.router.record_load(BackendId(name), report)

    def index_names(self) -> None:
        """Index the backend servers by hash, once for each set of them.

        With 350 nodes and 850 servers, a node receives a dozen load records a second.
        """
        if self.indexed_backends is self.router.backends:
            return
        self.indexed_backends = self.router.backends
        self.names_by_hash = {short_hash(name): name for name in self.indexed_backends}
        kept = {
            key: at
            for key, at in self.peer_report_at.items()
            if key in self.names_by_hash
        }
        self.peer_report_at = kept


def load_entry(backend_id: str, report: LoadReport, waited_s: float) -> LoadEntry:
    return LoadEntry(
        short_hash(backend_id),
        min(report.running, 65_535),
        min(report.waiting, 65_535),
        min(int(report.tokens_per_s), 10_000_000),
        int(10 * min(report.age_s + waited_s, 600.0)),
    )


class ServiceGossip:
    """Publishes the service of the teams with the most tokens, and counts the peers'.

    Records hold totals rather than increments, so that a record which is replaced by
    the next before it arrives loses nothing.
    """

    def __init__(self, router: RouterDriver, peers: PeerDriver, clock: Clock) -> None:
        self.router = router
        self.peers = peers
        self.clock = clock
        self.totals: dict[ServiceKey, tuple[int, float]] = {}
        self.peer_totals: dict[str, dict[str, tuple[int, float]]] = {}
        self.published_at = 0.0

    def publish(self) -> None:
        machine = self.peers.machine
        router = self.router.router
        now = self.clock.now()
        count = len(machine.zone_nodes()) if machine else 0
        period = max(SERVICE_INTERVAL_S, SERVICE_PER_NODE_S * count)
        if not isinstance(router, Router) or now - self.published_at < period:
            return
        self.published_at = now
        reports = router.admission.pop_service_reports()
        for report in reports:
            requests, tokens = self.totals.get(report.key, (0, 0.0))
            total = (requests + report.requests, tokens + report.tokens)
            self.totals[report.key] = total
        busiest = sorted(reports, key=lambda item: item.tokens, reverse=True)[
            :MAX_SERVICE_KEYS
        ]
        if busiest:
            value = {
                SEPARATOR.join(item.key): round_tokens(self.totals[item.key])
                for item in busiest
            }
            left_s = RECORD_TTL_PERIODS * period
            self.peers.publish_record(Topic.SERVICE, self.peers.node, value, left_s)

    def apply_record(self, record: Record) -> None:
        """Count what a peer served since its last record.

        The first totals of a peer are stored but not counted: they go back to its
        start, and charging them at once would delay its teams for old service.
        """
        router = self.router.router
        if not isinstance(router, Router):
            return
        known = self.peer_totals.get(record.key)
        if known is None and len(self.peer_totals) >= MAX_PEERS_TRACKED:
            self.peer_totals.pop(next(iter(self.peer_totals)))
        for text, total in record.value.items():
            parts = text.split(SEPARATOR)
            before = (known or {}).get(text, (0, 0.0))
            if before[1] > total[1]:
                before = (0, 0.0)  # The peer restarted.
            if known is not None and len(parts) == 3:
                key = ServiceKey(
                    TeamName(parts[0]), ClassName(parts[1]), PoolName(parts[2])
                )
                requests = max(0, total[0] - before[0])
                report = ServiceReport(key, requests, total[1] - before[1])
                router.admission.apply_peer_service(report, self.clock.now())
        self.peer_totals[record.key] = {**(known or {}), **record.value}


def round_tokens(total: tuple[int, float]) -> tuple[int, int]:
    """Round tokens down, to save bytes; in totals the error doesn't accumulate."""
    return total[0], int(total[1])


POISON_KINDS: dict[str, tuple[type, Topic, float]] = {
    "quarantine": (Quarantine, Topic.QUARANTINE, QUARANTINE_TTL_S),
    "suspicion": (Suspicion, Topic.CRASH_SUSPICION, CRASH_TTL_S),
    "placement": (Placement, Topic.CRASH_SUSPICION, PLACEMENT_TTL_S),
    "clearance": (Clearance, Topic.CRASH_SUSPICION, CRASH_TTL_S),
}


class PoisonGossip:
    """Publishes quarantines and suspicions of crashing requests; applies the peers'."""

    def __init__(self, router: RouterDriver, peers: PeerDriver, clock: Clock) -> None:
        self.router = router
        self.peers = peers
        self.clock = clock

    def publish(self) -> None:
        router = self.router.router
        if not isinstance(router, Router):
            return
        for news in router.pop_poison_updates():
            kind = type(news).__name__.lower()
            _, topic, left_s = POISON_KINDS[kind]
            # The key contains the node: crashes seen by two nodes add up, and under
            # one key the later record would replace the earlier one.
            key = f"{kind}/{news.fingerprint}/{self.peers.node}"
            value = {"kind": kind, "news": msgspec.to_builtins(news)}
            self.peers.publish_record(topic, key, value, left_s)

    def apply_record(self, record: Record) -> None:
        router = self.router.router
        if not isinstance(router, Router):
            return
        try:
            kind, _, left_s = POISON_KINDS[record.value["kind"]]
            news: PoisonUpdate = convert(record.value["news"], kind)
        except (KeyError, TypeError, Undecodable) as error:
            log_event("peer_news_bad", level="WARNING", error=repr(error))
            return
        advanced = advance_ages(news, max(0.0, left_s - record.left_s))
        self.router.deliver_actions(
            router.apply_poison_updates([advanced], self.clock.now())
        )


class LeavingGossip:
    """Publishes which backend servers are leaving, and applies the peers' reports."""

    def __init__(self, router: RouterDriver, peers: PeerDriver) -> None:
        self.router = router
        self.peers = peers
        self.published: set[str] = set()

    def publish(self) -> None:
        leaving = self.router.leaving_backends()
        self.publish_all(leaving - self.published)
        self.published = set(leaving)

    def publish_all(self, names: Iterable[str]) -> None:
        for name in sorted(names):
            self.peers.publish_record(Topic.LEAVING_BACKEND, name, True, LEAVING_TTL_S)

    def apply_record(self, record: Record) -> None:
        self.router.mark_leaving(BackendId(record.key), record.left_s)
