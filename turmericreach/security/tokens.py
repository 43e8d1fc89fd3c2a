"""Bearer tokens and their roles."""

import enum
import hashlib
import hmac
from collections.abc import Sequence

from turmericreach.settings import TokenSettings
from turmericreach.verdicts import ErrorCode, RequestError

__all__ = ["TokenRole", "TokenTable"]

ANONYMOUS = "anonymous"
SCHEME = "bearer"
# Longer headers are refused before they are hashed.
MAX_HEADER = 4096


class TokenRole(enum.StrEnum):
    """What the holder of a token may do."""

    TRAINER = "trainer"
    CALLER = "caller"
    OPERATOR = "operator"


class TokenTable:
    """Decides who a caller is.

    Parameters
    ----------
    tokens : sequence of TokenSettings
        Known tokens; without any, every caller is accepted as ``anonymous``.
    """

    def __init__(self, tokens: Sequence[TokenSettings]):
        self.entries = [
            (digest(entry.token), entry.name, frozenset(entry.roles)) for entry in tokens
        ]

    def authorize(self, header: str | bytes | None, *roles: TokenRole | str) -> str:
        """Return the name of the caller.

        Parameters
        ----------
        header : str, bytes or None
            Value of the ``Authorization`` header.
        *roles : TokenRole or str
            Roles of which the request requires one.

        Raises
        ------
        RequestError
            With status 401 without a known token, 403 without one of the roles.
        """
        if not self.entries:
            return ANONYMOUS
        found = self.find(presented_token(header))
        if found is None:
            raise RequestError(ErrorCode.UNAUTHORIZED, "no valid token was presented", 401)
        name, held = found
        if held.isdisjoint(str(role) for role in roles):
            wanted = " or ".join(str(role) for role in roles)
            raise RequestError(ErrorCode.FORBIDDEN, f"{name} lacks the role {wanted}", 403)
        return name

    def find(self, token: str) -> tuple[str, frozenset[str]] | None:
        """Return name and roles of a token.

        Digests of equal length are compared in constant time, and all entries are compared, so
        that the time tells nothing about the tokens.
        """
        wanted = digest(token)
        found = None
        for known, name, roles in self.entries:
            if hmac.compare_digest(known, wanted):
                found = (name, roles)
        return found


def presented_token(header: str | bytes | None) -> str:
    """Return the token of a header, empty if there is none."""
    if header is None or len(header) > MAX_HEADER:
        return ""
    text = header.decode("latin-1") if isinstance(header, bytes) else header
    scheme, _, token = text.strip().partition(" ")
    return token.strip() if scheme.lower() == SCHEME else ""


def digest(token: str) -> bytes:
    """Return the SHA-256 digest of a token."""
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).digest()
