"""Settings of a node's links to its peers."""

import ipaddress
from typing import Annotated, Literal, NamedTuple

from pydantic import AfterValidator, Field

from godwitmast.settings import Listen
from godwitmast.tls import MutualTlsFiles


class PeerSettings(NamedTuple):
    """Where a node listens for peers, and how it finds the first of them.

    `tls` names the files of mutual TLS, or is "off", which only a loopback address
    allows. `advertise` is the host that peers dial, where it is not `listen.host`.
    `fault_hook` lets tests cut links over the entry's own port; never set it else.
    """

    tls: MutualTlsFiles | Literal["off"]
    listen: Listen = Listen()
    advertise: str | None = None
    seeds: list[str] = []
    bytes_per_s: Annotated[int, Field(gt=0)] = 4 * 1024 * 1024
    """What one peer may send; more is read later, which slows the sender down."""
    fault_hook: bool = False


def check_plain(settings: PeerSettings) -> PeerSettings:
    """Refuse plain links anywhere but on loopback."""
    if settings.tls == "off":
        try:
            loopback = ipaddress.ip_address(settings.listen.host).is_loopback
        except ValueError:
            loopback = settings.listen.host == "localhost"
        if not loopback:
            text = 'tls = "off" is allowed with a loopback address in listen.host only'
            raise ValueError(text)
    return settings


CheckedPeerSettings = Annotated[PeerSettings, AfterValidator(check_plain)]
