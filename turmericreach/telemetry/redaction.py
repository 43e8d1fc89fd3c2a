"""Removal of secrets from text that leaves the process."""

import functools
import re
from collections.abc import Iterable

__all__ = ["REDACTED", "is_secret_name", "protect_secrets", "redact"]

REDACTED = "[redacted]"

SECRET_NAME = re.compile(
    r"(?:^|[_-])(token|secret|password|passwd|authorization|cookie|api[_-]?key|private[_-]?key)s?$",
    re.IGNORECASE,
)
SECRET_WORDS = r"token|secret|password|passwd|authorization|cookie|api[_-]?key|private[_-]?key"
PATTERNS = (
    # A truncated PEM block has no end line, so the rest of the text goes as well.
    re.compile(
        r"()-----BEGIN [A-Z ]*PRIVATE KEY-----.*?(?:-----END [A-Z ]*PRIVATE KEY-----|\Z)", re.DOTALL
    ),
    re.compile(r"(\b(?:Bearer|Basic)\s+)[^\s\"',;]+", re.IGNORECASE),
    re.compile(r"(://[^/\s:@]*:)[^/\s@]+(?=@)"),
    re.compile(
        rf"((?:{SECRET_WORDS})s?[\"']?\s*[:=]\s*[\"']?)(?!Bearer\b|Basic\b|\[redacted)[^\s\"',;&}}]+",
        re.IGNORECASE,
    ),
)
# Each pattern needs one of these; most texts of a log have none.
SIGN_OF_SECRET = re.compile(r"[:=]|-----|bearer|basic", re.IGNORECASE)

# Shorter values would also hit ordinary words.
MIN_SECRET = 6
KNOWN_SECRETS: set[str] = set()


def protect_secrets(values: Iterable[str]) -> None:
    """Remove these values from every text as well, whatever stands around them."""
    KNOWN_SECRETS.update(value for value in values if len(value) >= MIN_SECRET)


def redact(text: str) -> str:
    """Return text without bearer tokens, passwords in URLs, private keys and known secrets."""
    for secret in KNOWN_SECRETS:
        text = text.replace(secret, REDACTED)
    if SIGN_OF_SECRET.search(text) is None:
        return text
    for pattern in PATTERNS:
        text = pattern.sub(rf"\1{REDACTED}", text)
    return text


@functools.lru_cache(maxsize=1024)
def is_secret_name(name: str) -> bool:
    """Return whether a field or header of this name holds a secret."""
    return SECRET_NAME.search(name) is not None
