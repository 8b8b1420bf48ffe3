"""The peer machine: membership, overlay and spreading, without a network.

A driver tells it what happened, with the time, and then carries out `take_outputs`.
It is the same object in the daemon, in the tests and in the measurements.
"""

import random
from dataclasses import dataclass, field

from godwitmast.peers.config_source import ConfigSource
from godwitmast.peers.config_spread import ConfigSpread
from godwitmast.peers.links import Link
from godwitmast.peers.members import Member, MemberTable, member_of
from godwitmast.peers.messages import (
    Beat,
    Dial,
    Frame,
    HangUp,
    Have,
    Hello,
    KnownVm,
    MembersChanged,
    MemberState,
    Output,
    Place,
    Record,
    RecordCame,
    Send,
    Topic,
)
from godwitmast.peers.overlay import choose_neighbours
from godwitmast.peers.reach import Reach
from godwitmast.peers.records import RULES, Key, RecordStore
from godwitmast.peers.rendezvous import short_hash
from godwitmast.peers.timing import Timing
from godwitmast.types import Json

MAX_LINKS = 64
MAX_PRUNED = 2048


@dataclass(slots=True)
class Counts:
    """What the machine did, for metrics."""

    suspicions: int = 0
    deaths: int = 0
    refutations: int = 0
    frames: int = 0
    dials: int = 0
    syncs: int = 0


