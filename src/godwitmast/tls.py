"""TLS contexts from files that are replaced while the process runs."""

import os
import ssl
from typing import NamedTuple

import anyio

from godwitmast.errors import SettingsError
from godwitmast.logs import log_event

RELOAD_EVERY_S = 2.0


class TlsFiles(NamedTuple):
    """Certificate and key of a listener, as PEM files.

    With `client_ca` a client must show a certificate of that authority.
    """

    certificate: str
    private_key: str
    client_ca: str | None = None


class MutualTlsFiles(NamedTuple):
    """Certificate and key of a peer, and the authority of all peers, as PEM files."""

    certificate: str
    private_key: str
    ca: str


class TlsContext:
    """One SSL context, which takes up its files anew when they change.

    Connections that are open keep the certificate that they began with. A new
    authority is trusted beside the old one; one that is taken away is trusted until
    the process restarts, as OpenSSL has no call to forget it.
    """

    def __init__(self, context: ssl.SSLContext, files: TlsFiles) -> None:
        self.context = context
        self.files = files
        self.seen: tuple[int, ...] = ()
        self.load()

    def load(self) -> None:
        """Read the files, or raise SettingsError that names what is wrong."""
        try:
            seen = self.stamps()
            self.context.load_cert_chain(self.files.certificate, self.files.private_key)
            if self.files.client_ca:
                self.context.load_verify_locations(self.files.client_ca)
            self.seen = seen
        except OSError as error:
            text = f"TLS files {self.files.certificate}, {self.files.private_key}"
            raise SettingsError(f"{text}: {error}") from None

    def stamps(self) -> tuple[int, ...]:
        return tuple(os.stat(name).st_mtime_ns for name in self.files if name)

    def reload(self) -> bool:
        """Take up changed files; with files that do not fit, keep the old ones."""
        try:
            if self.stamps() == self.seen:
                return False
            # A certificate that is replaced before its key does not fit for a moment,
            # and a context that it was half loaded into would fail every handshake.
            probe = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            probe.load_cert_chain(self.files.certificate, self.files.private_key)
            self.load()
        except (OSError, SettingsError) as error:
            log_event("tls_reload_failed", level="ERROR", error=error)
            return False
        log_event("tls_reloaded", certificate=self.files.certificate)
        return True

    async def run(self) -> None:
        """Look at the files every other second."""
        while True:
            await anyio.sleep(RELOAD_EVERY_S)
            self.reload()


def server_tls(files: TlsFiles) -> TlsContext:
    """Return the context of a listener."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if files.client_ca:
        context.verify_mode = ssl.CERT_REQUIRED
    return TlsContext(context, files)


def peer_client_tls(files: MutualTlsFiles) -> TlsContext:
    """Return the context with which a peer dials.

    Names are not checked: peers are dialled by addresses that change with every
    replaced VM. Who has a certificate of the peers' own authority is a peer.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return TlsContext(context, TlsFiles(*files))


def peer_server_tls(files: MutualTlsFiles) -> TlsContext:
    """Return the context in which a peer is dialled."""
    return server_tls(TlsFiles(*files))


def trusting_nobody() -> ssl.SSLContext:
    """Return a context for clients that speak plain HTTP only.

    The default one reads all well-known authorities, which takes megabytes.
    """
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
