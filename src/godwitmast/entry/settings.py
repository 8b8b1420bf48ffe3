"""Settings of an entry."""

from typing import Annotated, NamedTuple

from annotated_types import Ge, Gt, Le

from godwitmast.entry.request_parsing import Limits
from godwitmast.peers.settings import CheckedPeerSettings
from godwitmast.settings import Listen, LogSettings, PlatformSettings, Seconds
from godwitmast.tls import TlsFiles
from godwitmast.usage.windows import UsageTiming


class EntrySettings(NamedTuple):
    """Settings of one entry; all else is in the numbered configuration."""

    node: str
    zone: str
    platform: PlatformSettings
    region: str = "default"
    listen: Listen = Listen()
    tls: TlsFiles | None = None
    peers: CheckedPeerSettings | None = None
    limits: Limits = Limits()
    balancer_wait_s: Annotated[float, Ge(0)] = 2.0
    stop_timeout_s: Seconds = 120.0
    usage: UsageTiming = UsageTiming()
    log: LogSettings = LogSettings()
    memory_mb: Annotated[float, Gt(0), Le(1_000_000)] | None = None
    """Memory of the machine or container; without it, what the entry holds isn't bounded."""
