"""TLS contexts that reload changed files, bearer tokens with roles, and redaction of secrets."""

from turmericreach.security.errors import TlsError
from turmericreach.security.tls import TlsContexts
from turmericreach.security.tokens import TokenRole, TokenTable
from turmericreach.telemetry.redaction import redact, register_secrets

__all__ = ["TlsContexts", "TlsError", "TokenRole", "TokenTable", "redact", "register_secrets"]