@dataclass
class PeerMachine:
    """One node's part in the overlay."""

    node: str
    place: Place
    incarnation: int
    config: ConfigSource
    now: float
    seed: int = 0
    timing: Timing = Timing()
    table: MemberTable = field(default_factory=MemberTable)
    records: RecordStore = field(default_factory=RecordStore)
    links: dict[int, Link] = field(default_factory=dict)
    by_node: dict[str, Link] = field(default_factory=dict)
    counts: Counts = field(default_factory=Counts)

    def __post_init__(self) -> None:
        self.random = random.Random(f"{self.seed}/{self.node}")
        self.outputs: list[Output] = []
        self.dialling: dict[str, float] = {}
        self.reach = Reach(self.place, self.random, self.timing)
        self.spread = ConfigSpread(self.config, self.random, self.now)
        self.suspects: dict[str, float] = {}
        self.neighbours: set[str] = set()
        self.overlay_stale = True
        self.leaving = False
        self.has_news = False
        self.ticked_at = self.dialled_at = self.now
        self.flushed_at = self.now
        self.candidate_at = self.now - 1 + self.random.random()
        self.grafted_at = self.now
        self.came_by: dict[str, int] = {}
        self.epoch = self.stamp = self.incarnation
        self.table.put(self.me, self.now)

    @property
    def me(self) -> Member:
        state = MemberState.LEFT if self.leaving else MemberState.ALIVE
        return Member(self.node, self.place, self.incarnation, state)

    def take_outputs(self) -> list[Output]:
        """Return what the driver is to do, in order."""
        taken, self.outputs = self.outputs, []
        return taken

    def listed(self) -> list[Member]:
        """Return the members that are not known to be gone, this node among them."""
        return self.table.listed()

    def zone_nodes(self) -> list[str]:
        """Return the names of this zone's members."""
        zone = self.place.zone
        return [m.node for m in self.table.listed() if m.place.zone == zone]

    # What the driver tells.

    def learn_addresses(self, vms: list[KnownVm], now: float) -> None:
        """Take all addresses of settings and of the platform's list, which lags.

        They are only places to try. A VM on the list is no member before it answers,
        and a member that is not on it stays one, as the list may be minutes old.
        """
        self.reach.learn(vms)

    def link_opened(self, link_id: int, address: str | None, now: float) -> None:
        """Take a new connection; `address` is what was dialled, None if it came in."""
        if address is not None:
            self.dialling.pop(address, None)
        if len(self.links) >= MAX_LINKS or self.leaving:
            self.outputs.append(Send(link_id, self.hello(bye=True)))
            self.outputs.append(HangUp(link_id, "no room"))
            return
        self.links[link_id] = Link(link_id, address, now, now)
        self.send(self.links[link_id], self.hello(), now)

    def dial_failed(self, address: str, now: float) -> None:
        """Suspect the members that should have answered there."""
        self.dialling.pop(address, None)
        for member in self.table.at_address(address):
            if not member.listed or member.node in self.by_node:
                continue
            self.leave_alone(member, now)
            self.suspect(member.node, now)

    def link_closed(self, link_id: int, now: float) -> None:
        """Dial a peer whose link broke; only if that fails too is it suspected."""
        link = self.drop(link_id, now)
        if link is None or self.leaving:
            return
        if link.node is None:
            # The far end accepts connections and then says nothing.
            if link.address is not None:
                self.dial_failed(link.address, now)
            return
        member = self.table.members.get(link.node)
        if member and member.listed and link.node not in self.by_node:
            self.dial(member.place.address, now)

    def sent(self, link_id: int, now: float) -> None:
        """Note that the link can take its next frame."""
        link = self.links.get(link_id)
        if link is not None:
            link.busy_since = None
            self.push(link, now, False)

    def received(self, link_id: int, frame: Frame, now: float) -> None:
        """Take a frame; one that breaks the rules ends its link."""
        link = self.links.get(link_id)
        if link is None:
            return
        link.heard_at = now
        if frame.hello and not self.greet(link, frame.hello, now):
            return
        if link.node is None:
            self.hang_up(link, "no hello", now)
            return
        if frame.bye:
            self.take_bye(link, frame, now)
            return
        link.they_want = frame.beat.wanted
        link.config_version = frame.beat.config_version
        self.merge_records(link, frame.records, now)
        if frame.config:
            self.has_news = True
            if self.spread.take(link, frame.config):
                self.config_changed(now)
        if frame.haves is not None:
            self.compare(link, frame.haves, frame.answer_haves)
        self.regraft(link, frame.grafted)
        if len(link.pruned) < MAX_PRUNED:
            link.pruned.update(frame.pruned)
        self.note_digests(link, frame.beat, now)
        self.push_all(now)

    def tell(
        self,
        topic: Topic,
        key: str,
        value: Json,
        left_s: float,
        now: float,
        version: int | None = None,
    ) -> None:
        """Spread a fact of this node's own; without a version it is the newest."""
        number = self.next_stamp(now) if version is None else version
        record = Record(topic, key, number, left_s, value)
        if self.records.offer(record, now):
            self.mark(record, None)
            self.push_all(now)

    def config_changed(self, now: float) -> None:
        """Push the configuration in force to every neighbour that lacks it."""
        for link in self.links.values():
            self.spread.push(link)
        self.has_news = True
        self.push_all(now)

    def leave(self, now: float) -> None:
        """Tell the neighbours that this node goes; call when it no longer serves."""
        self.leaving = True
        self.table.put(self.me, now)
        record = self.table.record(self.node)
        assert record is not None, "a node is always in its own table"
        for link in list(self.links.values()):
            if link.node is not None:
                self.send(link, Frame(self.beat(False), (record,), bye=True), now)

    def take_bye(self, link: Link, frame: Frame, now: float) -> None:
        """End a link that its peer closes in good order, which is no cause to suspect.

        A peer without room for one more link is left alone for a while.
        """
        self.drop(link.link_id, now)
        self.outputs.append(HangUp(link.link_id, "peer hung up"))
        self.merge_records(link, frame.records, now)
        if link.node and link.node not in self.by_node:
            member = self.table.members.get(link.node)
            if member is not None:
                self.leave_alone(member, now)
        self.push_all(now)

    def tick(self, now: float) -> None:
        """Do what time has made due; call it a few times a second."""
        if now - self.ticked_at > self.timing.pause:
            self.forgive_pause(now)
        self.ticked_at = now
        if self.leaving:
            return
        self.records.expire(now)
        self.table.expire(now)
        self.came_by = {k: v for k, v in self.came_by.items() if v in self.links}
        self.end_silent_links(now)
        self.end_suspicions(now)
        self.dial_neighbours(now)
        self.dial_candidate(now)
        self.drop_surplus(now)
        self.spread.ask(self.links.values(), now)
        self.graft_stale(now)
        flush = now - self.flushed_at >= self.timing.flush - 1e-6
        if flush:
            self.flushed_at = now
        for link in list(self.links.values()):
            if now - link.sent_at >= self.timing.beat - 1e-6:
                link.beat_due = True
            self.push(link, now, flush)

    def forgive_pause(self, now: float) -> None:
        """Give everyone their time again after this process was paused.

        A VM that was stopped for ten seconds finds every link silent for ten seconds
        and, without this, would suspect all its neighbours at once, although it is
        itself the one that was away.
        """
        lost = now - self.ticked_at
        for link in self.links.values():
            link.heard_at = now
            link.busy_since = None if link.busy_since is None else now
        for node in self.suspects:
            self.suspects[node] += lost
        for address in self.dialling:
            self.dialling[address] = now

    # Membership.

    def greet(self, link: Link, hello: Hello, now: float) -> bool:
        """Take a peer's hello; return whether the link is kept."""
        if hello.node == self.node:
            self.reach.addresses.discard(link.address or "")
            self.hang_up(link, "own address", now)
            return False
        if link.node is not None:
            self.hang_up(link, "second hello", now)
            return False
        rival = self.by_node.get(hello.node)
        if rival and self.rival_stays(rival, link, hello, now):
            self.say_bye(link, "second link", now)
            return False
        if rival:
            self.hang_up(rival, "replaced link", now)
        link.node = hello.node
        link.zone = hello.place.zone
        link.incarnation = hello.incarnation
        self.by_node[hello.node] = link
        self.reach.reached(hello.node, hello.place.zone)
        member = Member(hello.node, hello.place, hello.incarnation)
        self.merge_member(member, None, now)
        known = self.table.members.get(hello.node)
        if known is not None and not known.listed:
            # It is not dead, as it speaks: it hears so, and refutes.
            link.mark((Topic.MEMBER, hello.node))
            self.has_news = True
        for key in self.records.periodic_keys():
            if link.zone == self.place.zone:
                link.mark(key)
        return True

    def rival_stays(self, rival: Link, link: Link, hello: Hello, now: float) -> bool:
        """Return whether the older of two links to a node is kept.

        Two nodes that dial each other at once must drop the same one, or both go:
        the one that the lower name dialled stays. A link of an earlier process, or
        one that fell silent, gives way, as its peer would not have dialled otherwise.
        """
        if rival.incarnation != hello.incarnation:
            return rival.incarnation > hello.incarnation
        if now - rival.heard_at > 2 * self.timing.beat:
            return False
        if rival.dialled == link.dialled:
            return True
        return rival.dialled == (self.node < hello.node)

    def merge_records(
        self, link: Link, records: tuple[Record, ...], now: float
    ) -> None:
        for record in records:
            if record.topic is Topic.MEMBER:
                self.merge_member(member_of(record), link, now)
                link.unmark((record.topic, record.key))
                continue
            rule = RULES[record.topic]
            if rule.zone_only and link.zone != self.place.zone:
                continue
            newer = self.records.offer(record, now)
            link.came(record, newer)
            if newer:
                if rule.periodic:
                    self.came_by[record.key] = link.link_id
                self.mark(record, link)
                self.outputs.append(RecordCame(record))

    def merge_member(self, member: Member, link: Link | None, now: float) -> None:
        """Take news of a member if it overrides what is known."""
        if member.node == self.node:
            self.refute(member, now)
            return
        if member.version <= self.table.version(member.node):
            return
        if member.node not in self.table.members and not member.listed:
            # The digests leave out who is gone, so an unknown one matters to nobody.
            return
        self.table.put(member, now)
        self.overlay_stale = True
        self.suspects.pop(member.node, None)
        if member.state is MemberState.SUSPECT:
            self.suspects[member.node] = now + self.timing.suspicion
        if member.state is MemberState.ALIVE:
            self.end_predecessors(member, now)
            self.reach.refuted(member, now)
        if not member.listed:
            self.forget_gone(member, link, now)
        self.outputs.append(MembersChanged(member.node, member.state))
        self.mark_member(member.node, link)

    def refute(self, member: Member, now: float) -> None:
        """Answer news of this node's own end, or of an earlier life of its."""
        newer = member.incarnation > self.incarnation
        if self.leaving or not (newer or member.version > self.me.version):
            return
        self.counts.refutations += 1
        self.incarnation = member.incarnation + 1
        self.table.put(self.me, now)
        self.mark_member(self.node, None)

    def end_predecessors(self, member: Member, now: float) -> None:
        """End the members that a new VM at their address has replaced."""
        for other in self.table.at_address(member.place.address):
            older = other.incarnation < member.incarnation
            if other.node != member.node and other.listed and older:
                self.merge_member(other._replace(state=MemberState.DEAD), None, now)

    def forget_gone(self, member: Member, link: Link | None, now: float) -> None:
        """Drop the link to a member that is gone, unless it has just spoken on it."""
        self.reach.reached(member.node, member.place.zone)
        gone = self.by_node.get(member.node)
        if member.state is MemberState.LEFT and gone is not None and gone is not link:
            self.hang_up(gone, "peer left", now)

    def suspect(self, node: str, now: float) -> None:
        member = self.table.members.get(node)
        if member is not None and member.state is MemberState.ALIVE:
            self.counts.suspicions += 1
            suspect = member._replace(state=MemberState.SUSPECT)
            self.merge_member(suspect, None, now)
            self.push_all(now)

    def end_suspicions(self, now: float) -> None:
        for node in [n for n, until in self.suspects.items() if until <= now]:
            del self.suspects[node]
            member = self.table.members[node]
            if member.state is MemberState.SUSPECT:
                self.counts.deaths += 1
                dead = member._replace(state=MemberState.DEAD)
                self.merge_member(dead, None, now)

    # Links.

    def end_silent_links(self, now: float) -> None:
        for link in list(self.links.values()):
            silent = now - link.heard_at > self.timing.link_timeout
            stuck = link.busy_since is not None
            stuck = stuck and now - (link.busy_since or now) > self.timing.busy
            if not silent and not stuck:
                continue
            self.outputs.append(HangUp(link.link_id, "silent" if silent else "slow"))
            self.link_closed(link.link_id, now)

    def dial_neighbours(self, now: float) -> None:
        """Work the overlay out anew if members changed, and dial what is missing."""
        if self.reach.some_due(self.dialled_at, now):
            self.overlay_stale = True
        self.dialled_at = now
        if self.overlay_stale:
            self.overlay_stale = False
            self.neighbours = choose_neighbours(
                self.me, [m for m in self.table.listed() if self.reachable(m, now)]
            )
        for node in sorted(self.neighbours):
            member = self.table.members[node]
            if node not in self.by_node and self.reachable(member, now):
                self.dial(member.place.address, now)
        for address, since in list(self.dialling.items()):
            if now - since > self.timing.dial_timeout + 1.0:
                self.dial_failed(address, now)

    def reachable(self, member: Member, now: float) -> bool:
        return member.node in self.by_node or self.reach.worth_a_dial(member, now)

    def leave_alone(self, member: Member, now: float) -> None:
        """Leave a member out of the overlay for a while."""
        self.reach.failed(member, now)
        self.overlay_stale = True

    def dial_candidate(self, now: float) -> None:
        """Try one address a second at which no live member is known."""
        if now - self.candidate_at < 1.0:
            return
        self.candidate_at = now
        address = self.reach.choose_candidate(self.table)
        if address is not None:
            self.dial(address, now)

    def dial(self, address: str, now: float) -> None:
        if address not in self.dialling and not self.leaving:
            self.counts.dials += 1
            self.dialling[address] = now
            self.outputs.append(Dial(address))

    def drop_surplus(self, now: float) -> None:
        """Close links that neither end wants, once they have not been for a while."""
        for link in list(self.links.values()):
            if link.node is None or link.they_want or self.wants(link):
                link.unwanted_since = None
            elif link.unwanted_since is None:
                link.unwanted_since = now
            elif now - link.unwanted_since > self.timing.surplus and link.dialled:
                self.say_bye(link, "surplus", now)

    def wants(self, link: Link) -> bool:
        return link.node in self.neighbours

    def say_bye(self, link: Link, reason: str, now: float) -> None:
        """Close a link so that the peer neither dials again at once nor suspects."""
        self.send(link, Frame(self.beat(False), bye=True), now)
        self.hang_up(link, reason, now)

    def hang_up(self, link: Link, reason: str, now: float) -> None:
        self.outputs.append(HangUp(link.link_id, reason))
        self.drop(link.link_id, now)

    def drop(self, link_id: int, now: float) -> Link | None:
        """Forget a link; what came by it has to come by others from now on."""
        link = self.links.pop(link_id, None)
        if link is not None and link.node and self.by_node.get(link.node) is link:
            del self.by_node[link.node]
            self.graft({key for key, by in self.came_by.items() if by == link_id})
        return link

    # Spreading.

    def mark(self, record: Record, source: Link | None) -> None:
        """Have a record sent on every link but the one that it came by."""
        self.has_news = self.has_news or RULES[record.topic].urgent
        key = (record.topic, record.key)
        zone_only = RULES[record.topic].zone_only
        for link in self.links.values():
            if link is source or link.node is None:
                continue
            if not zone_only or link.zone == self.place.zone:
                link.mark(key)

    def mark_member(self, node: str, source: Link | None) -> None:
        """Have news of a member sent on every link but the one that it came by.

        It goes out with the next frame or tick, not at once: a zone that is cut off
        or healed makes hundreds of news in a moment, and one frame for each on each
        of ten links kept a node of 350 busy for a tenth of a second (500 frames).
        """
        for link in self.links.values():
            if link is not source and link.node is not None:
                link.mark((Topic.MEMBER, node))

    def next_stamp(self, now: float) -> int:
        """Return a version above all that this node gave, apart from other nodes'.

        The clock's milliseconds come first, so that of two nodes that tell the same
        key the later one holds, as far as their clocks agree.
        """
        self.stamp = max(self.stamp + 1, self.epoch + int((now - self.now) * 1000))
        return (self.stamp << 10) | (short_hash(self.node) & 1023)

    def note_digests(self, link: Link, beat: Beat, now: float) -> None:
        """Compare everything with a peer whose digests differ for too long."""
        mine = (self.table.digest, self.records.digest)
        if (beat.member_digest, beat.shared_digest) == mine:
            link.differs_since = None
            return
        if link.differs_since is None:
            link.differs_since = now
        fresh = link.synced_at < link.opened_at
        lasting = now - link.differs_since > self.timing.differs
        if fresh or (lasting and now - link.synced_at > self.timing.sync):
            link.synced_at = now
            link.send_haves = True
            link.ask_haves = True
            self.has_news = True
            self.counts.syncs += 1

    def haves(self) -> tuple[Have, ...]:
        """Return what this node has of all that digests cover."""
        members = [
            Have(Topic.MEMBER, m.node, m.version) for m in self.table.members.values()
        ]
        durable = [Have(r.topic, r.key, r.version) for r in self.records.durable()]
        return tuple(members + durable)

    def compare(self, link: Link, haves: tuple[Have, ...], answer: bool) -> None:
        """Send a peer what it lacks; if it asks, tell it what this node has."""
        self.has_news = True
        theirs = {(have.topic, have.key): have.version for have in haves}
        for have in self.haves():
            key = (have.topic, have.key)
            if theirs.get(key, -1) < have.version:
                link.urgent[key] = None
        if answer:
            link.send_haves = True

    def graft_stale(self, now: float) -> None:
        """Ask all neighbours in the zone for what has not been renewed in time.

        Each node has records of one origin from one neighbour only (see `Link.came`).
        If that neighbour lost its own source without knowing, nothing more comes.
        """
        if now - self.grafted_at < self.timing.silence:
            return
        stale = self.records.stale(now)
        if stale:
            self.grafted_at = now
            self.graft(stale)

    def graft(self, origins: set[str]) -> None:
        """Ask all neighbours in the zone for what comes from these origins."""
        for link in self.links.values():
            if link.zone == self.place.zone:
                link.to_graft |= origins
                link.to_prune -= origins

    def regraft(self, link: Link, origins: tuple[str, ...]) -> None:
        """Send a peer these origins' records again, as its other way has broken."""
        link.pruned.difference_update(origins)
        for topic, rule in RULES.items():
            if rule.periodic and link.zone == self.place.zone:
                for origin in origins:
                    link.mark((topic, origin))

    # Sending.

    def hello(self, bye: bool = False) -> Frame:
        hello = Hello(self.node, self.incarnation, self.place)
        return Frame(self.beat(not bye), hello=hello, bye=bye)

    def beat(self, wanted: bool) -> Beat:
        return Beat(self.config.version, self.table.digest, self.records.digest, wanted)

    def push_all(self, now: float) -> None:
        if not self.has_news:
            return
        self.has_news = False
        for link in list(self.links.values()):
            self.push(link, now, False)

    def push(self, link: Link, now: float, flush: bool) -> None:
        """Send a link's next frame if it can take one and there is cause for one."""
        if link.busy_since is not None or link.node is None:
            return
        if not link.pressing and not (flush and (link.bulk or link.to_prune)):
            return
        # Any frame takes along what waits: it costs the record, not the frame.
        keys = link.take_keys(with_bulk=True)
        found = [self.lookup(key, now) for key in keys]
        haves = self.haves() if link.send_haves else None
        frame = Frame(
            self.beat(self.wants(link)),
            tuple(record for record in found if record is not None),
            None,
            link.config_part,
            haves,
            link.ask_haves,
            link.take_prunes(),
            link.take_grafts(),
        )
        link.config_part = None
        link.send_haves = link.ask_haves = False
        self.send(link, frame, now)

    def lookup(self, key: Key, now: float) -> Record | None:
        if key[0] is Topic.MEMBER:
            return self.table.record(key[1])
        return self.records.get(key, now)

    def send(self, link: Link, frame: Frame, now: float) -> None:
        link.busy_since = now
        link.sent_at = now
        link.beat_due = False
        self.counts.frames += 1
        self.outputs.append(Send(link.link_id, frame))
