"""Redaction of secrets in text that leaves the process."""

import functools
import re
from collections.abc import Iterable

__all__ = ["REDACTED", "is_secret_name", "redact", "register_secrets"]

REDACTED = "[redacted]"

SECRET_NAME = re.compile(
    r"(?:^|[_-])(token|secret|password|passwd|authorization|cookie|api[_-]?key|private[_-]?key)s?$",
    re.IGNORECASE,
)
SECRET_WORDS = r"token|secret|password|passwd|authorization|cookie|api[_-]?key|private[_-]?key"
PATTERNS = (
    # A truncated PEM block has no end line, so everything after its first line is redacted.
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
# Fast check: every pattern needs one of these to match, and most log texts contain none.
SECRET_HINT = re.compile(r"[:=]|-----|bearer|basic", re.IGNORECASE)

# Shorter known secrets, in characters, are not redacted: they would also match ordinary words.
MIN_SECRET_CHARS = 6
KNOWN_SECRETS: set[str] = set()


def register_secrets(values: Iterable[str]) -> None:
    """Redact these values in every text from now on, in any context."""
    KNOWN_SECRETS.update(value for value in values if len(value) >= MIN_SECRET_CHARS)


def redact(text: str) -> str:
    """Return text with secrets replaced by `REDACTED`.

    Secrets are bearer and basic credentials, passwords in URLs, private keys, values after names
    such as ``token=``, and the values given to `register_secrets`.
    """
    for secret in KNOWN_SECRETS:
        text = text.replace(secret, REDACTED)
    if SECRET_HINT.search(text) is None:
        return text
    for pattern in PATTERNS:
        text = pattern.sub(rf"\1{REDACTED}", text)
    return text


@functools.lru_cache(maxsize=1024)
def is_secret_name(name: str) -> bool:
    """Return whether a field or header with this name holds a secret."""
    return SECRET_NAME.search(name) is not None
