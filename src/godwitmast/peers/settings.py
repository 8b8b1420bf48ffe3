"""Settings of a node's peer links."""

import ipaddress
from typing import Annotated, Literal, NamedTuple

from pydantic import AfterValidator, Field

from godwitmast.settings import Listen
from godwitmast.tls import MutualTlsFiles


class PeerSettings(NamedTuple):
    """Where a node listens for peers, and how it finds the first of them.

    `tls` names the files of mutual TLS, or is "off", which is allowed with a loopback
    address only. `advertise` is the host that peers dial if it is not `listen.host`.
    `fault_hook` lets tests partition zones through the entry's own port; leave it off
    in production.
    """

    tls: MutualTlsFiles | Literal["off"]
    listen: Listen = Listen()
    advertise: str | None = None
    seeds: list[str] = []
    bytes_per_s: Annotated[int, Field(gt=0)] = 4 * 1024 * 1024
    """Rate at which one peer's frames are read; backpressure slows a faster sender."""
    fault_hook: bool = False


def check_tls_off(settings: PeerSettings) -> PeerSettings:
    """Return the settings, or raise ValueError for plain links beyond loopback."""
    if settings.tls == "off":
        try:
            loopback = ipaddress.ip_address(settings.listen.host).is_loopback
        except ValueError:
            loopback = settings.listen.host == "localhost"
        if not loopback:
            text = 'tls = "off" is allowed with a loopback address in listen.host only'
            raise ValueError(text)
    return settings


CheckedPeerSettings = Annotated[PeerSettings, AfterValidator(check_tls_off)]
