"""Authorization of callers by bearer tokens with roles."""

import enum
import hashlib
import hmac
from collections.abc import Sequence

from turmericreach.settings import TokenSettings
from turmericreach.verdicts import ErrorCode, RequestError

__all__ = ["TokenRole", "TokenTable"]

ANONYMOUS = "anonymous"
SCHEME = "bearer"
# Longer headers are rejected before they are hashed.
MAX_HEADER_LENGTH = 4096


class TokenRole(enum.StrEnum):
    """What the holder of a token may do."""

    TRAINER = "trainer"
    CALLER = "caller"
    OPERATOR = "operator"


class TokenTable:
    """Identifies callers by their tokens and checks their roles.

    Parameters
    ----------
    tokens : sequence of TokenSettings
        Valid tokens; if empty, every caller is accepted as ``anonymous``.
    """

    def __init__(self, tokens: Sequence[TokenSettings]):
        self.entries = [
            (digest(entry.token), entry.name, frozenset(entry.roles)) for entry in tokens
        ]

    def authorize(self, header: str | bytes | None, *roles: TokenRole | str) -> str:
        """Return the name of a caller that has one of the roles.

        Parameters
        ----------
        header : str, bytes or None
            Value of the ``Authorization`` header, None if it is missing.
        *roles : TokenRole or str
            Roles, one of which the request requires.

        Raises
        ------
        RequestError
            With status 401 without a valid token, with 403 without any of the roles.
        """
        if not self.entries:
            return ANONYMOUS
        found = self.find_token(presented_token(header))
        if found is None:
            raise RequestError(ErrorCode.UNAUTHORIZED, "no valid token was presented", 401)
        name, granted = found
        if granted.isdisjoint(str(role) for role in roles):
            required = " or ".join(str(role) for role in roles)
            raise RequestError(ErrorCode.FORBIDDEN, f"{name} lacks the role {required}", 403)
        return name

    def find_token(self, token: str) -> tuple[str, frozenset[str]] | None:
        """Return name and roles of a token, None if it is unknown.

        Every entry is compared, and digests of equal length are compared in constant time, so that
        the duration reveals nothing about the tokens.
        """
        wanted = digest(token)
        found = None
        for known, name, roles in self.entries:
            if hmac.compare_digest(known, wanted):
                found = (name, roles)
        return found


def presented_token(header: str | bytes | None) -> str:
    """Return the bearer token of a header, empty if there is none."""
    if header is None or len(header) > MAX_HEADER_LENGTH:
        return ""
    text = header.decode("latin-1") if isinstance(header, bytes) else header
    scheme, _, token = text.strip().partition(" ")
    return token.strip() if scheme.lower() == SCHEME else ""


def digest(token: str) -> bytes:
    """Return the SHA-256 digest of a token."""
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).digest()
