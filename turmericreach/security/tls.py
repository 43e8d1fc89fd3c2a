"""TLS contexts for mutual TLS between daemons; they follow changes of their files."""

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
    """PEM files."""

    certificate: Path
    key: Path
    ca: Path

    def stamp(self) -> tuple[tuple[int, int, int], ...]:
        """Return what changes when a file is written or replaced."""
        stats = [path.stat() for path in (self.certificate, self.key, self.ca)]
        return tuple((stat.st_mtime_ns, stat.st_size, stat.st_ino) for stat in stats)


class TlsContexts:
    """Contexts for new connections; open connections keep what they were made with.

    Attributes
    ----------
    server : ssl.SSLContext
        Context for listening sockets; it stays valid, and hands each new connection over to the
        files last read.
    callers : ssl.SSLContext
        The same as `server` for callers, who need no certificate.
    client : ssl.SSLContext
        Context for the next connection to a daemon; replaced when the files change.

    Raises
    ------
    TlsError
        If the files cannot be used.
    """

    def __init__(self, certificate: str | Path, key: str | Path, ca: str | Path):
        self.files = TlsFiles(Path(certificate), Path(key), Path(ca))
        self.refused_stamp = None
        self.load()
        self.server = make_server_context(self.files)
        self.server.sni_callback = self.hand_over
        self.callers = make_caller_context(self.files)
        self.callers.sni_callback = self.hand_over_caller

    @classmethod
    def from_settings(cls, settings: SecuritySettings) -> "TlsContexts | None":
        """Return the contexts of a daemon, None if TLS is off."""
        if not settings.tls_certificate:
            return None
        return cls(settings.tls_certificate, settings.tls_key, settings.tls_ca)

    def load(self) -> None:
        """Read the files; keep the former contexts if one cannot be used."""
        try:
            # The stamp comes first: a change while the files are read is then found later.
            stamp = self.files.stamp()
            accepting = make_server_context(self.files)
            accepting_callers = make_caller_context(self.files)
            client = make_client_context(self.files)
        except (OSError, ValueError) as error:
            raise TlsError(f"TLS files cannot be used: {error}") from None
        self.stamp = stamp
        self.accepting = accepting
        self.accepting_callers = accepting_callers
        self.client = client

    def hand_over(self, connection, server_name, context) -> None:
        """Give a connection that is being accepted the context of the files last read."""
        connection.context = self.accepting

    def hand_over_caller(self, connection, server_name, context) -> None:
        """Give a caller's connection the context of the files last read."""
        connection.context = self.accepting_callers

    def reload_if_changed(self) -> bool:
        """Read the files again if they changed, and return whether new ones are in use.

        Files that cannot be used are logged once for each change.
        """
        try:
            stamp = self.files.stamp()
        except OSError:
            # A file is missing for a moment while it is being replaced.
            return False
        if stamp in (self.stamp, self.refused_stamp):
            return False
        try:
            self.load()
        except TlsError as error:
            self.refused_stamp = stamp
            log_event(events.TLS_REFUSED, error=str(error))
            return False
        self.refused_stamp = None
        log_event(events.TLS_RELOADED)
        return True

    async def run(self, interval_s: float = CHECK_INTERVAL_S) -> None:
        """Check the files on a timer until cancelled."""
        while True:
            await asyncio.sleep(interval_s)
            self.reload_if_changed()


def make_server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context that demands a certificate from its peer."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    load_files(context, files)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_caller_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context for callers, whom their tokens identify."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    load_files(context, files)
    return context


def make_client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context that presents a certificate.

    Daemons connect by IP number, and certificates need not name every number of a host that can
    be replaced at any time, so that membership of the CA is what is checked.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    load_files(context, files)
    return context


def load_files(context: ssl.SSLContext, files: TlsFiles) -> None:
    """Load certificate, key and CA; an encrypted key is refused instead of asking for input."""
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(files.certificate, files.key, password=refuse_password)
    context.load_verify_locations(files.ca)


def refuse_password() -> str:
    """Refuse an encrypted key; the default asks on the terminal and blocks the daemon."""
    raise ValueError("the key is encrypted")
