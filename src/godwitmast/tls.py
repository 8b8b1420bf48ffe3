"""TLS contexts that reload their files when these are replaced."""

import os
import ssl
from typing import NamedTuple

import anyio

from godwitmast.errors import SettingsError
from godwitmast.logs import log_event

RELOAD_INTERVAL_S = 2.0


class TlsFiles(NamedTuple):
    """Certificate and key of a listener, as PEM files.

    With `client_ca` a client must present a certificate of that authority.
    """

    certificate: str
    private_key: str
    client_ca: str | None = None


class MutualTlsFiles(NamedTuple):
    """Certificate and key of a peer, and the certificate authority of all peers, as PEM."""

    certificate: str
    private_key: str
    ca: str


class TlsContext:
    """An SSL context that reloads its files when they change.

    Open connections keep their certificate. A new authority is trusted in addition to
    the old one; a removed one stays trusted until the process restarts, as OpenSSL has
    no call to remove it.
    """

    def __init__(self, context: ssl.SSLContext, files: TlsFiles) -> None:
        self.context = context
        self.files = files
        self.loaded_times: tuple[int, ...] = ()
        self.load()

    def load(self) -> None:
        """Load the files, or raise SettingsError that names the problem."""
        try:
            loaded_times = self.modification_times()
            self.context.load_cert_chain(self.files.certificate, self.files.private_key)
            if self.files.client_ca:
                self.context.load_verify_locations(self.files.client_ca)
            self.loaded_times = loaded_times
        except OSError as error:
            text = f"TLS files {self.files.certificate}, {self.files.private_key}"
            raise SettingsError(f"{text}: {error}") from None

    def modification_times(self) -> tuple[int, ...]:
        return tuple(os.stat(name).st_mtime_ns for name in self.files if name)

    def reload(self) -> bool:
        """Load changed files and return whether they were loaded; keep the old on errors."""
        try:
            if self.modification_times() == self.loaded_times:
                return False
            # A certificate that is replaced before its key does not match it for a
            # moment. Loading it into the context would make every handshake fail.
            probe = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            probe.load_cert_chain(self.files.certificate, self.files.private_key)
            self.load()
        except (OSError, SettingsError) as error:
            log_event("tls_reload_failed", level="ERROR", error=error)
            return False
        log_event("tls_reloaded", certificate=self.files.certificate)
        return True

    async def run(self) -> None:
        """Reload changed files every `RELOAD_INTERVAL_S` seconds."""
        while True:
            await anyio.sleep(RELOAD_INTERVAL_S)
            self.reload()


def server_tls(files: TlsFiles) -> TlsContext:
    """Return the context of a listener."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if files.client_ca:
        context.verify_mode = ssl.CERT_REQUIRED
    return TlsContext(context, files)


def peer_client_tls(files: MutualTlsFiles) -> TlsContext:
    """Return the context for connections that a peer opens.

    Host names are not checked, since peers connect to addresses that change with every
    replaced VM. A certificate of the peers' own authority identifies a peer.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return TlsContext(context, TlsFiles(*files))


def peer_server_tls(files: MutualTlsFiles) -> TlsContext:
    """Return the context for connections that a peer accepts."""
    return server_tls(TlsFiles(*files))


def tls_without_authorities() -> ssl.SSLContext:
    """Return a context for clients that use plain HTTP only.

    The default context loads all well-known authorities, which takes megabytes.
    """
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
