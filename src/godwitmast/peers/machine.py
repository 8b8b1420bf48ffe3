"""State machine of one gossip peer: membership, overlay and records, without I/O.

A driver calls it for each event, with the time, and then executes `pop_outputs`. The
daemon, the tests and the load models run the same class.
"""

import random
from dataclasses import dataclass, field

from godwitmast.peers.config_gossip import ConfigGossip
from godwitmast.peers.config_source import ConfigSource
from godwitmast.peers.links import Link
from godwitmast.peers.members import Member, MemberTable, parse_member
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
from godwitmast.peers.reachability import Reachability
from godwitmast.peers.records import RULES, Key, RecordStore
from godwitmast.peers.rendezvous import short_hash
from godwitmast.peers.timing import Timing
from godwitmast.types import Json

MAX_LINKS = 64
MAX_PRUNED = 2048


@dataclass(slots=True)
class Counts:
    """Counters for metrics."""

    suspicions: int = 0
    deaths: int = 0
    refutations: int = 0
    frames: int = 0
    dials: int = 0
    syncs: int = 0


@dataclass
class PeerMachine:
    """One node of the gossip overlay."""

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
        self.reachability = Reachability(self.place, self.random, self.timing)
        self.config_gossip = ConfigGossip(self.config, self.random, self.now)
        self.suspects: dict[str, float] = {}
        self.neighbours: set[str] = set()
        self.overlay_stale = True
        self.leaving = False
        self.push_due = False
        self.ticked_at = self.neighbours_checked_at = self.now
        self.flushed_at = self.now
        self.candidate_at = self.now - 1 + self.random.random()
        self.graft_requested_at = self.now
        self.received_from: dict[str, int] = {}
        self.started_ms = self.version_ms = self.incarnation
        self.table.put(self.own_member, self.now)

    @property
    def own_member(self) -> Member:
        state = MemberState.LEFT if self.leaving else MemberState.ALIVE
        return Member(self.node, self.place, self.incarnation, state)

    def pop_outputs(self) -> list[Output]:
        """Return and clear the outputs that the driver must execute, in order."""
        taken, self.outputs = self.outputs, []
        return taken

    def listed(self) -> list[Member]:
        """Return the members that are alive or suspect, including this node."""
        return self.table.listed()

    def zone_nodes(self) -> list[str]:
        """Return the names of the members in this node's zone."""
        zone = self.place.zone
        return [m.node for m in self.table.listed() if m.place.zone == zone]

    # Events reported by the driver.

    def set_known_vms(self, vms: list[KnownVm], now: float) -> None:
        """Replace the addresses to dial, from the settings and the platform's VM list.

        The list may be minutes old, so it does not decide membership: a listed VM
        becomes a member only when it answers, and an unlisted member stays one.
        """
        self.reachability.set_known_vms(vms)

    def link_opened(self, link_id: int, address: str | None, now: float) -> None:
        """Register a link; `address` is the dialled one, None for an accepted link."""
        if address is not None:
            self.dialling.pop(address, None)
        if len(self.links) >= MAX_LINKS or self.leaving:
            self.outputs.append(Send(link_id, self.hello(bye=True)))
            self.outputs.append(HangUp(link_id, "too many links, or stopping"))
            return
        self.links[link_id] = Link(link_id, address, now, now)
        self.send(self.links[link_id], self.hello(), now)

    def dial_failed(self, address: str, now: float) -> None:
        """Back off from the members at an address that did not answer; suspect them."""
        self.dialling.pop(address, None)
        for member in self.table.at_address(address):
            if not member.listed or member.node in self.by_node:
                continue
            self.back_off_from(member, now)
            self.suspect(member.node, now)

    def link_closed(self, link_id: int, now: float) -> None:
        """Redial the peer of a broken link; it is suspected only if that dial fails."""
        link = self.remove_link(link_id, now)
        if link is None or self.leaving:
            return
        if link.node is None:
            # The far end accepted the connection but never sent a hello.
            if link.address is not None:
                self.dial_failed(link.address, now)
            return
        member = self.table.members.get(link.node)
        if member and member.listed and link.node not in self.by_node:
            self.dial(member.place.address, now)

    def sent(self, link_id: int, now: float) -> None:
        """Record that a frame was written, so that the link's next one can be sent."""
        link = self.links.get(link_id)
        if link is not None:
            link.sending_since = None
            self.push(link, now, False)

    def received(self, link_id: int, frame: Frame, now: float) -> None:
        """Handle a frame; a protocol violation closes its link."""
        link = self.links.get(link_id)
        if link is None:
            return
        link.received_at = now
        if frame.hello and not self.accept_hello(link, frame.hello, now):
            return
        if link.node is None:
            self.hang_up(link, "no hello", now)
            return
        if frame.bye:
            self.handle_bye(link, frame, now)
            return
        link.peer_wants = frame.beat.wanted
        link.config_version = frame.beat.config_version
        self.merge_records(link, frame.records, now)
        if frame.config:
            self.push_due = True
            if self.config_gossip.handle_part(link, frame.config):
                self.config_changed(now)
        if frame.haves is not None:
            self.handle_haves(link, frame.haves, frame.answer_haves)
        self.handle_grafts(link, frame.grafted)
        if len(link.pruned) < MAX_PRUNED:
            link.pruned.update(frame.pruned)
        self.compare_digests(link, frame.beat, now)
        self.push_all(now)

    def publish_record(
        self,
        topic: Topic,
        key: str,
        value: Json,
        left_s: float,
        now: float,
        version: int | None = None,
    ) -> None:
        """Spread a record of this node for `left_s` seconds.

        Without `version` it gets one that is newer than all this node's earlier ones.
        """
        number = self.next_version(now) if version is None else version
        record = Record(topic, key, number, left_s, value)
        if self.records.put_if_newer(record, now):
            self.enqueue(record, None)
            self.push_all(now)

    def config_changed(self, now: float) -> None:
        """Push the configuration in force to every linked peer that lacks it."""
        for link in self.links.values():
            self.config_gossip.push_deltas(link)
        self.push_due = True
        self.push_all(now)

    def leave(self, now: float) -> None:
        """Announce that this node leaves; call when it has stopped serving."""
        self.leaving = True
        self.table.put(self.own_member, now)
        record = self.table.record(self.node)
        assert record is not None, "a node is always in its own table"
        for link in list(self.links.values()):
            if link.node is not None:
                self.send(link, Frame(self.beat(False), (record,), bye=True), now)

    def handle_bye(self, link: Link, frame: Frame, now: float) -> None:
        """Close a link that its peer ended in good order, without suspecting the peer.

        The peer may have no room for another link, so dialling it is backed off.
        """
        self.remove_link(link.link_id, now)
        self.outputs.append(HangUp(link.link_id, "peer hung up"))
        self.merge_records(link, frame.records, now)
        if link.node and link.node not in self.by_node:
            member = self.table.members.get(link.node)
            if member is not None:
                self.back_off_from(member, now)
        self.push_all(now)

    def tick(self, now: float) -> None:
        """Run all timers; call it a few times a second."""
        if now - self.ticked_at > self.timing.pause_threshold_s:
            self.extend_deadlines(now)
        self.ticked_at = now
        if self.leaving:
            return
        self.records.expire(now)
        self.table.expire(now)
        self.received_from = {
            k: v for k, v in self.received_from.items() if v in self.links
        }
        self.close_unresponsive_links(now)
        self.expire_suspicions(now)
        self.dial_neighbours(now)
        self.dial_candidate(now)
        self.close_unwanted_links(now)
        self.config_gossip.request_newer(self.links.values(), now)
        self.graft_stale(now)
        flush = now - self.flushed_at >= self.timing.flush_s - 1e-6
        if flush:
            self.flushed_at = now
        for link in list(self.links.values()):
            if now - link.sent_at >= self.timing.heartbeat_s - 1e-6:
                link.beat_due = True
            self.push(link, now, flush)

    def extend_deadlines(self, now: float) -> None:
        """Extend all deadlines after this process itself was paused.

        A VM that was stopped for ten seconds has received nothing on any link for ten
        seconds. Without the extension it would suspect all its neighbours at once,
        although only its own process had stopped.
        """
        lost = now - self.ticked_at
        for link in self.links.values():
            link.received_at = now
            link.sending_since = None if link.sending_since is None else now
        for node in self.suspects:
            self.suspects[node] += lost
        for address in self.dialling:
            self.dialling[address] = now

    # Membership.

    def accept_hello(self, link: Link, hello: Hello, now: float) -> bool:
        """Register a peer by its hello; return whether the link is kept."""
        if hello.node == self.node:
            self.reachability.addresses.discard(link.address or "")
            self.hang_up(link, "own address", now)
            return False
        if link.node is not None:
            self.hang_up(link, "second hello", now)
            return False
        existing = self.by_node.get(hello.node)
        if existing and self.keeps_existing(existing, link, hello, now):
            self.send_bye(link, "second link", now)
            return False
        if existing:
            self.hang_up(existing, "replaced link", now)
        link.node = hello.node
        link.zone = hello.place.zone
        link.incarnation = hello.incarnation
        self.by_node[hello.node] = link
        self.reachability.record_success(hello.node, hello.place.zone)
        member = Member(hello.node, hello.place, hello.incarnation)
        self.merge_member(member, None, now)
        known = self.table.members.get(hello.node)
        if known is not None and not known.listed:
            # The peer is alive although it is recorded as dead or left: send it that
            # record, which it refutes.
            link.enqueue((Topic.MEMBER, hello.node))
            self.push_due = True
        for key in self.records.periodic_keys():
            if link.zone == self.place.zone:
                link.enqueue(key)
        return True

    def keeps_existing(
        self, existing: Link, link: Link, hello: Hello, now: float
    ) -> bool:
        """Return whether the older of two links to a node is kept.

        Two nodes that dial each other at once must close the same link, or they lose
        both: the link dialled by the lower name stays. A link of an earlier process,
        or one without frames for two heartbeats, is replaced, since the peer would
        not have dialled while it worked.
        """
        if existing.incarnation != hello.incarnation:
            return existing.incarnation > hello.incarnation
        if now - existing.received_at > 2 * self.timing.heartbeat_s:
            return False
        if existing.dialled == link.dialled:
            return True
        return existing.dialled == (self.node < hello.node)

    def merge_records(
        self, link: Link, records: tuple[Record, ...], now: float
    ) -> None:
        for record in records:
            if record.topic is Topic.MEMBER:
                self.merge_member(parse_member(record), link, now)
                link.dequeue((record.topic, record.key))
                continue
            rule = RULES[record.topic]
            if rule.zone_only and link.zone != self.place.zone:
                continue
            newer = self.records.put_if_newer(record, now)
            link.record_received(record, newer)
            if newer:
                if rule.periodic:
                    self.received_from[record.key] = link.link_id
                self.enqueue(record, link)
                self.outputs.append(RecordCame(record))

    def merge_member(self, member: Member, link: Link | None, now: float) -> None:
        """Store a member's state if it is newer than the stored one, and spread it."""
        if member.node == self.node:
            self.refute(member, now)
            return
        if member.version <= self.table.version(member.node):
            return
        if member.node not in self.table.members and not member.listed:
            # Digests leave out dead and departed members, so an unknown one of these
            # need not be stored.
            return
        self.table.put(member, now)
        self.overlay_stale = True
        self.suspects.pop(member.node, None)
        if member.state is MemberState.SUSPECT:
            self.suspects[member.node] = now + self.timing.suspicion_s
        if member.state is MemberState.ALIVE:
            self.mark_predecessors_dead(member, now)
            self.reachability.record_refutation(member, now)
        if not member.listed:
            self.drop_gone_member(member, link, now)
        self.outputs.append(MembersChanged(member.node, member.state))
        self.enqueue_member(member.node, link)

    def refute(self, member: Member, now: float) -> None:
        """Override a newer record of this node, such as a suspicion, by incarnation."""
        newer = member.incarnation > self.incarnation
        if self.leaving or not (newer or member.version > self.own_member.version):
            return
        self.counts.refutations += 1
        self.incarnation = member.incarnation + 1
        self.table.put(self.own_member, now)
        self.enqueue_member(self.node, None)

    def mark_predecessors_dead(self, member: Member, now: float) -> None:
        """Mark the members dead whose address a newer VM now uses."""
        for other in self.table.at_address(member.place.address):
            older = other.incarnation < member.incarnation
            if other.node != member.node and other.listed and older:
                self.merge_member(other._replace(state=MemberState.DEAD), None, now)

    def drop_gone_member(self, member: Member, link: Link | None, now: float) -> None:
        """Reset the backoff of a member that died or left.

        The link to one that left is closed, unless the record arrived over it.
        """
        self.reachability.record_success(member.node, member.place.zone)
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

    def expire_suspicions(self, now: float) -> None:
        for node in [n for n, until in self.suspects.items() if until <= now]:
            del self.suspects[node]
            member = self.table.members[node]
            if member.state is MemberState.SUSPECT:
                self.counts.deaths += 1
                dead = member._replace(state=MemberState.DEAD)
                self.merge_member(dead, None, now)

    # Links.

    def close_unresponsive_links(self, now: float) -> None:
        for link in list(self.links.values()):
            silent = now - link.received_at > self.timing.link_timeout_s
            stuck = link.sending_since is not None
            stuck = (
                stuck and now - (link.sending_since or now) > self.timing.send_timeout_s
            )
            if not silent and not stuck:
                continue
            self.outputs.append(HangUp(link.link_id, "silent" if silent else "slow"))
            self.link_closed(link.link_id, now)

    def dial_neighbours(self, now: float) -> None:
        """Recompute the overlay if members changed; dial neighbours without a link."""
        if self.reachability.any_backoff_ended(self.neighbours_checked_at, now):
            self.overlay_stale = True
        self.neighbours_checked_at = now
        if self.overlay_stale:
            self.overlay_stale = False
            self.neighbours = choose_neighbours(
                self.own_member,
                [m for m in self.table.listed() if self.reachable(m, now)],
            )
        for node in sorted(self.neighbours):
            member = self.table.members[node]
            if node not in self.by_node and self.reachable(member, now):
                self.dial(member.place.address, now)
        for address, since in list(self.dialling.items()):
            if now - since > self.timing.dial_timeout_s + 1.0:
                self.dial_failed(address, now)

    def reachable(self, member: Member, now: float) -> bool:
        return member.node in self.by_node or self.reachability.may_dial(member, now)

    def back_off_from(self, member: Member, now: float) -> None:
        """Leave an unreachable member out of the overlay until its backoff ends."""
        self.reachability.record_failure(member, now)
        self.overlay_stale = True

    def dial_candidate(self, now: float) -> None:
        """Dial one address a second at which no live member is known."""
        if now - self.candidate_at < 1.0:
            return
        self.candidate_at = now
        address = self.reachability.choose_candidate(self.table)
        if address is not None:
            self.dial(address, now)

    def dial(self, address: str, now: float) -> None:
        if address not in self.dialling and not self.leaving:
            self.counts.dials += 1
            self.dialling[address] = now
            self.outputs.append(Dial(address))

    def close_unwanted_links(self, now: float) -> None:
        """Close links that neither end has wanted for `unwanted_link_s`."""
        for link in list(self.links.values()):
            if link.node is None or link.peer_wants or self.is_neighbour(link):
                link.unwanted_since = None
            elif link.unwanted_since is None:
                link.unwanted_since = now
            elif (
                now - link.unwanted_since > self.timing.unwanted_link_s and link.dialled
            ):
                self.send_bye(link, "surplus", now)

    def is_neighbour(self, link: Link) -> bool:
        return link.node in self.neighbours

    def send_bye(self, link: Link, reason: str, now: float) -> None:
        """Close a link with a bye, so that the peer neither redials nor suspects."""
        self.send(link, Frame(self.beat(False), bye=True), now)
        self.hang_up(link, reason, now)

    def hang_up(self, link: Link, reason: str, now: float) -> None:
        self.outputs.append(HangUp(link.link_id, reason))
        self.remove_link(link.link_id, now)

    def remove_link(self, link_id: int, now: float) -> Link | None:
        """Forget a link, and request what arrived over it from the other links."""
        link = self.links.pop(link_id, None)
        if link is not None and link.node and self.by_node.get(link.node) is link:
            del self.by_node[link.node]
            self.graft({key for key, by in self.received_from.items() if by == link_id})
        return link

    # Gossip.

    def enqueue(self, record: Record, source: Link | None) -> None:
        """Queue a record on every link except the one that it arrived on."""
        self.push_due = self.push_due or RULES[record.topic].urgent
        key = (record.topic, record.key)
        zone_only = RULES[record.topic].zone_only
        for link in self.links.values():
            if link is source or link.node is None:
                continue
            if not zone_only or link.zone == self.place.zone:
                link.enqueue(key)

    def enqueue_member(self, node: str, source: Link | None) -> None:
        """Queue a member's state on every link except the one that it arrived on.

        It is sent with the next frame or tick, not at once: a network partition that
        begins or heals changes hundreds of members in a moment. One frame per change
        on each of ten links made 500 frames, and kept a node of 350 busy for 0.1 s.
        """
        for link in self.links.values():
            if link is not source and link.node is not None:
                link.enqueue((Topic.MEMBER, node))

    def next_version(self, now: float) -> int:
        """Return a version above all earlier ones of this node.

        The clock's milliseconds are its high bits, so that of two nodes that publish
        the same key the later one wins, as far as their clocks agree. The low ten
        bits are a hash of the node's name, to tell two nodes' versions apart.
        """
        self.version_ms = max(
            self.version_ms + 1, self.started_ms + int((now - self.now) * 1000)
        )
        return (self.version_ms << 10) | (short_hash(self.node) & 1023)

    def compare_digests(self, link: Link, beat: Beat, now: float) -> None:
        """Start a full comparison over a new link, or one whose digests keep differing.

        A difference that is younger than `digest_mismatch_s` may still be in flight.
        """
        mine = (self.table.digest, self.records.digest)
        if (beat.member_digest, beat.shared_digest) == mine:
            link.mismatch_since = None
            return
        if link.mismatch_since is None:
            link.mismatch_since = now
        fresh = link.synced_at < link.opened_at
        lasting = now - link.mismatch_since > self.timing.digest_mismatch_s
        if fresh or (
            lasting and now - link.synced_at > self.timing.min_sync_interval_s
        ):
            link.synced_at = now
            link.send_haves = True
            link.request_haves = True
            self.push_due = True
            self.counts.syncs += 1

    def haves(self) -> tuple[Have, ...]:
        """Return the versions of all members and records that digests cover."""
        members = [
            Have(Topic.MEMBER, m.node, m.version) for m in self.table.members.values()
        ]
        digested_records = [
            Have(r.topic, r.key, r.version) for r in self.records.digested_records()
        ]
        return tuple(members + digested_records)

    def handle_haves(self, link: Link, haves: tuple[Have, ...], answer: bool) -> None:
        """Queue what a peer lacks; if it asks, send it this node's versions too."""
        self.push_due = True
        theirs = {(have.topic, have.key): have.version for have in haves}
        for have in self.haves():
            key = (have.topic, have.key)
            if theirs.get(key, -1) < have.version:
                link.urgent[key] = None
        if answer:
            link.send_haves = True

    def graft_stale(self, now: float) -> None:
        """Request periodic records that were not renewed in time from the whole zone.

        After pruning, a node receives the records of one origin over one link only (see
        `Link.record_received`). If that peer lost its own source unnoticed, no more
        records arrive until another link is grafted.
        """
        if now - self.graft_requested_at < self.timing.graft_interval_s:
            return
        stale = self.records.stale_origins(now)
        if stale:
            self.graft_requested_at = now
            self.graft(stale)

    def graft(self, origins: set[str]) -> None:
        """Request the records of these origins from all linked peers in the zone."""
        for link in self.links.values():
            if link.zone == self.place.zone:
                link.to_graft |= origins
                link.to_prune -= origins

    def handle_grafts(self, link: Link, origins: tuple[str, ...]) -> None:
        """Resume sending a peer these origins' records, as its other path broke."""
        link.pruned.difference_update(origins)
        for topic, rule in RULES.items():
            if rule.periodic and link.zone == self.place.zone:
                for origin in origins:
                    link.enqueue((topic, origin))

    # Sending.

    def hello(self, bye: bool = False) -> Frame:
        hello = Hello(self.node, self.incarnation, self.place)
        return Frame(self.beat(not bye), hello=hello, bye=bye)

    def beat(self, wanted: bool) -> Beat:
        return Beat(self.config.version, self.table.digest, self.records.digest, wanted)

    def push_all(self, now: float) -> None:
        if not self.push_due:
            return
        self.push_due = False
        for link in list(self.links.values()):
            self.push(link, now, False)

    def push(self, link: Link, now: float, flush: bool) -> None:
        """Send a link's next frame if none is being written and something is queued."""
        if link.sending_since is not None or link.node is None:
            return
        if not link.has_urgent and not (flush and (link.deferred or link.to_prune)):
            return
        # Each frame carries the deferred records too, which saves frames of their own.
        keys = link.pop_keys(with_deferred=True)
        found = [self.lookup(key, now) for key in keys]
        haves = self.haves() if link.send_haves else None
        frame = Frame(
            self.beat(self.is_neighbour(link)),
            tuple(record for record in found if record is not None),
            None,
            link.config_part,
            haves,
            link.request_haves,
            link.pop_prunes(),
            link.pop_grafts(),
        )
        link.config_part = None
        link.send_haves = link.request_haves = False
        self.send(link, frame, now)

    def lookup(self, key: Key, now: float) -> Record | None:
        if key[0] is Topic.MEMBER:
            return self.table.record(key[1])
        return self.records.get(key, now)

    def send(self, link: Link, frame: Frame, now: float) -> None:
        link.sending_since = now
        link.sent_at = now
        link.beat_due = False
        self.counts.frames += 1
        self.outputs.append(Send(link.link_id, frame))
