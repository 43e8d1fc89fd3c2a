"""TLS contexts for mutual TLS between daemons and for callers; changed files are reloaded."""

import asyncio
import ssl
from pathlib import Path

import attrs

from turmericreach.security.errors import TlsError
from turmericreach.settings import SecuritySettings
from turmericreach.telemetry import events, log_event

__all__ = ["TlsContexts"]

CHECK_INTERVAL_S = 5.0


@attrs.frozen
class TlsFiles:
    """Paths of the PEM files.

    Attributes
    ----------
    certificate, key : Path
        Certificate chain of this daemon and its private key.
    ca : Path
        Certificates of the authorities that are trusted.
    """

    certificate: Path
    key: Path
    ca: Path

    def fingerprint(self) -> tuple[tuple[int, int, int], ...]:
        """Return modification time, size and inode of each file, which differ after a change."""
        stats = [path.stat() for path in (self.certificate, self.key, self.ca)]
        return tuple((stat.st_mtime_ns, stat.st_size, stat.st_ino) for stat in stats)


class TlsContexts:
    """TLS contexts for new connections; open connections keep the files that they started with.

    Parameters
    ----------
    certificate, key, ca : str or Path
        Paths of the PEM files.

    Attributes
    ----------
    server : ssl.SSLContext
        Context for listening sockets; it requires a certificate of the peer. It is never replaced:
        a callback gives each new connection the context of the files that were read last.
    caller_server : ssl.SSLContext
        The same as `server` for callers, who need no certificate.
    client : ssl.SSLContext
        Context for the next connection to another daemon; it is replaced when the files change.

    Raises
    ------
    TlsError
        If the files cannot be used.
    """

    def __init__(self, certificate: str | Path, key: str | Path, ca: str | Path):
        self.files = TlsFiles(Path(certificate), Path(key), Path(ca))
        self.rejected_fingerprint = None
        self.load()
        self.server = make_server_context(self.files)
        self.server.sni_callback = self.use_current_context
        self.caller_server = make_caller_context(self.files)
        self.caller_server.sni_callback = self.use_current_caller_context

    @classmethod
    def from_settings(cls, settings: SecuritySettings) -> "TlsContexts | None":
        """Return the contexts of a daemon, None if its settings name no TLS files."""
        if not settings.tls_certificate:
            return None
        return cls(settings.tls_certificate, settings.tls_key, settings.tls_ca)

    def load(self) -> None:
        """Read the files; the former contexts stay in use if any file cannot be used.

        Raises
        ------
        TlsError
            If a file cannot be used.
        """
        try:
            # Taken before the files are read, so that the next check finds a change made meanwhile.
            fingerprint = self.files.fingerprint()
            current_server = make_server_context(self.files)
            current_caller_server = make_caller_context(self.files)
            client = make_client_context(self.files)
        except (OSError, ValueError) as error:
            raise TlsError(f"TLS files cannot be used: {error}") from None
        self.fingerprint = fingerprint
        self.current_server = current_server
        self.current_caller_server = current_caller_server
        self.client = client

    def use_current_context(self, connection, server_name, context) -> None:
        """Assign the context of the files read last to a connection that is being accepted."""
        connection.context = self.current_server

    def use_current_caller_context(self, connection, server_name, context) -> None:
        """Assign the context of the files read last to a connection of a caller."""
        connection.context = self.current_caller_server

    def reload_if_changed(self) -> bool:
        """Read the files again if they changed, and return whether the new ones are in use.

        Files that cannot be used are logged once per change.
        """
        try:
            fingerprint = self.files.fingerprint()
        except OSError:
            # A file may be missing briefly while it is being replaced.
            return False
        if fingerprint in (self.fingerprint, self.rejected_fingerprint):
            return False
        try:
            self.load()
        except TlsError as error:
            self.rejected_fingerprint = fingerprint
            log_event(events.TLS_REFUSED, error=str(error))
            return False
        self.rejected_fingerprint = None
        log_event(events.TLS_RELOADED)
        return True

    async def run(self, interval_s: float = CHECK_INTERVAL_S) -> None:
        """Check the files for changes every `interval_s` seconds until cancelled."""
        while True:
            await asyncio.sleep(interval_s)
            self.reload_if_changed()


def make_server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a server context that requires a certificate of the peer."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    load_files(context, files)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_caller_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a server context for callers, who are identified by tokens instead of certificates."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    load_files(context, files)
    return context


def make_client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a client context that presents a certificate.

    Host names are not checked, only that the CA has signed the certificate: daemons connect by IP
    address, and a certificate need not list every address of a host that can be replaced at any
    time.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    load_files(context, files)
    return context


def load_files(context: ssl.SSLContext, files: TlsFiles) -> None:
    """Load certificate, key and CA into a context; an encrypted key raises `ValueError`."""
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(files.certificate, files.key, password=reject_encrypted_key)
    context.load_verify_locations(files.ca)


def reject_encrypted_key() -> str:
    """Reject an encrypted key; OpenSSL would ask on the terminal and block the daemon."""
    raise ValueError("the key is encrypted")
