"""Settings of a control daemon."""

from typing import NamedTuple

from godwitmast.settings import Listen, LogSettings, PlatformSettings


class ControlSettings(NamedTuple):
    """A control daemon's own facts."""

    node: str
    zone: str
    platform: PlatformSettings
    region: str = "default"
    listen: Listen = Listen()
    log: LogSettings = LogSettings()
