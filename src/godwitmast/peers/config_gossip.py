"""Configuration gossip: deltas are pushed, whole snapshots only sent on request."""

import random
from collections.abc import Collection

from godwitmast.peers.config_source import ConfigSource
from godwitmast.peers.links import Link
from godwitmast.peers.messages import ConfigKind, ConfigPart

REQUEST_INTERVAL_S = 1.0


class ConfigGossip:
    """One node's exchange of the configuration with its linked peers."""

    def __init__(self, source: ConfigSource, rng: random.Random, now: float) -> None:
        self.source = source
        self.random = rng
        self.requested_at = now - REQUEST_INTERVAL_S

    def handle_part(self, link: Link, part: ConfigPart) -> bool:
        """Answer a request, or adopt what came; return whether the version rose."""
        before = self.source.version
        match part.kind:
            case ConfigKind.WANT:
                self.send_config(link, part.after)
            case ConfigKind.DELTAS if part.after <= before < part.number:
                self.source.adopt_deltas(part.after, part.number, part.payload)
            case ConfigKind.SNAPSHOT if part.number > before:
                self.source.adopt_snapshot(part.number, part.payload)
        risen = self.source.version > before
        if risen:
            link.config_version = max(link.config_version, self.source.version)
        return risen

    def send_config(self, link: Link, after: int) -> None:
        """Queue the deltas since `after`, or a snapshot if they are not kept."""
        number = self.source.version
        if number <= after:
            return
        deltas = self.source.deltas(after) if after else None
        if deltas is not None:
            link.config_part = ConfigPart(ConfigKind.DELTAS, after, number, deltas)
        else:
            whole = self.source.snapshot()
            link.config_part = ConfigPart(ConfigKind.SNAPSHOT, after, number, whole)

    def push_deltas(self, link: Link) -> None:
        """Push deltas to a peer that is behind, or only the version number.

        A snapshot is sent on request only: pushed by every neighbour at once it would
        arrive ten times.
        """
        number = self.source.version
        after = max(link.config_version, link.pushed_config)
        if link.node is None or number <= after:
            return
        link.beat_due = True
        deltas = self.source.deltas(after) if after else None
        if deltas is not None:
            link.pushed_config = number
            link.config_part = ConfigPart(ConfigKind.DELTAS, after, number, deltas)

    def request_newer(self, links: Collection[Link], now: float) -> None:
        """Request a newer configuration from one peer, at most once a second."""
        version = self.source.version
        ahead = [link for link in links if link.config_version > version]
        if not ahead or now - self.requested_at < REQUEST_INTERVAL_S:
            return
        self.requested_at = now
        best = max(ahead, key=lambda link: (link.config_version, self.random.random()))
        best.config_part = ConfigPart(ConfigKind.WANT, version)
