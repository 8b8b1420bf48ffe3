"""Settings of a control daemon."""

from typing import NamedTuple

from godwitmast.lease.machine import LeaseTiming
from godwitmast.settings import Listen, LogSettings, PlatformSettings
from godwitmast.tls import TlsFiles
from godwitmast.usage.windows import UsageTiming


class ControlSettings(NamedTuple):
    """Settings of one control daemon."""

    node: str
    zone: str
    platform: PlatformSettings
    region: str = "default"
    listen: Listen = Listen()
    tls: TlsFiles | None = None
    lease: LeaseTiming = LeaseTiming()
    usage: UsageTiming = UsageTiming()
    log: LogSettings = LogSettings()
