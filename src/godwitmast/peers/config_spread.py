"""How the configuration goes from peer to peer: pushed as deltas, asked for whole."""

import random
from collections.abc import Collection

from godwitmast.peers.config_source import ConfigSource
from godwitmast.peers.links import Link
from godwitmast.peers.messages import ConfigKind, ConfigPart

ASK_EVERY_S = 1.0


class ConfigSpread:
    """What one node gives to its links, and asks of them."""

    def __init__(self, source: ConfigSource, choose: random.Random, now: float) -> None:
        self.source = source
        self.random = choose
        self.asked_at = now - ASK_EVERY_S

    def take(self, link: Link, part: ConfigPart) -> bool:
        """Answer a request, or adopt what came; return whether the version rose."""
        before = self.source.version
        match part.kind:
            case ConfigKind.WANT:
                self.give(link, part.after)
            case ConfigKind.DELTAS if part.after <= before < part.number:
                self.source.adopt_deltas(part.after, part.number, part.payload)
            case ConfigKind.SNAPSHOT if part.number > before:
                self.source.adopt_snapshot(part.number, part.payload)
        risen = self.source.version > before
        if risen:
            link.config_version = max(link.config_version, self.source.version)
        return risen

    def give(self, link: Link, after: int) -> None:
        """Send deltas if they are kept that far back, else the whole."""
        number = self.source.version
        if number <= after:
            return
        deltas = self.source.deltas(after) if after else None
        if deltas is not None:
            link.config_part = ConfigPart(ConfigKind.DELTAS, after, number, deltas)
        else:
            whole = self.source.snapshot()
            link.config_part = ConfigPart(ConfigKind.SNAPSHOT, after, number, whole)

    def push(self, link: Link) -> None:
        """Push deltas to a peer, or tell it of the number and let it ask.

        A whole configuration is only ever sent to one that asked: pushed by every
        neighbour at once it would come ten times.
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

    def ask(self, links: Collection[Link], now: float) -> None:
        """Ask one peer at a time for a configuration that is ahead of this node's."""
        version = self.source.version
        ahead = [link for link in links if link.config_version > version]
        if not ahead or now - self.asked_at < ASK_EVERY_S:
            return
        self.asked_at = now
        best = max(ahead, key=lambda link: (link.config_version, self.random.random()))
        best.config_part = ConfigPart(ConfigKind.WANT, version)
