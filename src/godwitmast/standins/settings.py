"""Settings of the stand-ins."""

from typing import Literal, NamedTuple

from godwitmast.settings import Listen, LogSettings


class EngineSettings(NamedTuple):
    """Settings of a stand-in engine; load reports are served `load_lag_s` late."""

    listen: Listen = Listen()
    name: str = "engine"
    models: list[str] = ["godwit-lm"]
    step_s: float = 0.010
    sequence_s: float = 0.0004
    prompt_tokens_per_s: float = 12_000.0
    max_batch: int = 32
    cache_tokens: int = 60_000
    load_lag_s: float = 1.0
    checks_fences: bool = True
    log: LogSettings = LogSettings()


class ServiceSettings(NamedTuple):
    """Settings of a stand-in plain service; a call takes `work_s`."""

    listen: Listen = Listen()
    name: str = "service"
    work_s: float = 0.0
    log: LogSettings = LogSettings()


class FleetSettings(NamedTuple):
    """Settings of a stand-in of the users' platform: a store and backend servers.

    `config` is the file of the operator's configuration; its first service gets
    `engines` servers that stream, its second one `plain` servers. A stream has `events`
    events, one every `event_s`. `answer_bytes` is the length of plain answers to requests
    with the header X-Large, if it is set.
    """

    config: str
    listen: Listen = Listen()
    engines: int = 1
    plain: int = 0
    zone: str = "z1"
    events: int = 5
    event_s: float = 0.01
    answer_bytes: int | None = None
    log: LogSettings = LogSettings()


class SpareServer(NamedTuple):
    """A server that the stand-in platform provides when one is ordered."""

    backend_id: str
    url: str
    zone: str
    kind: Literal["on_demand", "cheap"]


class VmEntry(NamedTuple):
    """A VM as the platform lists it."""

    node: str
    zone: str
    address: str
    state: Literal["live", "leaving"] = "live"


class PlatformStandinSettings(NamedTuple):
    """Settings of the stand-in platform.

    Reads and writes are limited by the second. VMs are listed as they were `list_lag_s`
    ago; an ordered server starts for `boot_s`.
    """

    listen: Listen = Listen()
    reads_per_s: float = 2000.0
    writes_per_s: float = 400.0
    list_lag_s: float = 2.0
    boot_s: float = 3.0
    checks_fences: bool = False
    config: str | None = None
    spares: list[SpareServer] = []
    vms: list[VmEntry] = []
    log: LogSettings = LogSettings()
